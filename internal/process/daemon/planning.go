package daemon

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/coloc"
	"github.com/parsleybarrow/parsleybarrow/pkg/lease"
	"github.com/parsleybarrow/parsleybarrow/pkg/ledger"
	"github.com/parsleybarrow/parsleybarrow/pkg/member"
	"github.com/parsleybarrow/parsleybarrow/pkg/plan"
	"github.com/parsleybarrow/parsleybarrow/pkg/rendez"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/suspct"
)

// planning is the part of the control state that concerns tasks.
type planning struct {
	// planner is nil until there is a configuration.
	planner *plan.Planner
	// ledger is the state of the tasks that the view shows.
	ledger *ledger.Ledger
	// tickets holds the reply channel of each open request to the planner.
	tickets map[uint64]chan plan.Reply
	// lastTicket is the newest key of tickets.
	lastTicket uint64
	// peers holds what the peers of the own data centre reported about terms.
	peers   map[sched.InstanceID]plan.PeerTerm
	contact lease.Contact
	absence absence
	// startedAt and selfListed decide whether the list is recent enough to show
	// the other candidates.
	startedAt  time.Time
	selfListed bool
	// settled is the result of control.settled once it is true.
	settled bool
	// queued and placed count the open tasks of the own data centre.
	queued int
	placed int
}

const (
	// workerCallTimeout is shorter than the 3 s after which the planner itself
	// gives up a call to a worker.
	workerCallTimeout = 2 * time.Second
	// taskPageLimit is the largest number of task records of one read.
	taskPageLimit = 500
	// maxSettleTime ends the wait for peers that never become candidates. It is
	// longer than the hysteresis, after which a peer that sends heartbeats is a
	// candidate.
	maxSettleTime = 2 * member.DefaultHysteresis
)

// configurePlanner passes the configuration in force to the planner and creates
// the planner with the first one.
func (c *control) configurePlanner(now time.Time) {
	if c.plan.planner != nil {
		c.execute(c.plan.planner.Step(now, plan.SettingsChanged{Settings: c.settings}))
		return
	}
	c.plan.planner = plan.New(plan.Options{
		Instance: c.daemon.ID, Incarnation: c.daemon.Incarnation, Seed: c.daemon.Seed, Settings: c.settings,
		Interference:      coloc.New(coloc.Options{LatencyGoal: c.latencyGoal, KindOf: c.kindOf}),
		FailureClassifier: suspct.New(),
	})
}

// latencyGoal returns the latency goal of a service in the configuration in
// force, or 0 for an unknown service.
func (c *control) latencyGoal(service string) time.Duration {
	s, _ := c.rules.Service(service)
	return s.LatencyGoal
}

// kindOf returns the kind of a task in the replayed state, or "" for an unknown
// task.
func (c *control) kindOf(id sched.TaskID) string {
	if t, known := c.plan.planner.Ledger().Task(id); known {
		return t.Task.Kind
	}
	return ""
}

// stepPlanner passes an input to the planner and carries out its output. It does
// nothing until there is a configuration.
func (c *control) stepPlanner(now time.Time, in plan.Input) {
	if c.plan.planner != nil {
		c.execute(c.plan.planner.Step(now, in))
	}
}

// tickPlanner passes the membership and the time to the planner.
func (c *control) tickPlanner(now time.Time) {
	if c.plan.planner == nil {
		return
	}
	c.stepPlanner(now, c.currentMembers())
	c.stepPlanner(now, plan.Ticked{})
	c.plan.ledger = c.plan.planner.Ledger()
	c.countTasks()
}

// currentMembers returns what this instance knows of the workers and the
// planners of its data centre.
func (c *control) currentMembers() plan.MembersSeen {
	v := c.table.View()
	owner := c.responsiblePlanner(v)
	m := plan.MembersSeen{Responsible: owner == c.daemon.ID && !c.leaving, Contact: c.plan.contact}
	for _, w := range v.Members(c.daemon.DataCentre, sched.RoleWorker, "") {
		if w.State != sched.StateGone {
			m.Workers = append(m.Workers, w)
		}
	}
	limits := c.settings.Limits
	for _, t := range c.plan.planner.Ledger().Terms() {
		if c.plan.absence.missingLongerThan(t.Instance, limits.ListLag+limits.IsolationLimit) {
			m.GoneInstances = append(m.GoneInstances, t.Instance)
		}
	}
	for _, p := range c.plan.peers {
		m.Peers = append(m.Peers, p)
	}
	// The incarnation of this instance, like that of a peer, proves that no
	// earlier incarnation under the same id still acts.
	m.Peers = append(m.Peers, plan.PeerTerm{
		Instance: c.daemon.ID, Incarnation: c.daemon.Incarnation, TermSeen: c.plan.planner.TermSeen(),
	})
	return m
}

