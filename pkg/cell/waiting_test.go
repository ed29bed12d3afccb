package cell_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/hosts"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// calmPass is the time between two passes after the disorder.
	calmPass = 100 * time.Millisecond
	// calmTime is how long every task has then to start: a worker that was lost holds
	// its runs for 9 s, and one that failed may pause for 10 s.
	calmTime = 30 * time.Second
)

// upheaval drives a planner through the events of disorder and through restarts of
// workers, outages of the store and hand-overs in the middle of a batch.
type upheaval struct {
	*disorder
	submitted map[sched.JobID]sched.Job
	tickets   map[cell.Ticket]sched.JobID
	cancelled map[sched.JobID]bool
	// committed holds the tickets whose jobs may be recorded, withdrawn those of callers that
	// were told that their job isn't accepted.
	committed, withdrawn map[cell.Ticket]bool
}

// commitOrDrop is Options.Commit.
func (u *upheaval) commitOrDrop(t cell.Ticket) bool {
	u.committed[t] = !u.withdrawn[t]
	return u.committed[t]
}

// withdraw has a caller withdraw its job, and may submit it again.
func (u *upheaval) withdraw() {
	if u.jobs == 0 {
		return
	}
	id := sched.JobID(fmt.Sprint("j", rapid.IntRange(1, u.jobs).Draw(u.draw, "withdrawn")))
	for t, x := range u.tickets {
		if x != id || u.committed[t] || u.withdrawn[t] {
			continue
		}
		u.withdrawn[t] = true
		if rapid.Bool().Draw(u.draw, "again") {
			u.tickets[u.submit(u.submitted[id])] = id
			u.settle()
		}
		return
	}
}

// checkWithdrawn fails if a job runs whose submissions were all withdrawn.
func (u *upheaval) checkWithdrawn() {
	committed := map[sched.JobID]bool{}
	for t, id := range u.tickets {
		committed[id] = committed[id] || u.committed[t]
		if u.withdrawn[t] && u.replies[t].Code == sched.CodeAccepted {
			u.draw.Fatalf("the withdrawn job %s is accepted", id)
		}
	}
	for _, s := range u.starts {
		if id := s.Order.Task.Job; !committed[id] {
			u.draw.Fatalf("the withdrawn job %s starts", id)
		}
	}
}

// listing returns the platform's entry of a worker.
func (u *upheaval) listing(n int) sched.Worker {
	w := worker(n)
	w.Incarnation = u.workers[w.ID].life
	return w
}

// submitShape submits a job of a random shape.
func (u *upheaval) submitShape() {
	if u.jobs > 4 {
		return
	}
	u.jobs++
	one, two := step(), step()
	two.After = []int{0}
	one.Tasks = 2
	j := job(fmt.Sprint("j", u.jobs), one, two)
	switch rapid.IntRange(0, 4).Draw(u.draw, "shape") {
	case 1:
		j.Steps[0].Gang, j.Steps[0].Tasks = true, 3
	case 2:
		j.Steps = j.Steps[:1]
		j.Schedule = sched.Schedule{Times: 3, First: u.now, Every: 700 * time.Millisecond}
	case 3:
		j.Steps = j.Steps[:1]
		j.Steps[0].Lasting = true
	case 4:
		j.Steps[0].PerWorker = 1
	}
	for k := range j.Steps {
		j.Steps[k].Copies = u.copies && !j.Steps[k].Gang && !j.Steps[k].Lasting
	}
	j.Queue.MaxAttempts = 1000
	u.submitted[j.ID] = j
	u.tickets[u.submit(j)] = j.ID
	u.settle()
}

func (u *upheaval) cancelShape() {
	if u.jobs > 0 && rapid.IntRange(0, 9).Draw(u.draw, "cancel") == 0 {
		id := sched.JobID(fmt.Sprint("j", rapid.IntRange(1, u.jobs).Draw(u.draw, "job")))
		u.cancelled[id] = true
		u.ticket++
		u.planner.Cancel(u.now, u.ticket, id)
		u.settle()
	}
}

// stepOf returns the step of a start order.
func (u *upheaval) stepOf(s cell.StartCall) *sched.Step {
	return &u.submitted[s.Order.Task.Job].Steps[s.Order.Task.Step]
}

// gangHere reports whether all members of the run of a gang are on workers.
func (u *upheaval) gangHere(s cell.StartCall) bool {
	n := 0
	for _, w := range u.workers {
		for _, x := range w.running {
			a, b := x.Order.Task, s.Order.Task
			a.Index, b.Index = 0, 0
			if a == b && x.Order.Run == s.Order.Run {
				n++
			}
		}
	}
	return n == u.stepOf(s).Tasks
}

