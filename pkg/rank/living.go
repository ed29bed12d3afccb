package rank

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// missLifetime is how long an instance that didn't answer isn't counted. Each report
	// of the planner renews it. It exceeds the time until a new planner reports the silent
	// instances, silentTimeout and the longest interval between two pings. A longer time
	// would leave instances out that were cut off only for a moment.
	missLifetime = 12 * time.Second
	// silentTimeout is the time without a ping after which a planner reports an instance
	// as silent: three times the longest interval between two pings of a planner.
	silentTimeout = 6 * time.Second
)

// Living is what an instance knows about which others are alive. An instance of which
// nothing is known counts as alive. The zero value is ready. It isn't safe for concurrent
// use.
type Living struct {
	heard, missed map[sched.InstanceID]time.Time
}

// Heard records a message of an instance.
func (l *Living) Heard(now time.Time, id sched.InstanceID) {
	if l.heard == nil {
		l.heard = map[sched.InstanceID]time.Time{}
	}
	l.heard[id] = now
	delete(l.missed, id)
}

// Missed records that an instance didn't answer, or that a planner reports it as silent.
func (l *Living) Missed(now time.Time, id sched.InstanceID) {
	if l.missed == nil {
		l.missed = map[sched.InstanceID]time.Time{}
	}
	l.missed[id] = now
}

// Alive reports whether an instance counts as alive.
func (l *Living) Alive(now time.Time, id sched.InstanceID) bool {
	at, missed := l.missed[id]
	return !missed || now.Sub(at) >= missLifetime
}

// Silent returns those of the given instances that have sent nothing for silentTimeout.
// An instance that is named for the first time counts as heard now, since it may have
// just started.
func (l *Living) Silent(now time.Time, all []sched.InstanceID) []sched.InstanceID {
	var out []sched.InstanceID
	for _, id := range all {
		at, known := l.heard[id]
		switch {
		case !known:
			l.Heard(now, id)
		case now.Sub(at) >= silentTimeout:
			out = append(out, id)
		}
	}
	return out
}
