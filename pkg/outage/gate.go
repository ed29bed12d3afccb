package outage

import "time"

const (
	// takeoverTime is the usual time from the loss of a planner until the next one answers:
	// a second without a record, and the read of the partition.
	takeoverTime = 1200 * time.Millisecond
	// From overdueAfter on, counted from the loss, a takeover isn't expected to end soon:
	// calls that arrive are refused, and those that are held are refused at random times up
	// to takeoverLimit. If they were refused together, they would return together, since
	// callers read whole seconds. Those that may have run are held up to outcomeLimit.
	overdueAfter  = 1600 * time.Millisecond
	takeoverLimit = 2400 * time.Millisecond
	outcomeLimit  = 2500 * time.Millisecond
	// lateTakeoverStep is the expected rest of a takeover that takes longer than usual.
	lateTakeoverStep = 300 * time.Millisecond
	// answerTime is the time that a planner without a backlog takes for a call: two appends
	// and a round trip between regions.
	answerTime = 150 * time.Millisecond
	// probeInterval is the time between two calls that are sent to a planner that is behind,
	// can't write or doesn't answer, to find out whether that has ended.
	probeInterval = 60 * time.Millisecond
	// silenceLimit is how long a planner may leave all calls without an answer until it
	// counts as lost. One whose append is pending answers after 400 ms.
	silenceLimit = 900 * time.Millisecond
	// backlogValidity is how long a reported backlog counts. A planner that catches up does
	// so within a second or two, and the probes report it anew if it doesn't.
	backlogValidity = 2 * time.Second
)

// Call describes a call about a job.
type Call struct {
	// Left is the time until the call's deadline.
	Left time.Duration
	// Priority is that of the queue; 0 is the highest.
	Priority int
	// Waited is how long the call has been here.
	Waited time.Duration
	// MayHaveRun is set if a planner may have carried out the call already.
	MayHaveRun bool
}

// Action is what to do with a call.
type Action int

// Actions.
const (
	// Send: send the call to the planner.
	Send Action = iota
	// Wait: decide again when something is known to have changed, or after Verdict.For.
	Wait
	// RefuseNotRun: the call certainly had no effect and can't be decided in time.
	RefuseNotRun
	// GiveUpUnknown: the call may have had an effect, and that can't be found out in time.
	GiveUpUnknown
)

// Verdict is the decision about a call.
type Verdict struct {
	Action Action
	// For is how long to wait at most.
	For time.Duration
	// Probe asks for a check, apart from the call, whether the planner answers.
	Probe bool
	// RetryAfter is when a refused caller should retry.
	RetryAfter time.Duration
	// State is that of the planner.
	State State
}

// State is the state of a planner as far as a gate knows.
type State string

// States, as metrics and logs name them.
const (
	// Answering: calls are sent.
	Answering State = ""
	// Lost: the planner can't be reached, or answers nothing.
	Lost State = "lost"
	// Pending: the planner answers, and its append has had no answer for too long.
	Pending State = "pending"
	// Behind: calls would wait behind others for long.
	Behind State = "behind"
)

var reasons = map[State]string{
	Answering: "the planner did not answer in time",
	Lost:      "the planner can't be reached",
	Pending:   "the planner can't write to the store",
	Behind:    "the planner is behind",
}

// Reason returns the reason for which calls aren't decided, for callers.
func (s State) Reason() string { return reasons[s] }

// Gate knows the state of one cell's planner from the results of calls. The zero value
// stands for a planner that answers. It isn't safe for concurrent use.
type Gate struct {
	// Random returns a number from 0 up to 1. It spreads retries; without it they come in
	// the middle of their window.
	Random func() float64

	lostAt       time.Time // zero while the planner counts as reachable
	pendingSince time.Time // zero while the planner can write
	behindBy     time.Duration
	behindAt     time.Time
	probedAt     time.Time
	sent         sent
	returns      returns
}

// PlannerLost records that the planner can't be reached, or plans no more.
func (g *Gate) PlannerLost(at time.Time) {
	if g.lostAt.IsZero() {
		g.lostAt = at
	}
}

// PlannerFound records that a new planner has begun.
func (g *Gate) PlannerFound(now time.Time) {
	g.pendingSince, g.behindBy = time.Time{}, 0
	g.Answered(now)
}

// Answered records that the planner answers, whether or not it can decide calls.
func (g *Gate) Answered(now time.Time) {
	g.lostAt = time.Time{}
	g.sent.answered(now)
}

// Sent records that a call was sent to the planner. Ended must follow.
func (g *Gate) Sent(now time.Time) { g.sent.begin(now) }

// Ended records the end of a call that was sent, with or without an answer.
func (g *Gate) Ended() { g.sent.end() }

