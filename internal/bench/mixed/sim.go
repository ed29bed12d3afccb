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

// start is the begin of virtual time, tick its step.
var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

const tick = 100 * time.Millisecond

// warmUp is the time until the planner has its term and takes tasks.
const warmUp = 5 * time.Second

// sim is one run of a scenario.
type sim struct {
	scenario Scenario
	clock    *clock.Manual
	log      *logsvc.Service
	pool     *worker.Pool
	planner  *plan.Planner
	random   *rand.Rand
	members  []sched.Member
	inputs   []plan.Input
	tasks    int
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

// step lets one tick pass.
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
			return errors.Join(errors.New("worker call"), err)
		}
		x.inputs = append(x.inputs, plan.WorkerReported{Worker: call.Worker.ID, Serial: call.Serial, Report: r})
	}
	return nil
}

// submit keeps a queue of tasks, so that the offered work exceeds what the
// workers can carry.
func (x *sim) submit() {
	started := x.pool.Observer().Tasks()
	for x.tasks-started < x.scenario.Queue {
		x.tasks++
		k := x.scenario.draw(x.random)
		x.inputs = append(x.inputs, plan.Submitted{Ticket: uint64(x.tasks), Task: sched.Task{
			ID: sched.TaskID(fmt.Sprintf("task-%06d", x.tasks)), Kind: k.Name, Partner: "kooperatiba",
			Team: "team", Urgency: sched.UrgencyBackground, RunTime: k.RunTime, SubmittedAt: x.clock.Now(),
			Needs: sched.Resources{Processors: 1000 * (1 + x.random.Int64N(k.MostProcessors)), Memory: 1 << 30},
		}})
	}
}

// setLoads moves the load of every service along its curve.
func (x *sim) setLoads() {
	at := x.clock.Now().Sub(start)
	n := 0
	for _, s := range x.scenario.Services {
		for range s.Workers {
			phase := 2 * math.Pi * (at.Seconds()/s.Period.Seconds() + float64(n)/float64(len(x.members)))
			load := s.Load + s.Swing*math.Sin(phase)
			x.pool.Worker(x.members[n].ID).SetLoads([]worker.Load{{Service: s.Name, Load: load, BaselineP99: s.alone()}})
			n++
		}
	}
}