// endShape ends a run, as done only where the platform allows that.
func (u *upheaval) endShape() {
	n := rapid.IntRange(1, len(u.workers)).Draw(u.draw, "worker")
	w := u.workers[worker(n).ID]
	if len(w.running) == 0 {
		return
	}
	k := rapid.IntRange(0, len(w.running)-1).Draw(u.draw, "run")
	s := u.stepOf(w.running[k])
	ends := []sched.RunEnd{sched.EndDone, sched.EndFailed, sched.EndLeaseExpired}
	if s.Lasting || s.Gang {
		ends = ends[1:]
	}
	w.end(k, rapid.SampledFrom(ends).Draw(u.draw, "end"))
}

// restartWorker begins a new life of a worker, which may be listed late.
func (u *upheaval) restartWorker() {
	if rapid.IntRange(0, 3).Draw(u.draw, "restart") > 0 {
		return
	}
	n := rapid.IntRange(1, len(u.workers)).Draw(u.draw, "worker")
	id := worker(n).ID
	for _, l := range slices.Clone(u.effects.Leases) {
		if l.Worker.ID == id {
			u.exchange(id, sched.LeaseAnswer{}, errLost)
		}
	}
	u.workers[id] = &modelWorker{life: u.workers[id].life + 1, last: map[sched.TaskRef]sched.RunNumber{}}
	if rapid.Bool().Draw(u.draw, "listed") {
		u.planner.Listed(u.now, u.listing(n))
	} else {
		u.planner.Unlisted(u.now, id)
	}
	u.settle()
}

// outage tells the planner that the append in flight takes long.
func (u *upheaval) outage() {
	if u.flight {
		u.planner.StoreUnavailable(600 * time.Millisecond)
		u.settle()
	}
}

// silence lets time pass without a proof that no other planner has taken over.
func (u *upheaval) silence() {
	u.now = u.now.Add(time.Duration(rapid.SampledFrom([]int{300, 3000, 8000}).Draw(u.draw, "silence")) * time.Millisecond)
	u.planner.Tick(u.now)
	u.settle()
}

// replacePlanner hands over at any time. The batch in flight is durable or lost.
func (u *upheaval) replacePlanner() {
	if rapid.IntRange(0, 4).Draw(u.draw, "hand over") > 0 {
		return
	}
	if u.flight && rapid.Bool().Draw(u.draw, "batch lost") {
		u.records = u.before
	}
	for _, s := range u.starts {
		u.workers[s.Worker.ID].late = append(u.workers[s.Worker.ID].late, s)
	}
	u.starts, u.stops = nil, nil
	u.term++
	u.succeed(u.restore(), u.term)
	u.listAll()
}

func (u *upheaval) listAll() {
	for n := range len(u.workers) {
		u.planner.Listed(u.now, u.listing(n+1))
	}
	u.settle()
}

// finishRuns ends all runs that end by themselves as done, gangs once they are
// together.
func (u *upheaval) finishRuns() {
	for n := range len(u.workers) {
		w := u.workers[worker(n+1).ID]
		for _, s := range slices.Clone(w.running) {
			k := slices.IndexFunc(w.running, func(x cell.StartCall) bool { return keyOf(x) == keyOf(s) })
			switch step := u.stepOf(s); {
			case k < 0 || step.Lasting:
			case step.Gang && u.gangHere(s):
				u.finishGang(s)
			case step.Gang:
				w.end(k, sched.EndGangIncomplete)
			default:
				w.end(k, sched.EndDone)
			}
		}
	}
}

func (u *upheaval) finishGang(s cell.StartCall) {
	for _, w := range u.workers {
		for k := len(w.running) - 1; k >= 0; k-- {
			a, b := w.running[k].Order.Task, s.Order.Task
			a.Index, b.Index = 0, 0
			if a == b && w.running[k].Order.Run == s.Order.Run {
				w.end(k, sched.EndDone)
			}
		}
	}
}

