package versn

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/config"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// logSilence is the time without a successful read of the log after which
	// versions are fetched from peers.
	logSilence = 3 * time.Second
	// copyRate limits the bytes per second spent on whole copies, separately for
	// receiving and for sending, to a part of the 8 KB/s that an instance may use.
	copyRate = 2 << 10
	// maxCopyPause limits the pause that follows from copyRate, so that all
	// instances agree within 13 s after a fault.
	maxCopyPause = 6 * time.Second
	// reportValidity is how long a new instance waits for a version that a peer
	// has reported but that can't be fetched.
	reportValidity = 30 * time.Second
)

// peerState is the state that the exchange of versions with peers depends on,
// including whether the log can be read.
type peerState struct {
	// reported is the newest version that peers have reported, reportedAt the time
	// of its first report.
	reported        sched.Offset
	reportedAt      time.Time
	copyRequestedAt time.Time
	copyServedAt    time.Time
	// sent holds the last update sent to each peer.
	sent map[sched.InstanceID]sentUpdate
	// logReadAt is the time of the last successful read of the log, initially that
	// of the first call of logSilent.
	logReadAt time.Time
	// startedAt is the time of the first call of logSilent.
	startedAt time.Time
	// logReadSince is the time since which the log has been readable without a
	// pause of more than logSilence.
	logReadSince time.Time
	// ready is set once Ready has returned true.
	ready bool
}

// logSilent reports whether the log could not be read for more than logSilence.
func (p *peerState) logSilent(now time.Time) bool {
	if p.startedAt.IsZero() {
		// A new instance tries to read the log before it asks peers.
		p.startedAt, p.logReadAt = now, now
	}
	return now.Sub(p.logReadAt) > logSilence
}

// Copy returns a full copy of the version in force, for a peer.
func (r *Replay) Copy() sched.ConfigCopy {
	return sched.ConfigCopy{Version: r.inForce.number, Document: r.inForce.doc.Bytes(), AsOf: r.inForce.asOf}
}

// TakeCopy takes over a peer's copy if it is valid and not older than the version
// in force. It returns true if another version is in force afterwards.
func (r *Replay) TakeCopy(c sched.ConfigCopy) bool {
	if c.Version <= 0 || c.Version > c.AsOf || c.Version < r.inForce.number {
		return false
	}
	doc, err := config.Decode(c.Document)
	if err != nil {
		return false
	}
	before := r.inForce.number
	r.adopt(version{c.Version, doc, c.AsOf})
	return r.inForce.number != before
}

// adopt takes over a peer's version, which must not be older than the one in
// force.
func (r *Replay) adopt(v version) {
	if v.number > r.inForce.number || v.asOf > r.inForce.asOf {
		r.inForce = v
	}
	switch {
	case !r.anchored:
		r.anchor(v)
	case v.asOf-r.log.asOf > initialSearchDistance || !r.hasRead && v.asOf > r.log.asOf:
		r.log = v // continue here instead of reading all records in between
	}
	r.updateInForce()
}

// PeerReported records the version that a peer has reported in its heartbeat. The newest
// one counts; once it is older than reportValidity, any report replaces it.
func (r *Replay) PeerReported(now time.Time, v sched.Offset) {
	if v > r.peers.reported || now.Sub(r.peers.reportedAt) > reportValidity {
		r.peers.reported, r.peers.reportedAt = v, now
	}
}

// LogReached records that a read of the log has succeeded.
func (r *Replay) LogReached(now time.Time) {
	if r.peers.logSilent(now) || r.peers.logReadSince.IsZero() {
		r.peers.logReadSince = now
	}
	r.peers.logReadAt = now
}

// ShouldFetchCopy reports whether to fetch a copy from a peer that reports version v. It
// returns true at most once per pause, which grows with the size of the document.
// The updates in heartbeats make most copies unnecessary.
func (r *Replay) ShouldFetchCopy(now time.Time, v sched.Offset) bool {
	// Without an anchor the records of the log can't be applied until the next
	// snapshot. The copy of a peer that has read further is an anchor, even if
	// its version is already in force here.
	unanchored := !r.anchored && r.Next() >= r.end
	silent := r.peers.logSilent(now)
	// The search for a snapshot in the log can take many reads.
	searching := r.inForce.number == 0 && now.Sub(r.peers.startedAt) > logSilence
	useful := v > r.inForce.number || unanchored && v > 0 && v == r.inForce.number
	if !useful || !silent && !unanchored && !searching || now.Sub(r.peers.copyRequestedAt) < r.copyPause() {
		return false
	}
	r.peers.copyRequestedAt = now
	return true
}

// ShouldServeCopy reports whether to answer a peer's request for a copy. It limits the
// traffic when many peers ask the same instance. Peers that have received a copy
// can serve it to the others.
func (r *Replay) ShouldServeCopy(now time.Time) bool {
	if r.inForce.number == 0 || now.Sub(r.peers.copyServedAt) < r.copyPause() {
		return false
	}
	r.peers.copyServedAt = now
	return true
}

// copyPause returns the time between two copies that keeps within copyRate, at
// least 1 s and at most maxCopyPause.
func (r *Replay) copyPause() time.Duration {
	pause := time.Duration(len(r.inForce.doc.Bytes())) * time.Second / copyRate
	return min(max(pause, time.Second), maxCopyPause)
}

// Ready reports whether the instance may serve requests under the version in
// force. Otherwise it might start with an older version than the previous
// process of the instance had. It waits until the end of the log is read or,
// while the log is unreachable, until it has the newest version that a peer has
// reported. Once true, the result stays true.
func (r *Replay) Ready(now time.Time) bool {
	if r.peers.ready || r.inForce.number == 0 {
		return r.peers.ready
	}
	newest := r.inForce.number >= r.peers.reported || now.Sub(r.peers.reportedAt) > reportValidity
	r.peers.ready = r.CaughtUp() || newest && r.peers.logSilent(now)
	return r.peers.ready
}
