// Package versn replays the stream "config" and tells which version of the
// configuration is in force.
//
// A version is the offset of the patch that made it. A patch is valid only if
// its base is the version in force at its own offset, so of two operators that
// race the first in log order wins and the other gets a conflict. Every
// instance replays the same records and comes to the same result.
//
// Replay has two sources. The log is read in order, from the start of the
// stream or from a snapshot whose writer had read up to an offset after which
// every record is still there. A copy from a peer is taken when it is newer
// and doesn't stop the reading of the log. The version in force is the newer
// of the two, so it never falls.
package versn
