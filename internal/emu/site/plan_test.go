package site_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/emu/work"
	"github.com/parsleybarrow/parsleybarrow/internal/emu/world"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// fault is one change of the world, at a time after the faults begin.
type fault struct {
	at   time.Duration
	name string
	do   func(*trial)
	// begins is 1 if a fault begins, -1 if one ends, and 0 if it takes no time.
	begins int
}

// plan draws 4 to 11 faults over faultTime, with their ends, in order of time.
func (t *trial) plan() []fault {
	var plan []fault
	for range 4 + t.random.IntN(8) {
		at := time.Duration(t.random.Int64N(int64(faultTime * 9 / 10)))
		span := time.Duration(300+t.random.IntN(9000)) * time.Millisecond
		plan = append(plan, t.draw(at, span)...)
	}
	return inOrder(append(plan, t.evacuations()...))
}

// inOrder sorts the faults by their times.
func inOrder(plan []fault) []fault {
	slices.SortStableFunc(plan, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return plan
}

// draw returns a random fault at the given time, and its end after the span or at
// the end of faultTime. The trim of the store's history has no end.
func (t *trial) draw(at, span time.Duration) []fault {
	n, m := t.random.IntN(t.instances), t.random.IntN(t.workers)
	all := t.random.IntN(4) == 0
	kinds := []func() (string, func(*trial), func(*trial)){
		func() (string, func(*trial), func(*trial)) { return t.kill(n, all) },
		func() (string, func(*trial), func(*trial)) { return t.restart(n) },
		func() (string, func(*trial), func(*trial)) { return t.freeze(n) },
		func() (string, func(*trial), func(*trial)) { return t.cutInstance(n, all) },
		func() (string, func(*trial), func(*trial)) { return t.storeFault(n, all) },
		func() (string, func(*trial), func(*trial)) { return t.storeFault(n, all) },
		func() (string, func(*trial), func(*trial)) { return t.orderFault(n) },
		func() (string, func(*trial), func(*trial)) { return t.crash(m) },
		func() (string, func(*trial), func(*trial)) { return t.cutWorker(m, n) },
		func() (string, func(*trial), func(*trial)) { return t.degrade(m) },
		func() (string, func(*trial), func(*trial)) { return t.drain(m) },
		func() (string, func(*trial), func(*trial)) { return t.trimHistory() },
		func() (string, func(*trial), func(*trial)) { return t.shrink(m) },
	}
	name, begin, end := kinds[t.random.IntN(len(kinds))]()
	if end == nil {
		return []fault{{at, name, begin, 0}}
	}
	return []fault{{at, name, begin, 1}, {min(at+span, faultTime), "end of " + name, end, -1}}
}

// evacuations draws up to three evacuations, each of one data centre or, rarely, of all. They
// have a random sequence of their own.
func (t *trial) evacuations() []fault {
	random := rand.New(rand.NewPCG(t.seed, 11))
	var out []fault
	for range random.IntN(4) {
		at := time.Duration(random.Int64N(int64(faultTime * 9 / 10)))
		span := time.Duration(300+random.IntN(15000)) * time.Millisecond
		first, n := random.IntN(dataCentres), 1
		if random.IntN(5) == 0 {
			n = dataCentres
		}
		change := func(inForce bool) func(*trial) {
			return func(t *trial) {
				for k := range n {
					t.world.Evacuate(dataCentre(first+k), inForce)
				}
			}
		}
		name := fmt.Sprint("evacuate ", dataCentre(first), " of ", n)
		out = append(out, fault{at, name, change(true), 1}, fault{min(at+span, faultTime), "end of " + name, change(false), -1})
	}
	return out
}

// targets returns the instance, or all instances.
func (t *trial) targets(n int, all bool) []sched.InstanceID {
	if !all {
		return []sched.InstanceID{instance(n)}
	}
	var out []sched.InstanceID
	for k := range t.instances {
		out = append(out, instance(k))
	}
	return out
}

// kill kills instances and starts them again at the end of the fault.
func (t *trial) kill(n int, all bool) (string, func(*trial), func(*trial)) {
	ids := t.targets(n, all)
	return fmt.Sprint("kill ", ids), func(t *trial) {
			for _, id := range ids {
				t.site.Kill(id)
			}
		}, func(t *trial) {
			for _, id := range ids {
				t.startIfDown(id)
			}
		}
}

// restart stops an instance in an orderly way and starts it again.
func (t *trial) restart(n int) (string, func(*trial), func(*trial)) {
	return fmt.Sprint("stop ", instance(n)), func(t *trial) { t.site.Stop(instance(n)) },
		func(t *trial) { t.site.Start(instance(n)) }
}

func (t *trial) freeze(n int) (string, func(*trial), func(*trial)) {
	return fmt.Sprint("freeze ", instance(n)), func(t *trial) { t.world.Freeze(instance(n)) },
		func(t *trial) { t.world.Thaw(instance(n)) }
}

// cutInstance cuts an instance off from all others: in both directions, or, if one
// way, only for messages that it sends.
func (t *trial) cutInstance(n int, oneWay bool) (string, func(*trial), func(*trial)) {
	change := func(cut bool) func(*trial) {
		return func(t *trial) {
			for k := range t.instances {
				if k == n {
					continue
				}
				t.site.Cut(instance(n), instance(k), cut)
				t.site.Cut(instance(k), instance(n), cut && !oneWay)
			}
		}
	}
	return fmt.Sprint("cut ", instance(n), " one way ", oneWay), change(true), change(false)
}

// storeFault makes the store silent, busy, slow, lossy or late for instances.
func (t *trial) storeFault(n int, all bool) (string, func(*trial), func(*trial)) {
	paths := []struct {
		name string
		path world.Path
	}{
		{"silent", world.Path{Delay: time.Millisecond, Mode: world.Silent}},
		{"busy", world.Path{Delay: time.Millisecond, Mode: world.Busy}},
		{"slow", world.Path{Delay: 150 * time.Millisecond}},
		{"loses answers", world.Path{Delay: time.Millisecond, Lost: 0.35}},
		{"is late", world.Path{Delay: time.Millisecond, Late: 0.3}},
	}
	p := paths[t.random.IntN(len(paths))]
	ids := t.targets(n, all)
	change := func(to world.Path) func(*trial) {
		return func(t *trial) {
			for _, id := range ids {
				t.world.StorePath(id, func(p *world.Path) { *p = to })
			}
		}
	}
	return fmt.Sprint("store ", p.name, " for ", ids), change(p.path), change(world.Path{Delay: time.Millisecond})
}

// orderFault makes orders of one instance lose their answers or take effect late.
func (t *trial) orderFault(n int) (string, func(*trial), func(*trial)) {
	to := world.Path{Delay: time.Millisecond, Late: 0.15}
	if t.random.IntN(2) == 0 {
		to = world.Path{Delay: time.Millisecond, Lost: 0.2}
	}
	change := func(to world.Path) func(*trial) {
		return func(t *trial) { t.world.WorkPath(instance(n), func(p *world.Path) { *p = to }) }
	}
	return fmt.Sprintf("orders of %s lost %v late %v", instance(n), to.Lost, to.Late),
		change(to), change(world.Path{Delay: time.Millisecond})
}

func (t *trial) crash(m int) (string, func(*trial), func(*trial)) {
	return fmt.Sprint("crash ", worker(m)), func(t *trial) {
			t.world.Worker(worker(m), func(now time.Time, x *work.Worker) { x.Crash(now) })
		}, func(t *trial) {
			t.world.Worker(worker(m), restart)
		}
}

// restart starts a worker again that is down because of a fault. The world itself does
// so with a worker that a run has crashed.
func restart(now time.Time, x *work.Worker) {
	if x.Down && x.CrashedBy == (work.RunKey{}) {
		x.Begin(now)
	}
}

// cutWorker cuts a worker off from one instance or from the whole platform.
func (t *trial) cutWorker(m, n int) (string, func(*trial), func(*trial)) {
	switch t.random.IntN(3) {
	case 0: // unreachable for one instance only
		return fmt.Sprint("cut ", worker(m), " from ", instance(n)),
			func(t *trial) { t.world.CutWorkerFrom(instance(n), worker(m), true) },
			func(t *trial) { t.world.CutWorkerFrom(instance(n), worker(m), false) }
	case 1: // isolated, crashes, and restarts at once
		return fmt.Sprint("cut and crash ", worker(m)), func(t *trial) {
				t.world.IsolateWorker(worker(m), true)
				t.world.Worker(worker(m), func(now time.Time, x *work.Worker) {
					if !x.Down {
						x.Crash(now)
						restart(now, x)
					}
				})
			},
			func(t *trial) { t.world.IsolateWorker(worker(m), false) }
	}
	return fmt.Sprint("cut ", worker(m)), func(t *trial) { t.world.IsolateWorker(worker(m), true) },
		func(t *trial) { t.world.IsolateWorker(worker(m), false) }
}

// degrade makes a worker slow, stuck, failing or refusing, with its heartbeats
// unchanged.
func (t *trial) degrade(m int) (string, func(*trial), func(*trial)) {
	kinds := []struct {
		name string
		set  func(*work.Worker, bool)
	}{
		{"slow", func(x *work.Worker, on bool) { x.Slow = map[bool]float64{true: 6, false: 1}[on] }},
		{"still", func(x *work.Worker, on bool) { x.Still = on }},
		{"failing", func(x *work.Worker, on bool) { x.Failing = on }},
		{"refusing", func(x *work.Worker, on bool) { x.Refusing = on }},
	}
	k := kinds[t.random.IntN(len(kinds))]
	change := func(on bool) func(*trial) {
		return func(t *trial) { t.world.Worker(worker(m), func(_ time.Time, x *work.Worker) { k.set(x, on) }) }
	}
	return fmt.Sprint(k.name, " ", worker(m)), change(true), change(false)
}

// drain makes a worker announce that it leaves in 2.5 s or later. At the end of the
// fault the worker crashes and starts again.
func (t *trial) drain(m int) (string, func(*trial), func(*trial)) {
	return fmt.Sprint("drain ", worker(m)), func(t *trial) {
			t.world.Worker(worker(m), func(_ time.Time, x *work.Worker) {
				x.Draining, x.DrainRemaining = true, 2500*time.Millisecond
			})
		}, func(t *trial) {
			t.world.Worker(worker(m), func(now time.Time, x *work.Worker) {
				x.Crash(now)
				x.Draining, x.DrainRemaining = false, 0
				restart(now, x)
			})
		}
}

// shrink makes a worker's capacity shrink to a part, and grow again.
func (t *trial) shrink(m int) (string, func(*trial), func(*trial)) {
	const minPercent = 30 // every task of the generator fits
	percent := int64(minPercent + t.random.IntN(60))
	change := func(percent int64) func(*trial) {
		return func(t *trial) {
			t.world.Worker(worker(m), func(now time.Time, x *work.Worker) {
				x.Resize(now, sched.Resources{Processors: capacity.Processors * percent / 100, Memory: capacity.Memory * percent / 100})
			})
		}
	}
	return fmt.Sprintf("shrink %s to %d%%", worker(m), percent), change(percent), change(100)
}

// trimHistory removes the history of the operator's and the workers' records.
func (t *trial) trimHistory() (string, func(*trial), func(*trial)) {
	return "store forgets history", func(t *trial) { t.world.TrimHistory() }, nil
}
