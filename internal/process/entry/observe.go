package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/process/lead"
	"github.com/parsleybarrow/parsleybarrow/internal/process/peers"
)

const (
	// livenessTimeout bounds a ping by which a candidate learns whether one that ranks
	// before it is alive: a round trip between regions and a slow processor.
	livenessTimeout = 250 * time.Millisecond
	// maxLivenessPings bounds the pings of one round and maxProbes the instances that
	// are asked at a time whether they reach the planner.
	maxLivenessPings = 16
	maxProbes        = 3
	// beginningLifetime is how long this instance waits, beyond its rank, after a better
	// candidate has said that it is beginning a term, and maxBeginning bounds that wait in
	// all. The better one may need longer than the wait of a rank to read the records.
	beginningLifetime = 700 * time.Millisecond
	maxBeginning      = 1500 * time.Millisecond
)

// observation makes the calls by which a monitor learns whether the planner of its cell is
// gone: reads of the end of the partition, questions to other instances, and pings of the
// candidates that rank before this one. There is at most one of each kind at a time, so
// that a call without an answer doesn't delay the others.
type observation struct {
	monitor *plannerMonitor
	// results receives functions that apply a result to the monitor.
	results                   chan func()
	reading, probing, pinging atomic.Bool
}

func (o *observation) init(m *plannerMonitor) {
	o.monitor, o.results = m, make(chan func(), 3) // one result of each kind
}

// start starts the calls that aren't in progress.
func (o *observation) start(c context.Context, p peers.Planner) {
	if o.pinging.CompareAndSwap(false, true) {
		go o.pingBetter(c, o.better(p))
	}
	if !o.monitor.watch.Observes() {
		return
	}
	o.startRead(c)
	if o.probing.CompareAndSwap(false, true) {
		go o.probe(c, p)
	}
}

// finish sends a result to the monitor.
func (o *observation) finish(c context.Context, apply func()) {
	select {
	case o.results <- apply:
	case <-c.Done():
	}
}

// startRead starts a read of the end of the partition, which shows whether the planner
// still appends.
func (o *observation) startRead(c context.Context) {
	if !o.reading.CompareAndSwap(false, true) {
		return
	}
	go func() {
		e := o.monitor.cell.entry
		x, cancel := context.WithTimeout(c, pingTimeout)
		defer cancel()
		sent := e.Clock.Now()
		b, err := e.Store.Read(x, lead.Partition(o.monitor.cell.number), offsetPastEnd, 0)
		now := e.Clock.Now()
		o.finish(c, func() {
			o.reading.Store(false)
			if err != nil {
				o.monitor.watch.RecordReadFailure()
				return
			}
			o.monitor.watch.RecordEnd(sent, now, b.End)
		})
	}()
}

// better returns the candidates to ping in the next round: the first that rank before this
// instance and count as alive.
func (o *observation) better(p peers.Planner) []peers.Instance {
	k := o.monitor.cell
	now := k.entry.Clock.Now()
	var out []peers.Instance
	for _, i := range k.entry.directory.Better(k.number, p.ID) {
		if len(out) < maxLivenessPings && k.alive(now, i.ID) {
			out = append(out, i)
		}
	}
	return out
}

// pingBetter pings the candidates, and notes those that don't answer or are leaving. They
// aren't waited for.
func (o *observation) pingBetter(c context.Context, all []peers.Instance) {
	k := o.monitor.cell
	var calls sync.WaitGroup
	var changed, beginning atomic.Bool
	for _, i := range all {
		calls.Go(func() {
			x, cancel := context.WithTimeout(c, livenessTimeout)
			defer cancel()
			pong, err := k.entry.relay.Ping(x, i.Address, k.ping())
			if err != nil || pong.Load.Leaving {
				k.missed(k.entry.Clock.Now(), i.ID)
				changed.Store(true)
			} else if pong.Beginning {
				beginning.Store(true)
			}
		})
	}
	calls.Wait()
	if !changed.Load() && !beginning.Load() {
		_ = k.entry.Clock.Sleep(c, livenessTimeout)
	}
	o.finish(c, func() {
		o.pinging.Store(false)
		if beginning.Load() {
			o.monitor.otherBegins(k.entry.Clock.Now())
		}
	})
}

// otherBegins records that a better candidate is beginning a term.
func (m *plannerMonitor) otherBegins(now time.Time) {
	if m.otherBegan.IsZero() {
		m.otherBegan = now
	}
	limits := []time.Time{now.Add(beginningLifetime), m.otherBegan.Add(maxBeginning)}
	m.waitUntil = slices.MinFunc(limits, time.Time.Compare)
}

// probe asks other candidates whether they reach the planner, maxProbes at a time, until
// one answers.
func (o *observation) probe(c context.Context, p peers.Planner) {
	m := o.monitor
	k := m.cell
	answers := make(chan func(), maxProbes)
	asked, answered := 0, 0
	var apply []func()
	now := k.entry.Clock.Now()
	var all, rest []peers.Instance
	for _, i := range k.entry.directory.Candidates(k.number) {
		switch {
		case i.ID == k.entry.Self.ID || i.ID == p.ID:
		case k.alive(now, i.ID):
			all = append(all, i)
		default:
			rest = append(rest, i)
		}
	}
	all = append(all, rest...)
	for len(all) > 0 && answered == 0 {
		n := min(maxProbes, len(all))
		for _, i := range all[:n] {
			asked++
			go func() { answers <- m.askAboutPlanner(c, p, i) }()
		}
		all = all[n:]
		for ; asked > 0; asked-- {
			f := <-answers
			if f != nil {
				answered++
				apply = append(apply, f)
				break
			}
		}
	}
	o.finish(c, func() {
		o.probing.Store(false)
		if m.planner.Term != p.Term {
			return
		}
		m.watch.SetAlone(answered == 0)
		for _, f := range apply {
			f()
		}
	})
}

// askAboutPlanner asks an instance whether it reaches the planner and returns a function
// that records the answer, nil if there is none.
func (m *plannerMonitor) askAboutPlanner(c context.Context, p peers.Planner, i peers.Instance) func() {
	e := m.cell.entry
	x, cancel := context.WithTimeout(c, probeTimeout)
	defer cancel()
	q := m.cell.ping()
	q.ProbePlanner = true
	pong, err := e.relay.Ping(x, i.Address, q)
	if err != nil {
		m.cell.missed(e.Clock.Now(), i.ID)
		return nil
	}
	near := m.isNear(p, i)
	return func() { m.watch.RecordPeerReport(e.Clock.Now(), pong.PlannerReached, near) }
}
