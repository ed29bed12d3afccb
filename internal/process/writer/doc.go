// Package writer batches items into records of one stream under a rate, and
// tells for each item whether it was appended.
//
// Every record is a frame.Frame with an id of its own. After an append whose
// answer was lost, the writer waits until the stream is read back: Seen gets
// every frame that the tail of the stream delivers. An append is never sent
// twice, since the first one may still take effect.
package writer