// responsiblePlanner returns the instance that should plan for the own data
// centre. It is empty if there is no candidate, or if this instance would be
// responsible but may not know all candidates yet.
func (c *control) responsiblePlanner(v *member.View) sched.InstanceID {
	owner, _ := rendez.PlannerKey(c.daemon.DataCentre).Owner(v.Candidates(c.daemon.DataCentre))
	if owner == c.daemon.ID && !c.settled(v) {
		return ""
	}
	return owner
}

// settled reports whether an instance that has just started can know every
// candidate for the planner; without this wait it would begin a term that
// interrupts a peer's term. First the list must show the instance, or enough
// time must have passed for the list to show those that started at the same
// moment. Then every live peer that it knows must have become a candidate, or
// listLag plus maxSettleTime must have passed.
func (c *control) settled(v *member.View) bool {
	if c.plan.settled || c.settings == nil {
		return c.plan.settled
	}
	age, lag := c.daemon.Clock.Now().Sub(c.plan.startedAt), c.settings.Limits.ListLag
	if !c.plan.selfListed && age < lag+member.DefaultHysteresis {
		return false
	}
	candidates := v.Candidates(c.daemon.DataCentre)
	waiting := slices.ContainsFunc(v.Members(c.daemon.DataCentre, sched.RoleEntry, ""), func(m sched.Member) bool {
		return m.State == sched.StateLive && !slices.Contains(candidates, m.ID)
	})
	c.plan.settled = !waiting || age > lag+maxSettleTime
	return c.plan.settled
}

// recordList records a successful read of the platform's list.
func (c *control) recordList(now time.Time, members []sched.Member) {
	alone := true
	listed := map[sched.InstanceID]bool{}
	for _, m := range members {
		if m.Role != sched.RoleEntry {
			continue
		}
		listed[m.ID] = true
		c.plan.selfListed = c.plan.selfListed || m.ID == c.daemon.ID && m.Incarnation >= c.daemon.Incarnation
		alone = alone && (m.DataCentre != c.daemon.DataCentre || m.ID == c.daemon.ID)
	}
	c.plan.contact.List, c.plan.contact.Alone = now, alone
	c.plan.absence.recordRead(now, listed)
}

// recordPeerTerm records a heartbeat from a peer of the own data centre: the
// time of contact, and the newest term that the peer has seen. The term in a
// heartbeat of an older incarnation is ignored.
func (c *control) recordPeerTerm(now time.Time, h sched.Heartbeat) {
	if h.DataCentre != c.daemon.DataCentre || h.From == c.daemon.ID {
		return
	}
	c.plan.contact.Peer = now
	old, known := c.plan.peers[h.From]
	if known && h.Incarnation < old.Incarnation {
		return
	}
	c.plan.peers[h.From] = plan.PeerTerm{Instance: h.From, Incarnation: h.Incarnation, TermSeen: h.TermSeen}
}

// termSeen returns the newest term that the planner has seen, for heartbeats, or
// 0 without a planner.
func (c *control) termSeen() sched.Offset {
	if c.plan.planner == nil {
		return 0
	}
	return c.plan.planner.TermSeen()
}

// countTasks counts the open tasks; those that are not queued count as placed.
func (c *control) countTasks() {
	c.plan.queued, c.plan.placed = 0, 0
	c.plan.ledger.EachOpenTask(func(t *sched.TaskStatus) {
		if t.State == sched.TaskQueued {
			c.plan.queued++
			return
		}
		c.plan.placed++
	})
}

// execute carries out the output of a planner step. Reads, appends and calls run
// concurrently, and each posts its result as one message unless the instance
// stops first.
func (c *control) execute(o plan.Output) {
	for _, e := range o.Events {
		c.daemon.events.Add(e)
	}
	for _, r := range o.Replies {
		if ch, ok := c.plan.tickets[r.Ticket]; ok {
			delete(c.plan.tickets, r.Ticket)
			ch <- r
		}
	}
	if o.Read {
		from := c.plan.planner.NextOffset()
		c.daemon.spawn(func(x context.Context) { c.daemon.readTasks(x, from) })
	}
	if a := o.Append; a != nil {
		c.daemon.spawn(func(x context.Context) { c.daemon.appendTasks(x, *a) })
	}
	for _, call := range o.Calls {
		c.daemon.spawn(func(x context.Context) { c.daemon.callWorker(x, call) })
	}
}

// plannerInput passes an input to the planner.
type plannerInput struct{ input plan.Input }

