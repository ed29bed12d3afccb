package cell_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// benchSteps is the number of steps that wait in a pass, and benchPass the time
	// between two passes.
	benchSteps = 100
	benchPass  = 20 * time.Millisecond
)

// fullCell is a cell of full workers. Runs take 8 to 14 s, so that some 1.4 of them end on
// each worker in a second, and a hundred steps wait all the time.
type fullCell struct {
	*rig
	random  *rand.Rand
	workers map[sched.InstanceID]*modelWorker
	endsAt  map[sched.TaskRef]time.Time
	made    int
	waiting int
}

func newFullCell(b *testing.B, workers int, ahead bool) *fullCell {
	c := &fullCell{
		rig: newRig(b), random: rand.New(rand.NewPCG(1, 1)), workers: map[sched.InstanceID]*modelWorker{},
		endsAt: map[sched.TaskRef]time.Time{},
	}
	o := options(1)
	o.LookAhead = ahead
	c.planner = cell.New(c.now, nil, o)
	var all []sched.Worker
	for n := range workers {
		c.workers[worker(n).ID] = &modelWorker{last: map[sched.TaskRef]sched.RunNumber{}}
		all = append(all, worker(n))
	}
	c.list(all...)
	for range workers {
		c.add(withTasks(benchStep(), 16))
	}
	for range 50 {
		c.pass(benchPass)
		c.answer()
	}
	return c
}

func benchStep() sched.Step {
	s := step()
	s.Estimate = 10 * time.Second
	return s
}

func (c *fullCell) add(s sched.Step) {
	c.made++
	c.submit(job(fmt.Sprint("j", c.made), s))
}

// fill submits steps until benchSteps wait: one in ten of lasting tasks, one in ten a gang,
// three in ten large.
func (c *fullCell) fill() {
	for ; c.waiting < benchSteps; c.waiting++ {
		s := benchStep()
		s.Needs.Processors += 100 * c.random.Int64N(5)
		switch k := c.random.IntN(10); {
		case k == 0:
			s = withTasks(s, 4)
			s.Lasting, s.Needs.Processors = true, 3200
		case k == 1:
			s = withTasks(s, 6)
			s.Gang = true
		case k < 5:
			s.Needs.Processors += 3000
		}
		c.add(s)
	}
}

// answer carries out the orders of a pass and ends the runs that are over.
func (c *fullCell) answer() {
	c.commit()
	for _, s := range c.starts() {
		c.workers[s.Worker.ID].accept(s)
		c.start(s, nil)
		if _, begun := c.endsAt[sched.TaskRef{Job: s.Order.Task.Job}]; !begun {
			c.endsAt[sched.TaskRef{Job: s.Order.Task.Job}] = time.Time{}
			c.waiting = max(0, c.waiting-1)
		}
		c.endsAt[s.Order.Task] = c.now.Add(8*time.Second + time.Duration(c.random.Int64N(int64(6*time.Second))))
	}
	for _, l := range c.effects.Leases {
		w := c.workers[l.Worker.ID]
		for k := len(w.running) - 1; k >= 0; k-- {
			if c.now.After(c.endsAt[w.running[k].Order.Task]) {
				w.end(k, sched.EndDone)
			}
		}
		a := sched.LeaseAnswer{Ended: w.ended[l.Order.RecordedEnd:]}
		for _, x := range w.running {
			left := c.endsAt[x.Order.Task].Sub(c.now)
			a.Running = append(a.Running, running(x, max(0, int(100-100*left/(11*time.Second)))))
		}
		c.exchange(l.Worker.ID, a, nil)
	}
	c.commit()
}

// BenchmarkPlacementPass reports the time of a placement pass over a hundred waiting steps
// with look-ahead placement and without. Each iteration is a pass; the rest isn't counted.
func BenchmarkPlacementPass(b *testing.B) {
	for _, workers := range []int{490, 890} {
		for _, ahead := range []bool{false, true} {
			b.Run(fmt.Sprintf("workers=%d/ahead=%v", workers, ahead), func(b *testing.B) {
				c := newFullCell(b, workers, ahead)
				var passes, longest time.Duration
				n := 0
				for b.Loop() {
					c.fill()
					c.now = c.now.Add(benchPass)
					c.planner.Proven(c.now)
					began := time.Now()
					c.planner.Place(c.now)
					d := time.Since(began)
					passes, longest = passes+d, max(longest, d)
					n++
					c.pass(0)
					c.answer()
				}
				b.ReportMetric(float64(passes.Microseconds())/float64(n), "µs/pass")
				b.ReportMetric(float64(longest.Microseconds()), "µs/longest")
				b.ReportMetric(float64(c.planner.Stats().Planned)/float64(n), "planned/pass")
				b.ReportMetric(float64(c.planner.Stats().Starts)/float64(n), "starts/pass")
			})
		}
	}
}