// calm answers everything for calmTime.
func (u *upheaval) calm() {
	u.listAll()
	for range int(calmTime / calmPass) {
		u.lapse()
		for u.flight {
			u.append()
		}
		u.collect()
		starts := u.starts
		u.starts = nil
		for _, s := range starts {
			a := sched.OrderAnswer{Clock: u.clock(), Incarnation: u.workers[s.Worker.ID].life}
			if !u.carryOut(s) {
				a.Refusal = sched.RefusedToken
			}
			u.planner.Started(u.now, cell.StartResult{
				Result: cell.Result{Worker: s.Worker.ID, Token: s.Order.Token, Sent: u.now, Received: u.now},
				Key:    keyOf(s), Answer: a,
			})
		}
		for len(u.stops) > 0 {
			u.stopNow(u.stops[0])
			u.stops = u.stops[1:]
		}
		for _, l := range slices.Clone(u.effects.Leases) {
			u.answerLease(l, func() bool { return false })
		}
		u.finishRuns()
		u.pass(calmPass)
	}
}

// stopNow has the worker carry out a stop order.
func (u *upheaval) stopNow(s cell.StopCall) {
	w := u.workers[s.Worker.ID]
	w.last[s.Order.Task] = max(w.last[s.Order.Task], s.Order.Run)
	for k, x := range w.running {
		if x.Order.Task == s.Order.Task && x.Order.Run == s.Order.Run {
			w.end(k, sched.EndStopped)
			break
		}
	}
	u.planner.Stopped(u.now, cell.OrderResult{
		Result: cell.Result{Worker: s.Worker.ID, Token: s.Order.Token, Sent: u.now, Received: u.now},
		Key:    hosts.Key{Task: s.Order.Task, Run: s.Order.Run},
		Answer: sched.OrderAnswer{Clock: u.clock(), Incarnation: u.workers[s.Worker.ID].life},
	})
}

// checkNothingWaits fails if a job hasn't ended, or a lasting task doesn't run.
func (u *upheaval) checkNothingWaits() {
	running := map[sched.TaskRef]bool{}
	for _, w := range u.workers {
		for _, s := range w.running {
			running[s.Order.Task] = true
		}
	}
	for t, id := range u.tickets {
		j := u.submitted[id]
		if u.replies[t].Code != sched.CodeAccepted || u.cancelled[id] {
			continue
		}
		state, _ := u.planner.State(u.now, id)
		if !j.Steps[0].Lasting && state != sched.JobCompleted {
			u.draw.Fatalf("job %s is in state %d after %s with all workers free: %+v", id, state, calmTime, j)
		}
		for k := range j.Steps[0].Tasks {
			if r := (sched.TaskRef{Job: id, Index: k}); j.Steps[0].Lasting && !running[r] {
				u.draw.Fatalf("lasting task %v doesn't run after %s with all workers free", r, calmTime)
			}
		}
	}
}

// Guards against a task that is lost from the waiting list: after any order of ends,
// losses, cancels, restarts, hand-overs and outages of the store, each task whose turn
// has come starts while the workers are free.
func TestEveryTaskStartsAfterAnyOrderOfEvents(t *testing.T) {
	const rounds = 5 // of 100 event orders
	for range rounds {
		rapid.Check(t, func(draw *rapid.T) { playUpheaval(t, draw) })
	}
}

func playUpheaval(t *testing.T, draw *rapid.T) {
	u := &upheaval{
		disorder: &disorder{
			rig: newRig(t), draw: draw, workers: map[sched.InstanceID]*modelWorker{}, done: map[sched.TaskRef]bool{},
			copies: rapid.Bool().Draw(draw, "copies"), term: 1,
		},
		submitted: map[sched.JobID]sched.Job{}, tickets: map[cell.Ticket]sched.JobID{}, cancelled: map[sched.JobID]bool{},
		committed: map[cell.Ticket]bool{}, withdrawn: map[cell.Ticket]bool{},
	}
	u.commitTicket = u.commitOrDrop
	u.succeed(nil, u.term)
	for n := range 3 {
		u.workers[worker(n+1).ID] = &modelWorker{life: 1, last: map[sched.TaskRef]sched.RunNumber{}}
	}
	u.listAll()
	events := []func(){
		u.answerStart, u.answerStart, u.answerStart, u.lateStart, u.answerStop, u.endShape, u.endShape, u.report, u.report, u.report,
		u.append, u.append, u.wait, u.wait, u.submitShape, u.submitShape, u.cancelShape, u.restartWorker, u.outage, u.silence,
		u.replacePlanner, u.settleAll, u.settleAll, u.withdraw, u.withdraw,
	}
	for _, k := range rapid.SliceOfN(rapid.IntRange(0, len(events)-1), 20, 150).Draw(draw, "events") {
		u.lapse()
		events[k]()
		u.collect()
		u.checkWithdrawn()
	}
	u.calm()
	u.checkNothingWaits()
}
