package work

import (
	"sync"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Gangs tracks the members of gangs across all workers. It is safe for concurrent
// use.
type Gangs struct {
	mu    sync.Mutex
	gangs map[gangKey]*gang
}

type gangKey struct {
	step sched.StepRef
	run  sched.RunNumber
}

type gang struct {
	size   int
	joined map[int]bool // members that have started, by index of the task
	// complete is set once all members have started.
	complete bool
	// broken is set once a member has ended otherwise than as done before any was
	// done.
	broken bool
	done   bool // a member has ended as done
}

func gangOf(k RunKey) gangKey {
	return gangKey{sched.StepRef{Job: k.Task.Job, Occurrence: k.Task.Occurrence, Step: k.Task.Step}, k.Run}
}

func (g *Gangs) joined(_ time.Time, k RunKey, size int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.gangs == nil {
		g.gangs = map[gangKey]*gang{}
	}
	x := g.gangs[gangOf(k)]
	if x == nil {
		x = &gang{size: size, joined: map[int]bool{}}
		g.gangs[gangOf(k)] = x
	}
	x.joined[k.Task.Index] = true
	x.complete = x.complete || len(x.joined) == size
}

func (g *Gangs) ended(_ time.Time, k RunKey, how sched.RunEnd) {
	g.mu.Lock()
	defer g.mu.Unlock()
	x := g.gangs[gangOf(k)]
	switch {
	case x == nil:
	case how == sched.EndDone:
		x.done = true
	case !x.done:
		x.broken = true
	}
}

// holds reports whether the gang of a run is known and f is true of it.
func (g *Gangs) holds(k RunKey, f func(*gang) bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	x := g.gangs[gangOf(k)]
	return x != nil && f(x)
}

// together reports whether all members have started and none has broken the gang.
func (g *Gangs) together(k RunKey) bool {
	return g.holds(k, func(x *gang) bool { return x.complete && !x.broken })
}

func (g *Gangs) broken(k RunKey) bool   { return g.holds(k, func(x *gang) bool { return x.broken }) }
func (g *Gangs) finished(k RunKey) bool { return g.holds(k, func(x *gang) bool { return x.done }) }
