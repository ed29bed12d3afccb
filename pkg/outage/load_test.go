package outage_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/outage"
)

// The load of the simulation: as many calls as 490 workers get in a burst.
const (
	instances    = 8
	callRate     = 200 // a second
	loadTime     = 20 * time.Second
	troubleBegin = 5 * time.Second
	callTime     = 2850 * time.Millisecond // of 3 s
	maxReturns   = 4
	usualRate    = 1000 // decisions a second of a planner that isn't slow
	plannerTrip  = 20 * time.Millisecond
	pendingLimit = 400 * time.Millisecond // then a planner refuses what it can't record
	returnsBin   = 100 * time.Millisecond
	callGoal     = 500 * time.Millisecond
	step         = time.Millisecond
)

// trouble is what happens to the planner from troubleBegin on.
type trouble struct {
	duration time.Duration
	// lost: the planner is gone, and its answers with it. pending: its append has no answer.
	lost, pending bool
	// slow is how many times more calls arrive than it decides, 0 if it isn't slow.
	slow float64
}

// caller submits one job, again after a refusal.
type caller struct {
	instance, priority   int
	first, arrived, next time.Duration
	returns              int
	phase                phase
	mayHaveRun           bool
}

type phase int

const (
	away phase = iota // until next
	held
	planned
	over
)

// counts are what the callers get. held counts calls that were answered at the end of their
// time, and lost those that were refused and don't come back.
type counts struct {
	inTarget, late, refusedAtOnce, held, unknown, lost int
	peak                                               int // returns in 100 ms
}

// play is one simulation.
type play struct {
	t       trouble
	gates   []outage.Gate
	callers []*caller // in the order of their first calls
	active  []*caller // those that have come and aren't through
	queue   []*caller // at the planner
	budget  float64   // decisions that it may make
	whole   bool      // callers read whole seconds only
	out     counts
	bins    map[time.Duration]int
	epoch   time.Time
}

func newPlay(t trouble, whole bool) *play {
	p := &play{t: t, whole: whole, gates: make([]outage.Gate, instances), bins: map[time.Duration]int{}, epoch: time.Unix(0, 0)}
	r := rand.New(rand.NewPCG(1, 1))
	for k := range p.gates {
		p.gates[k].Random = r.Float64
	}
	for n := range int(callRate * loadTime.Seconds()) {
		p.callers = append(p.callers, &caller{
			instance: n % instances, priority: n / instances % 3, first: time.Duration(n) * time.Second / callRate,
			next: time.Duration(n) * time.Second / callRate,
		})
	}
	return p
}

func (p *play) inTrouble(now time.Duration) bool {
	return now >= troubleBegin && now < troubleBegin+p.t.duration
}

// run plays until every caller is through.
func (p *play) run() counts {
	for now := time.Duration(0); now < loadTime+30*time.Second; now += step {
		if p.t.lost && now == troubleBegin {
			for _, c := range p.queue {
				c.phase, c.mayHaveRun = held, true
				p.gates[c.instance].Ended()
			}
			p.queue = nil
		}
		if now == troubleBegin+p.t.duration {
			for k := range p.gates {
				if p.t.lost {
					p.gates[k].PlannerFound(p.epoch.Add(now))
				}
			}
		}
		p.decide(now)
		for len(p.callers) > 0 && p.callers[0].first <= now {
			p.active, p.callers = append(p.active, p.callers[0]), p.callers[1:]
		}
		for _, c := range p.active {
			p.advance(now, c)
		}
		p.active = slices.DeleteFunc(p.active, func(c *caller) bool { return c.phase == over })
	}
	for _, n := range p.bins {
		p.out.peak = max(p.out.peak, n)
	}
	return p.out
}

// decide lets the planner decide calls as far as it can, and withdraw those that it can't.
func (p *play) decide(now time.Duration) {
	if p.t.lost && p.inTrouble(now) {
		return
	}
	p.budget = min(p.budget+p.rate(now)*step.Seconds(), 1)
	rest := p.queue[:0]
	for _, c := range p.queue {
		switch pending := p.t.pending && p.inTrouble(now); {
		case pending && now >= troubleBegin+pendingLimit:
			p.refuseAtPlanner(now, c, true)
		case now-c.arrived >= callTime-200*time.Millisecond:
			p.refuseAtPlanner(now, c, false)
		case !pending && p.budget >= 1 && now >= c.next:
			p.budget--
			g := &p.gates[c.instance]
			g.Ended()
			g.Decided(p.epoch.Add(now), now-c.next)
			c.phase = over
			if now-c.first <= callGoal {
				p.out.inTarget++
			} else {
				p.out.late++
			}
		default:
			rest = append(rest, c)
		}
	}
	p.queue = rest
}

