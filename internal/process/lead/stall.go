package lead

import (
	"bytes"
	"runtime/pprof"
	"strings"
	"time"
)

const (
	// stuckTimeout is how long the planner's actor may take for one message, longer
	// by lagFactor times the scheduling lag. Messages always wait meanwhile, since
	// each tick is one.
	stuckTimeout = 5 * time.Second
	// pausedTick is the delay of a tick from which on the process counts as paused
	// meanwhile, and the actor as not observed.
	pausedTick = time.Second
)

// stall observes whether the planner's actor still handles messages.
type stall struct {
	handled int64     // as of the last observation
	since   time.Time // when that count was reached, or the process went on after a pause
}

// observe records how many messages have been handled at a tick that was late by the
// given time. It returns for how long none has been, and whether the actor is stuck.
func (s *stall) observe(now time.Time, late time.Duration, handled int64, lag time.Duration) (time.Duration, bool) {
	if handled != s.handled || late >= pausedTick {
		s.handled, s.since = handled, now
	}
	d := now.Sub(s.since)
	return d, d >= stuckTimeout+lagFactor*lag
}

// actorStacks returns the stacks of the planners' actors of this process that are
// handling a message.
func actorStacks() string {
	var all bytes.Buffer
	const withNames = 1
	if err := pprof.Lookup("goroutine").WriteTo(&all, withNames); err != nil {
		return err.Error()
	}
	var out []string
	for s := range strings.SplitSeq(all.String(), "\n\n") {
		if strings.Contains(s, "lead.(*Leader).handle+") {
			out = append(out, s)
		}
	}
	return strings.Join(out, "\n\n")
}
