package mixed

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/standin/logsvc"
	"github.com/parsleybarrow/parsleybarrow/internal/standin/worker"
	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
	"github.com/parsleybarrow/parsleybarrow/pkg/lease"
	"github.com/parsleybarrow/parsleybarrow/pkg/plan"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// start is the beginning of virtual time.
var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

const tick = 100 * time.Millisecond

// warmUp is the time before the first submission, in which the planner begins
// its term.
const warmUp = 5 * time.Second

// sim is one run of a scenario.
type sim struct {
	scenario  Scenario
	clock     *clock.Manual
	log       *logsvc.Service
	pool      *worker.Pool
	planner   *plan.Planner
	random    *rand.Rand
	members   []sched.Member
	inputs    []plan.Input
	submitted int
}

func newSim(s Scenario, p Policy, seed uint64) *sim {
	m := clock.NewManual(start)
	x := &sim{
		scenario: s, clock: m, random: rand.New(rand.NewPCG(seed, 2)),
		log: logsvc.New(m, seed, logsvc.Retention{}),
		pool: worker.NewPool(worker.Config{
			Clock: m, Seed: seed, ReportLag: s.Lag, LatencyNoise: s.Noise, Impacts: s.Impacts, Truth: worker.TruthOf(seed, s.truths()),
		}),
	}
	n := 0
	for _, service := range s.Services {
		for range service.Workers {
			member := sched.Member{
				ID: sched.InstanceID(fmt.Sprintf("worker-%02d", n)), Role: sched.RoleWorker, State: sched.StateLive,
				Rack: fmt.Sprintf("rack-%d", n%rackCount), Capacity: s.Capacity,
			}
			n++
			x.members = append(x.members, member)
			x.pool.Add(member)
		}
	}
	o := plan.Options{
		Instance: "entry-0", Incarnation: 1, Seed: seed,
		Settings: &sched.Settings{
			TaskKinds: s.kindSettings(),
			Limits: sched.LimitSettings{
				LeaseDuration: 20 * time.Second, ClockBound: 500 * time.Millisecond,
				IsolationLimit: 30 * time.Minute, ListLag: 10 * time.Second, DedupWindow: 24 * time.Hour,
			},
		},
	}
	p.Options(&o, s)
	x.planner = plan.New(o)
	return x
}

const rackCount = 3

// step processes tick n: it feeds the planner all inputs, including the results
// of its own calls, and advances the clock.
func (x *sim) step(n int) error {
	x.setLoads()
	now := x.clock.Now()
	if n%int(time.Second/tick) == 0 {
		x.inputs = append(x.inputs, plan.MembersSeen{
			Responsible: true, Workers: x.members, Contact: lease.Contact{List: now, Peer: now},
		})
		if now.Sub(start) >= warmUp {
			x.submit()
		}
	}
	x.inputs = append(x.inputs, plan.Ticked{})
	for len(x.inputs) > 0 {
		in := x.inputs[0]
		x.inputs = x.inputs[1:]
		if err := x.carryOut(x.planner.Step(now, in)); err != nil {
			return err
		}
	}
	x.clock.Advance(tick)
	return nil
}

func (x *sim) carryOut(o plan.Output) error {
	c := context.Background()
	if o.Read {
		const pageSize = 1000
		p, err := x.log.Read(c, "tasks/bench", x.planner.NextOffset(), pageSize)
		if err != nil {
			return fmt.Errorf("read: %w", err)
		}
		x.inputs = append(x.inputs, plan.RecordsRead{Began: x.clock.Now(), Page: p})
	}
	if o.Append != nil {
		_, err := x.log.Append(c, "tasks/bench", o.Append.Data)
		x.inputs = append(x.inputs, plan.Appended{Serial: o.Append.Serial, Err: err})
	}
	for _, call := range o.Calls {
		r, err := x.pool.Exchange(c, call.Worker, call.Call)
		if err != nil {
			return errors.Join(fmt.Errorf("call worker %s", call.Worker.ID), err)
		}
		x.inputs = append(x.inputs, plan.WorkerReported{Worker: call.Worker.ID, Serial: call.Serial, Report: r})
	}
	return nil
}

// submit keeps Scenario.Queue tasks unstarted, so that the offered work exceeds
// the capacity of the workers.
func (x *sim) submit() {
	started := x.pool.Observer().Tasks()
	for x.submitted-started < x.scenario.Queue {
		x.submitted++
		k := x.scenario.drawKind(x.random)
		x.inputs = append(x.inputs, plan.Submitted{Ticket: uint64(x.submitted), Task: sched.Task{
			ID: sched.TaskID(fmt.Sprintf("task-%06d", x.submitted)), Kind: k.Name, Partner: "kooperatiba",
			Team: "team", Urgency: sched.UrgencyBackground, RunTime: k.RunTime, SubmittedAt: x.clock.Now(),
			Needs: sched.Resources{Processors: 1000 * (1 + x.random.Int64N(k.MostProcessors)), Memory: 1 << 30},
		}})
	}
}

// setLoads sets the load of every worker's service from its sine, with a phase
// per worker.
func (x *sim) setLoads() {
	at := x.clock.Now().Sub(start)
	n := 0
	for _, s := range x.scenario.Services {
		for range s.Workers {
			phase := 2 * math.Pi * (at.Seconds()/s.Period.Seconds() + float64(n)/float64(len(x.members)))
			load := s.Load + s.Swing*math.Sin(phase)
			x.pool.Worker(x.members[n].ID).SetLoads([]worker.Load{{Service: s.Name, Load: load, BaselineP99: s.aloneP99()}})
			n++
		}
	}
}