// Decided records that the planner has decided a call that was sent the given time ago.
func (g *Gate) Decided(now time.Time, wait time.Duration) {
	g.Answered(now)
	g.AppendDone()
	g.returns.decided(now)
	if wait < g.behindBy {
		g.behindBy = wait
	}
	if wait <= answerTime {
		g.behindBy = 0
	}
}

// Behind records that the planner has refused a call since others wait before it.
func (g *Gate) Behind(now time.Time, by time.Duration) {
	g.Answered(now)
	g.behindBy, g.behindAt = by, now
}

// AppendPending records that the planner's append has had no answer since the given time.
func (g *Gate) AppendPending(now, since time.Time) {
	g.Answered(now)
	if g.pendingSince.IsZero() || since.Before(g.pendingSince) {
		g.pendingSince = since
	}
}

// AppendDone records that the planner can write.
func (g *Gate) AppendDone() { g.pendingSince = time.Time{} }

// State returns the state of the planner.
func (g *Gate) State(now time.Time) State {
	if g.lostAt.IsZero() {
		if since, silent := g.sent.silent(now); silent {
			g.lostAt = since
		}
	}
	switch {
	case !g.lostAt.IsZero():
		return Lost
	case !g.pendingSince.IsZero():
		return Pending
	case g.backlog(now) > 0:
		return Behind
	}
	return Answering
}

// backlog returns how long a call would wait behind others.
func (g *Gate) backlog(now time.Time) time.Duration {
	if g.behindBy <= 0 || now.Sub(g.behindAt) >= backlogValidity {
		return 0
	}
	return g.behindBy
}

// Decide returns what to do with a call.
func (g *Gate) Decide(now time.Time, c Call) Verdict {
	state := g.State(now)
	if state == Answering {
		return Verdict{Action: Send}
	}
	probe := g.probeDue(now)
	inTime := g.expectedEnd(now)+answerTime <= c.Left
	v := Verdict{For: min(probeInterval, max(c.Left, 0)), State: state}
	switch {
	case state == Lost:
		// The next call that is sent might get no answer. Others find out whether the planner
		// is back.
		v.Action, v.Probe = Wait, probe
		if !g.worthWaiting(now, c, inTime) {
			v.Action = hopeless(c)
		}
	case probe && c.Left > answerTime && (inTime || !c.MayHaveRun) || inTime && state == Behind:
		v.Action = Send
	case inTime && c.MayHaveRun:
		v.Action = Wait
	default:
		v.Action = hopeless(c)
	}
	if v.Action == RefuseNotRun {
		v.RetryAfter = g.RetryAfter(now, c)
	}
	return v
}

// ProbeDue reports whether the planner counts as lost and it is time to check again whether
// it answers.
func (g *Gate) ProbeDue(now time.Time) bool {
	return g.State(now) == Lost && g.probeDue(now)
}

func (g *Gate) probeDue(now time.Time) bool {
	if now.Sub(g.probedAt) < probeInterval {
		return false
	}
	g.probedAt = now
	return true
}

// Hopeless reports whether a call that was sent isn't worth waiting for: its planner is
// lost, and the takeover won't end in time.
func (g *Gate) Hopeless(now time.Time, c Call) bool {
	c.MayHaveRun = true
	return g.State(now) == Lost && !g.worthWaiting(now, c, true)
}

func hopeless(c Call) Action {
	if c.MayHaveRun {
		return GiveUpUnknown
	}
	return RefuseNotRun
}

// worthWaiting reports whether the takeover from a lost planner will probably end in time
// for the call. A call that may have run waits longer, since the next planner's records
// tell its outcome.
func (g *Gate) worthWaiting(now time.Time, c Call, inTime bool) bool {
	gone := now.Sub(g.lostAt)
	if c.MayHaveRun {
		return inTime && gone < outcomeLimit
	}
	if !inTime || gone >= takeoverLimit || gone-c.Waited >= overdueAfter {
		return false
	}
	// The call is decided about every probeInterval, so that this chance spreads the refusals
	// evenly.
	return gone < overdueAfter || g.random() >= float64(probeInterval)/float64(takeoverLimit-gone)
}

func (g *Gate) random() float64 {
	if g.Random == nil {
		return middle
	}
	return g.Random()
}

// middle stands for random numbers where none are given.
const middle = 0.5

// expectedEnd returns the time until the planner probably decides new calls.
func (g *Gate) expectedEnd(now time.Time) time.Duration {
	switch {
	case !g.lostAt.IsZero():
		return max(takeoverTime-now.Sub(g.lostAt), lateTakeoverStep)
	case !g.pendingSince.IsZero():
		// An outage has no usual duration; it is expected to last as long again.
		return max(now.Sub(g.pendingSince), minRetry)
	}
	return g.backlog(now)
}
