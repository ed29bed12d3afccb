// Package frame encodes a batch of items as one record of the platform's log.
// The batch has an id of its own, by which its writer recognizes it when it is
// read back after a lost answer.
//
// The encoding is that of the protobuf message
//
//	message Frame { string id = 1; repeated bytes items = 2; }
package frame
