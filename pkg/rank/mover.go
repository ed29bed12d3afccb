package rank

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// behindWait is the longest wait of a message, in a period of about a second, above
	// which a planner is behind. Callers wait for 500 ms in the strictest queue.
	behindWait = 200 * time.Millisecond
	// reportLifetime is the time for which such a period counts, and minReports the
	// number of periods that are needed: most of the last 3 s.
	reportLifetime = 3500 * time.Millisecond
	minReports     = 2
	// holdTime is how long another instance must be better before a cell moves there.
	holdTime = 2 * time.Second
	// MoveInterval is the least time between two moves of a cell, also if one has failed.
	MoveInterval = 10 * time.Second
	// sameSizeInterval is the least time after a move before a cell moves to an instance
	// of about the same size because its planner is behind. If it is behind on both, the
	// load is the cause, and further moves only interrupt it.
	sameSizeInterval = time.Minute
	// clearlyLarger is the ratio of processors from which an instance is clearly larger.
	clearlyLarger = 1.5
	// idleShare is the share of its processor time below which an instance is idle.
	idleShare = 0.5
	// peerLifetime is the age of the last message of an instance from which on it is no
	// target. The slowest candidates ping a planner every 2 s.
	peerLifetime = 5 * time.Second
)

// Reasons of a move.
const (
	WhyNotAble = "not able"
	WhyBehind  = "behind"
)

// Peer is a candidate as the planner of a cell knows it.
type Peer struct {
	Candidate
	// Heard is when its last message came.
	Heard time.Time
	// Busy is the share of its processor time in use, 0 if unknown.
	Busy    float64
	Leaving bool
}

// Mover decides when a cell moves from the instance that plans it to a better one while
// work goes on. Each term has a Mover of its own. It isn't safe for concurrent use.
type Mover struct {
	lastMove time.Time // the term's begin if the cell has moved here, or the last attempt
	movedAt  time.Time // the term's begin if the cell has moved here
	reports  []report
	since    map[sched.InstanceID]time.Time // since when an instance has been better
}

type report struct {
	at     time.Time
	behind bool
}

// NewMover returns the mover of a term that begins now. moved is set if the cell was moved
// here while its planner worked.
func NewMover(now time.Time, moved bool) *Mover {
	m := &Mover{since: map[sched.InstanceID]time.Time{}}
	if moved {
		m.lastMove, m.movedAt = now, now
	}
	return m
}

// RecordWait records the longest wait of a planner's message in the period that ends now.
func (m *Mover) RecordWait(now time.Time, longest time.Duration) {
	m.reports = append(m.expire(now), report{now, longest > behindWait})
}

func (m *Mover) expire(now time.Time) []report {
	for len(m.reports) > 0 && now.Sub(m.reports[0].at) > reportLifetime {
		m.reports = m.reports[1:]
	}
	return m.reports
}

// Behind reports whether messages have waited for too long in most of the last periods.
func (m *Mover) Behind(now time.Time) bool {
	n := 0
	for _, r := range m.expire(now) {
		if r.behind {
			n++
		}
	}
	return n >= minReports && 2*n > len(m.reports)
}

// Decide returns the instance to which the cell should move now, with the reason, or an
// empty id. The peers are in the order of Sort. It is to be called several times a second.
func (m *Mover) Decide(now time.Time, self Candidate, peers []Peer) (sched.InstanceID, string) {
	behind := m.Behind(now)
	var target sched.InstanceID
	var why string
	better := map[sched.InstanceID]time.Time{}
	for _, p := range peers {
		reason := m.reason(now, self, p, behind)
		if reason == "" {
			continue
		}
		since, known := m.since[p.ID]
		if !known {
			since = now
		}
		better[p.ID] = since
		if target == "" && now.Sub(since) >= holdTime {
			target, why = p.ID, reason
		}
	}
	m.since = better
	if target == "" || !m.lastMove.IsZero() && now.Sub(m.lastMove) < MoveInterval {
		return "", ""
	}
	m.lastMove = now
	return target, why
}

// reason returns why the cell should move to the peer, or an empty string.
func (m *Mover) reason(now time.Time, self Candidate, p Peer, behind bool) string {
	larger := float64(p.Processors) >= clearlyLarger*float64(self.Processors)
	switch {
	case p.ID == self.ID || p.Leaving || now.Sub(p.Heard) > peerLifetime || p.Cells > self.Cells:
		return ""
	case !self.Able() && p.Able():
		return WhyNotAble
	case !behind || p.Busy <= 0 || p.Busy >= idleShare || self.Near() && !p.Near():
		return ""
	case larger:
		return WhyBehind
	case p.Processors >= self.Processors && (m.movedAt.IsZero() || now.Sub(m.movedAt) >= sameSizeInterval):
		return WhyBehind
	}
	return ""
}