func (m plannerInput) apply(c *control) { c.stepPlanner(c.daemon.Clock.Now(), m.input) }

func (d *Daemon) readTasks(c context.Context, from sched.Offset) {
	x, cancel := context.WithTimeout(c, readTimeout)
	defer cancel()
	began := d.Clock.Now()
	page, err := d.Log.Read(x, sched.TaskStreamPrefix+string(d.DataCentre), from, taskPageLimit)
	if c.Err() == nil {
		d.post(tasksRead{page, began, err})
	}
}

// tasksRead is the result of a read of the task stream of the own data centre.
type tasksRead struct {
	page  sched.Page
	began time.Time
	err   error
}

func (m tasksRead) apply(c *control) {
	now := c.daemon.Clock.Now()
	c.updateLogState(sched.TaskStreamPrefix+string(c.daemon.DataCentre), m.began, m.err, now)
	var trimmed *sched.TrimmedError
	switch {
	case m.err == nil:
		c.daemon.metrics.records.Add(len(m.page.Records))
		c.daemon.addTaskEvents(m.page.Records)
		c.stepPlanner(now, plan.RecordsRead{Began: m.began, Page: m.page})
	case errors.As(m.err, &trimmed):
		c.stepPlanner(now, plan.StreamTrimmed{Earliest: trimmed.Earliest})
	default:
		c.stepPlanner(now, plan.ReadFailed{Began: m.began})
	}
}

func (d *Daemon) appendTasks(c context.Context, a plan.Append) {
	err := d.append(c, sched.TaskStreamPrefix+string(d.DataCentre), a.Data)
	d.post(plannerInput{plan.Appended{Serial: a.Serial, Err: err}})
}

func (d *Daemon) callWorker(c context.Context, call plan.Call) {
	x, cancel := context.WithTimeout(c, workerCallTimeout)
	defer cancel()
	report, err := d.Workers.Exchange(x, call.Worker, call.Call)
	if c.Err() != nil {
		return
	}
	d.metrics.workerExchanges[resultLabel(err)].Inc()
	d.post(workerCalled{call, report, err})
}

// workerCalled is the result of a call to a worker.
type workerCalled struct {
	call   plan.Call
	report sched.WorkerReport
	err    error
}

func (m workerCalled) apply(c *control) {
	now := c.daemon.Clock.Now()
	w := m.call.Worker
	if m.err != nil {
		c.table.RecordFailedContact(now, w.ID, w.Incarnation)
		c.stepPlanner(now, plan.WorkerCallFailed{Worker: w.ID, Serial: m.call.Serial})
		return
	}
	c.table.RecordAnswer(now, w.ID, w.Incarnation)
	c.stepPlanner(now, plan.WorkerReported{Worker: w.ID, Serial: m.call.Serial, Report: m.report})
}

// plannerRequest asks the planner for a submission or a cancellation.
type plannerRequest struct {
	// input returns the planner's input for the ticket of this request.
	input func(ticket uint64) plan.Input
	// reply has room for the one reply.
	reply chan plan.Reply
}

func (m plannerRequest) apply(c *control) {
	if c.plan.planner == nil {
		m.reply <- plan.Reply{Code: sched.CodeNotReady, Reason: reasonNoConfig}
		return
	}
	c.plan.lastTicket++
	c.plan.tickets[c.plan.lastTicket] = m.reply
	c.stepPlanner(c.daemon.Clock.Now(), m.input(c.plan.lastTicket))
}

// requestPlanner sends a request to the planner and waits for its reply. The
// error is a *refusal.
func (d *Daemon) requestPlanner(c context.Context, in func(ticket uint64) plan.Input) error {
	m := plannerRequest{in, make(chan plan.Reply, 1)}
	d.post(m)
	select {
	case r := <-m.reply:
		if r.Code == sched.CodeAccepted {
			return nil
		}
		return &refusal{r.Code, r.Reason}
	case <-c.Done():
		return refuse(sched.CodeUnknown, "the log did not confirm the record in time; send the same id again")
	}
}

// endTerm makes the planner end its term and waits until the replayed stream
// shows no open term of this incarnation, or until the context ends.
func (d *Daemon) endTerm(c context.Context) {
	d.post(plannerInput{plan.Leaving{}})
	for c.Err() == nil {
		open := false
		err := d.callControl(c, func(k *control) {
			if k.plan.planner == nil {
				return
			}
			for _, t := range k.plan.planner.Ledger().Terms() {
				open = open || t.Instance == d.ID && t.Incarnation == d.Incarnation
			}
		})
		if err != nil || !open || d.Clock.Sleep(c, tickInterval) != nil {
			return
		}
	}
}
