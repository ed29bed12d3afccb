package entry

import (
	"sync"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/process/lead"
	"github.com/parsleybarrow/parsleybarrow/internal/process/peers"
	"github.com/parsleybarrow/parsleybarrow/internal/process/relay"
	"github.com/parsleybarrow/parsleybarrow/pkg/rank"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// living is what this instance knows about which others are alive, for one cell. It is
// safe for concurrent use.
type living struct {
	mu    sync.Mutex
	known rank.Living
}

func (l *living) do(f func(*rank.Living)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.known)
}

// alive reports whether an instance counts as alive.
func (k *cellController) alive(now time.Time, id sched.InstanceID) (yes bool) {
	k.living.do(func(l *rank.Living) { yes = l.Alive(now, id) })
	return yes
}

// missed records that an instance didn't answer or is leaving.
func (k *cellController) missed(now time.Time, id sched.InstanceID) {
	k.living.do(func(l *rank.Living) { l.Missed(now, id) })
}

// heard records a ping of an instance.
func (k *cellController) heard(id sched.InstanceID) {
	k.living.do(func(l *rank.Living) { l.Heard(k.entry.Clock.Now(), id) })
}

// recordSilent records the instances that the cell's planner doesn't hear.
func (k *cellController) recordSilent(now time.Time, silent []sched.InstanceID) {
	k.living.do(func(l *rank.Living) {
		for _, id := range silent {
			l.Missed(now, id)
		}
	})
}

// silent returns the instances that this instance, as the planner of the cell, doesn't
// hear.
func (k *cellController) silent() (out []sched.InstanceID) {
	var all []sched.InstanceID
	for _, i := range k.entry.directory.Instances() {
		all = append(all, i.ID)
	}
	k.living.do(func(l *rank.Living) { out = l.Silent(k.entry.Clock.Now(), all) })
	return out
}

// ping returns a ping of this instance about the cell.
func (k *cellController) ping() relay.Ping {
	return relay.Ping{From: k.entry.Self.ID, Cell: k.number, Load: k.entry.currentLoad()}
}

// mayBegin reports whether this instance may begin a term now, after failures of its
// planner and attempts that didn't begin a term.
func (k *cellController) mayBegin(now time.Time) bool {
	return !now.Before(k.backoff.until) && !now.Before(k.attempts.until)
}

// attemptFailed records an attempt that didn't begin a term. Each one may read the whole
// partition, so repeated ones are spaced out.
func (k *cellController) attemptFailed() { k.attempts.recordFailure(k.entry.Clock.Now()) }

// learnPlanner updates the directory with a term of the cell that is in force.
func (k *cellController) learnPlanner(t lead.Term) {
	k.entry.directory.UpdatePlanner(peers.Planner{
		Cell: k.number, Term: t.Number, ID: t.ID, Incarnation: t.Incarnation, Address: t.Address,
	})
}

// currentLoad returns how busy this instance is.
func (e *Entry) currentLoad() relay.Load {
	return relay.Load{Leaving: e.leaving.Load()}
}
