package versn

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/config"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// logSilence is how long the log may be silent before versions are taken
	// from peers.
	logSilence = 3 * time.Second
	// copyRate bounds the bytes per second spent on whole copies, as receiver
	// and as sender, to a part of the 8 KB/s of a node.
	copyRate = 2 << 10
	// maxCopyPause keeps the pause that copyRate asks for within what the
	// bound of 13 s allows.
	maxCopyPause = 6 * time.Second
	// heardFor is how long a fresh instance waits for a version that a peer
	// reported but that it can't get.
	heardFor = 30 * time.Second
)

// peerState is what peers reported.
type peerState struct {
	heard    sched.Offset
	heardAt  time.Time
	askedAt  time.Time
	servedAt time.Time
	sent     map[sched.InstanceID]sentNews
	// logAt is the newest successful read of the log, or the first use.
	logAt time.Time
	// startedAt is the time of the first use.
	startedAt time.Time
	// logSince is the begin of the reads without a silence in between.
	logSince time.Time
	ready    bool
}

// silent tells whether the log has not answered for a while.
func (p *peerState) silent(now time.Time) bool {
	if p.startedAt.IsZero() {
		p.startedAt, p.logAt = now, now // a fresh instance asks the log first
	}
	return now.Sub(p.logAt) > logSilence
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
	before := r.force.number
	r.adopt(version{c.Version, doc, c.AsOf})
	return r.force.number != before
}

// adopt takes a version from a peer that is not older than the one in force.
func (r *Replay) adopt(v version) {
	if v.number > r.force.number || v.asOf > r.force.asOf {
		r.force = v
	}
	switch {
	case !r.anchored:
		r.anchor(v)
	case v.asOf-r.log.asOf > searchStep || !r.read && v.asOf > r.log.asOf:
		r.log = v // reading on from here instead of all that lies between
	}
	r.promote()
}

// Heard records the version that a peer reports in its heartbeat.
func (r *Replay) Heard(now time.Time, v sched.Offset) {
	if v > r.peers.heard || now.Sub(r.peers.heardAt) > heardFor {
		r.peers.heard, r.peers.heardAt = v, now
	}
}

// LogReached records a successful read of the log.
func (r *Replay) LogReached(now time.Time) {
	if r.peers.silent(now) || r.peers.logSince.IsZero() {
		r.peers.logSince = now
	}
	r.peers.logAt = now
}

// WantCopy tells whether to fetch a copy from a peer that reports version v.
// It returns true at most once per pause, which grows with the size of the
// document. News in heartbeats make most copies unnecessary.
func (r *Replay) WantCopy(now time.Time, v sched.Offset) bool {
	// Without an anchor the log tells nothing until the next snapshot; the copy
	// of a peer that has read on is an anchor also if its version is known.
	lost := !r.anchored && r.Next() >= r.end
	silent := r.peers.silent(now)
	// The search for a snapshot can take many reads.
	searching := r.force.number == 0 && now.Sub(r.peers.startedAt) > logSilence
	newer := v > r.force.number || lost && v > 0 && v == r.force.number
	if !newer || !silent && !lost && !searching || now.Sub(r.peers.askedAt) < r.copyPause() {
		return false
	}
	r.peers.askedAt = now
	return true
}

// ServeCopy tells whether to answer a peer that asks for a copy. It bounds the
// bytes when many ask one; those that got a copy can serve the others.
func (r *Replay) ServeCopy(now time.Time) bool {
	if r.force.number == 0 || now.Sub(r.peers.servedAt) < r.copyPause() {
		return false
	}
	r.peers.servedAt = now
	return true
}

func (r *Replay) copyPause() time.Duration {
	pause := time.Duration(len(r.force.doc.Bytes())) * time.Second / copyRate
	return min(max(pause, time.Second), maxCopyPause)
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
	r.peers.ready = r.CaughtUp() || newest && r.peers.silent(now)
	return r.peers.ready
}
