// Package claims decides which instance may run an unrepeatable request. To
// claim a request id, an instance appends an intent to the intent stream of the
// id's shard in the platform's log and reads the stream back. Answers of up to
// 64 KiB are kept in the log, too, so that a retry gets the same answer. The
// decisions are made by package dedup.
//
// While the log is unavailable, a claim is refused as not run, or as in progress
// if the id is known to be open; ids of finished requests are still known, but
// their kept answers can't be read. Outcomes wait in a bounded queue until the
// log is available again. A claim that is undecided at its caller's deadline is
// abandoned and can't be granted later, whatever the log then shows.
package claims
