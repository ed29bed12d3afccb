package versn

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/config"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// logSilence is how long the log may be silent before a copy is fetched
	// from a peer that reports a newer version.
	logSilence = 3 * time.Second
	// copyRate bounds the bytes per second spent on copies, half of the whole
	// budget of a node.
	copyRate = 4 << 10
	// maxCopyPause keeps the pause that copyRate asks for within what the
	// bound of 13 s allows.
	maxCopyPause = 8 * time.Second
	// heardFor is how long a fresh instance waits for a version that a peer
	// reported but that it can't get.
	heardFor = 30 * time.Second
)

// peerState is what peers reported.
type peerState struct {
	heard   sched.Offset
	heardAt time.Time
	askedAt time.Time
	logAt   time.Time
	ready   bool
}

// Copy returns the version in force for a peer that asks for it.
func (r *Replay) Copy() sched.ConfigCopy {
	return sched.ConfigCopy{Version: r.force.number, Document: r.force.doc.Bytes(), AsOf: r.force.asOf}
}

// TakeCopy takes a peer's copy if it is newer. It returns true if another
// version is in force.
func (r *Replay) TakeCopy(c sched.ConfigCopy) bool {
	if c.Version <= 0 || c.Version > c.AsOf || c.Version < r.force.number {
		return false
	}
	doc, err := config.Decode(c.Document)
	if err != nil {
		return false
	}
	v := version{c.Version, doc, c.AsOf}
	before := r.force.number
	if v.number > r.force.number || v.asOf > r.force.asOf {
		r.force = v
	}
	switch {
	case !r.anchored:
		r.anchor(v)
	case c.AsOf-r.log.asOf > searchStep || !r.read && c.AsOf > r.log.asOf:
		r.log = v // reading on from here instead of all that lies between
	}
	r.promote()
	return r.force.number != before
}

// Heard records the version that a peer reports in its heartbeat.
func (r *Replay) Heard(now time.Time, v sched.Offset) {
	if v > r.peers.heard || now.Sub(r.peers.heardAt) > heardFor {
		r.peers.heard, r.peers.heardAt = v, now
	}
}

// LogReached records a successful read of the log.
func (r *Replay) LogReached(now time.Time) { r.peers.logAt = now }

// WantCopy tells whether to fetch a copy from a peer that reports version v.
// It returns true at most once per pause, which grows with the size of the
// document.
func (r *Replay) WantCopy(now time.Time, v sched.Offset) bool {
	if v <= r.force.number {
		return false
	}
	silent := now.Sub(r.peers.logAt) > logSilence
	if !silent && r.force.number > 0 && r.anchored {
		return false // the log will tell
	}
	pause := time.Duration(len(r.force.doc.Bytes())) * time.Second / copyRate
	if now.Sub(r.peers.askedAt) < min(max(pause, time.Second), maxCopyPause) {
		return false
	}
	r.peers.askedAt = now
	return true
}

// Ready tells whether the instance may serve under the version in force. A
// fresh instance waits for the end of the log or, while the log is
// unreachable, for the newest version that a peer reported, so that it doesn't
// begin with an older version than its predecessor had.
func (r *Replay) Ready(now time.Time) bool {
	if r.peers.ready || r.force.number == 0 {
		return r.peers.ready
	}
	newest := r.force.number >= r.peers.heard || now.Sub(r.peers.heardAt) > heardFor
	logSilent := now.Sub(r.peers.logAt) > logSilence
	r.peers.ready = r.CaughtUp() || newest && logSilent
	return r.peers.ready
}
