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

// heard records a ping of an instance to this one, which plans the cell.
func (k *cellController) heard(q relay.Ping) {
	now := k.entry.Clock.Now()
	k.living.do(func(l *rank.Living) { l.Heard(now, q.From) })
	if p := k.placement.Load(); p != nil {
		p.recordLoad(now, q.From, q.Load)
	}
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
	out := relay.Load{Leaving: e.leaving.Load(), Busy: e.usage.share(e.Clock.Now(), e.UsedProcessorTime, e.Self.Processors)}
	if controllers := e.controllers.Load(); controllers != nil {
		for _, s := range *controllers {
			if p := s.placement.Load(); p != nil {
				out.Wait = max(out.Wait, p.longestWait())
			}
		}
	}
	return out
}

// usageInterval is the time over which the share of processor time in use is taken.
const usageInterval = time.Second

// usage measures the share of its processor time that this instance uses. It is safe for
// concurrent use.
type usage struct {
	mu     sync.Mutex
	at     time.Time
	used   time.Duration
	newest float64
}

// share returns the share in the last complete interval, 0 if unknown. read returns the
// processor time used so far; it may be nil.
func (u *usage) share(now time.Time, read func() (time.Duration, error), processors int) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	span := now.Sub(u.at)
	if read == nil || processors <= 0 || span < usageInterval {
		return u.newest
	}
	used, err := read()
	if err != nil {
		return 0
	}
	if !u.at.IsZero() {
		const thousandths = 1000
		u.newest = float64(used-u.used) / float64(span) * thousandths / float64(processors)
	}
	u.at, u.used = now, used
	return u.newest
}