func (p *play) rate(now time.Duration) float64 {
	if p.t.slow > 0 && p.inTrouble(now) {
		return callRate / p.t.slow
	}
	return usualRate
}

func (p *play) refuseAtPlanner(now time.Duration, c *caller, pending bool) {
	g := &p.gates[c.instance]
	g.Ended()
	at := p.epoch.Add(now)
	if pending {
		g.AppendPending(at, p.epoch.Add(troubleBegin))
	} else {
		g.Behind(at, time.Duration(float64(len(p.queue))/p.rate(now)*float64(time.Second)))
	}
	p.refuse(now, c, g.RetryAfter(at, p.call(now, c)))
}

func (p *play) call(now time.Duration, c *caller) outage.Call {
	return outage.Call{
		Left: callTime - (now - c.arrived), Priority: c.priority, Waited: now - c.arrived, MayHaveRun: c.mayHaveRun,
	}
}

// refuse sends a caller away. It returns as told.
func (p *play) refuse(now time.Duration, c *caller, after time.Duration) {
	if now-c.arrived <= pendingLimit+plannerTrip {
		p.out.refusedAtOnce++
	}
	if c.returns++; c.returns > maxReturns {
		p.out.lost++
		c.phase = over
		return
	}
	if p.whole {
		after = time.Duration(math.Ceil(after.Seconds())) * time.Second
	}
	c.phase, c.next = away, now+after
}

// advance has a caller submit its job when it is time, and its instance decide.
func (p *play) advance(now time.Duration, c *caller) {
	g, at := &p.gates[c.instance], p.epoch.Add(now)
	if c.phase == away && now >= c.next {
		c.phase, c.arrived = held, now
		if c.returns > 0 {
			p.bins[now/returnsBin]++
		}
	}
	if c.phase != held {
		return
	}
	if now-c.arrived >= callTime {
		p.out.held++
		c.phase = over
		return
	}
	if now < c.next {
		return
	}
	switch v := g.Decide(at, p.call(now, c)); {
	case v.Action == outage.Wait:
		c.next = now + v.For
	case v.Action == outage.Send && p.t.lost && p.inTrouble(now):
		g.PlannerLost(at) // connections are refused
	case v.Action == outage.Send:
		g.Sent(at)
		c.phase, c.next = planned, now+plannerTrip
		p.queue = append(p.queue, c)
		if wait := time.Duration(float64(len(p.queue)) / p.rate(now) * float64(time.Second)); wait > callTime-200*time.Millisecond-(now-c.arrived) {
			p.queue = p.queue[:len(p.queue)-1]
			p.refuseAtPlanner(now, c, false)
		}
	case v.Action == outage.RefuseNotRun:
		p.refuse(now, c, v.RetryAfter)
	case v.Action == outage.GiveUpUnknown:
		p.out.unknown++
		c.phase = over
	}
}

// Guards against calls that are held until their callers give up while nobody can decide
// them, against callers that are sent away more often than they come back, and against
// returns in bursts that the planner can't take.
func TestCallersUnderAnOutageAndASlowPlanner(t *testing.T) {
	rows := []struct {
		name  string
		t     trouble
		whole bool
		// At least so many of 4000 calls are served within their target.
		inTarget int
	}{
		{"no trouble", trouble{}, true, 4000},
		{"planner lost for 1 s", trouble{duration: time.Second, lost: true}, true, 3850},
		{"planner lost for 4 s", trouble{duration: 4 * time.Second, lost: true}, true, 3100},
		{"planner lost for 4 s, callers read milliseconds", trouble{duration: 4 * time.Second, lost: true}, false, 3100},
		{"append pending for 4 s", trouble{duration: 4 * time.Second, pending: true}, true, 3100},
		{"three times too slow for 6 s", trouble{duration: 6 * time.Second, slow: 3}, true, 2600},
		{"three times too slow for 6 s, callers read milliseconds", trouble{duration: 6 * time.Second, slow: 3}, false, 2600},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			i := is.New(t)
			n := newPlay(row.t, row.whole).run()
			t.Logf("%+v", n)
			i.Equal(n.held, 0)
			i.Equal(n.lost, 0)
			i.True(n.unknown <= int(callRate*plannerTrip.Seconds()*2)) // those in flight when the planner was lost
			i.Equal(n.inTarget+n.late+n.unknown, int(callRate*loadTime.Seconds()))
			i.True(n.inTarget >= row.inTarget)
			// New calls and returns together stay below what the planner decides.
			i.True(float64(n.peak) <= (usualRate-callRate)*returnsBin.Seconds())
		})
	}
}
