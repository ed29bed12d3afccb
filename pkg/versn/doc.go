// Package versn replays the stream "config" and determines which version of the
// configuration is in force.
//
// A version is identified by the offset of the patch that created it. A patch is
// accepted only if its base is the version in force at its own offset. If two
// operators apply patches at the same time, the first in log order wins and the
// other gets a conflict. Every instance replays the same records and arrives at
// the same result.
//
// Replay has two sources. It reads the log in order, from the start of the
// stream or from a snapshot, provided that the log retains every record after
// the offset up to which the snapshot's writer had read. It also takes newer
// versions from peers, as full copies or as changes in heartbeats, while it goes
// on reading the log. The version in force is the newer of the two, so it never
// decreases.
package versn
