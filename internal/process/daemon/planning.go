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

// planning is the part of the control state that belongs to tasks.
type planning struct {
	// planner exists once there is a configuration.
	planner *plan.Planner
	ledger  *ledger.Ledger
	tickets map[uint64]chan plan.Reply
	ticket  uint64
	peers   map[sched.InstanceID]plan.PeerTerm
	contact lease.Contact
	absence absence
	// startedAt and listed tell whether the list is recent enough to know who else
	// could be responsible.
	startedAt time.Time
	listed    bool
	settled   bool
	queued    int
	placed    int
}

const (
	// exchangeTime bounds a call to a worker to less than the planner's own
	// limit of 3 s.
	exchangeTime = 2 * time.Second
	taskLimit    = 500
	// settleBound ends the wait for peers that never become candidates. It is
	// above the hysteresis, after which a heard peer is one.
	settleBound = 2 * member.DefaultHysteresis
)

// planSettings passes a configuration on to the planner.
func (c *control) planSettings(now time.Time) {
	if c.plan.planner != nil {
		c.run(c.plan.planner.Step(now, plan.SettingsChanged{Settings: c.settings}))
		return
	}
	c.plan.planner = plan.New(plan.Options{
		Instance: c.d.ID, Incarnation: c.d.Incarnation, Seed: c.d.Seed, Settings: c.settings,
		Interference: coloc.New(coloc.Options{Goal: c.latencyGoal, KindOf: c.kindOf}),
		Suspects:     suspct.New(),
	})
}

// latencyGoal is the goal of a service in the configuration in force, 0 for an
// unknown one.
func (c *control) latencyGoal(service string) time.Duration {
	s, _ := c.rules.Service(service)
	return s.LatencyGoal
}

// kindOf is the kind of a task in the replayed state.
func (c *control) kindOf(id sched.TaskID) string {
	if t, known := c.plan.planner.Ledger().Task(id); known {
		return t.Task.Kind
	}
	return ""
}

// step gives the planner an input. Without a configuration nothing is planned.
func (c *control) step(now time.Time, in plan.Input) {
	if c.plan.planner != nil {
		c.run(c.plan.planner.Step(now, in))
	}
}

// planTick lets time pass and tells the planner who is there.
func (c *control) planTick(now time.Time) {
	if c.plan.planner == nil {
		return
	}
	c.step(now, c.membersSeen())
	c.step(now, plan.Ticked{})
	c.plan.ledger = c.plan.planner.Ledger()
	c.countTasks()
}

func (c *control) membersSeen() plan.MembersSeen {
	v := c.table.View()
	owner := c.planner(v)
	m := plan.MembersSeen{Responsible: owner == c.d.ID && !c.leaving, Contact: c.plan.contact}
	for _, w := range v.Members(c.d.DataCentre, sched.RoleWorker, "") {
		if w.State != sched.StateGone {
			m.Workers = append(m.Workers, w)
		}
	}
	limits := c.settings.Limits
	for _, t := range c.plan.planner.Ledger().Terms() {
		if c.plan.absence.longerThan(t.Instance, limits.ListLag+limits.IsolationLimit) {
			m.Gone = append(m.Gone, t.Instance)
		}
	}
	for _, p := range c.plan.peers {
		m.Peers = append(m.Peers, p)
	}
	// The own incarnation rules out that an earlier one under the same id still
	// acts, as a peer's does.
	m.Peers = append(m.Peers, plan.PeerTerm{
		Instance: c.d.ID, Incarnation: c.d.Incarnation, TermSeen: c.plan.planner.TermSeen(),
	})
	return m
}

// planner is the instance that should plan for the own data centre, empty if
// that is not known.
func (c *control) planner(v *member.View) sched.InstanceID {
	owner, _ := rendez.Planner(c.d.DataCentre).Owner(v.Candidates(c.d.DataCentre))
	if owner == c.d.ID && !c.settled(v) {
		return ""
	}
	return owner
}

// settled tells whether a fresh instance can know who else could be
// responsible: the list shows it or has had the time to show also those that
// started at the same moment, and every live
// peer that it knows counts as a candidate. Otherwise it would begin a term that
// interrupts the one of a peer.
func (c *control) settled(v *member.View) bool {
	if c.plan.settled || c.settings == nil {
		return c.plan.settled
	}
	age, lag := c.d.Clock.Now().Sub(c.plan.startedAt), c.settings.Limits.ListLag
	if !c.plan.listed && age < lag+member.DefaultHysteresis {
		return false
	}
	candidates := v.Candidates(c.d.DataCentre)
	waiting := slices.ContainsFunc(v.Members(c.d.DataCentre, sched.RoleEntry, ""), func(m sched.Member) bool {
		return m.State == sched.StateLive && !slices.Contains(candidates, m.ID)
	})
	c.plan.settled = !waiting || age > lag+settleBound
	return c.plan.settled
}

// listRead notes a successful read of the platform's list.
func (c *control) listRead(now time.Time, members []sched.Member) {
	alone := true
	listed := map[sched.InstanceID]bool{}
	for _, m := range members {
		if m.Role != sched.RoleEntry {
			continue
		}
		listed[m.ID] = true
		c.plan.listed = c.plan.listed || m.ID == c.d.ID && m.Incarnation >= c.d.Incarnation
		alone = alone && (m.DataCentre != c.d.DataCentre || m.ID == c.d.ID)
	}
	c.plan.contact.List, c.plan.contact.Alone = now, alone
	c.plan.absence.read(now, listed)
}

// peerHeard notes a peer's heartbeat.
func (c *control) peerHeard(now time.Time, h sched.Heartbeat) {
	if h.DataCentre != c.d.DataCentre || h.From == c.d.ID {
		return
	}
	c.plan.contact.Peer = now
	old, known := c.plan.peers[h.From]
	if known && h.Incarnation < old.Incarnation {
		return
	}
	c.plan.peers[h.From] = plan.PeerTerm{Instance: h.From, Incarnation: h.Incarnation, TermSeen: h.TermSeen}
}

// termSeen is what heartbeats say about the newest term that was read.
func (c *control) termSeen() sched.Offset {
	if c.plan.planner == nil {
		return 0
	}
	return c.plan.planner.TermSeen()
}

func (c *control) countTasks() {
	c.plan.queued, c.plan.placed = 0, 0
	c.plan.ledger.EachOpen(func(t *sched.TaskStatus) {
		if t.State == sched.TaskQueued {
			c.plan.queued++
			return
		}
		c.plan.placed++
	})
}

// run does what a step of the planner asks for. Calls run concurrently; each
// ends in one message.
func (c *control) run(o plan.Output) {
	for _, e := range o.Events {
		c.d.events.Add(e)
	}
	for _, r := range o.Replies {
		if ch, ok := c.plan.tickets[r.Ticket]; ok {
			delete(c.plan.tickets, r.Ticket)
			ch <- r
		}
	}
	if o.Read {
		from := c.plan.planner.Next()
		c.d.spawn(func(x context.Context) { c.d.readTasks(x, from) })
	}
	if a := o.Append; a != nil {
		c.d.spawn(func(x context.Context) { c.d.appendTasks(x, *a) })
	}
	for _, call := range o.Calls {
		c.d.spawn(func(x context.Context) { c.d.callWorker(x, call) })
	}
}

// planned is an input for the planner.
type planned struct{ in plan.Input }

func (m planned) apply(c *control) { c.step(c.d.Clock.Now(), m.in) }

func (d *Daemon) readTasks(c context.Context, from sched.Offset) {
	x, cancel := context.WithTimeout(c, readTime)
	defer cancel()
	began := d.Clock.Now()
	page, err := d.Log.Read(x, sched.TaskStreamPrefix+string(d.DataCentre), from, taskLimit)
	if c.Err() == nil {
		d.post(tasksRead{page, began, err})
	}
}

// tasksRead is the result of a read of the task stream.
type tasksRead struct {
	page  sched.Page
	began time.Time
	err   error
}

func (m tasksRead) apply(c *control) {
	now := c.d.Clock.Now()
	c.logState(sched.TaskStreamPrefix+string(c.d.DataCentre), m.began, m.err, now)
	var trimmed *sched.TrimmedError
	switch {
	case m.err == nil:
		c.d.meters.records.Add(len(m.page.Records))
		c.d.taskEvents(m.page.Records)
		c.step(now, plan.RecordsRead{Began: m.began, Page: m.page})
	case errors.As(m.err, &trimmed):
		c.step(now, plan.Trimmed{Earliest: trimmed.Earliest})
	default:
		c.step(now, plan.ReadFailed{Began: m.began})
	}
}

func (d *Daemon) appendTasks(c context.Context, a plan.Append) {
	err := d.append(c, sched.TaskStreamPrefix+string(d.DataCentre), a.Data)
	d.post(planned{plan.Appended{Serial: a.Serial, Err: err}})
}

func (d *Daemon) callWorker(c context.Context, call plan.Call) {
	x, cancel := context.WithTimeout(c, exchangeTime)
	defer cancel()
	report, err := d.Workers.Exchange(x, call.Worker, call.Call)
	if c.Err() != nil {
		return
	}
	d.meters.exchanges[result(err)].Inc()
	d.post(called{call, report, err})
}

// called is the result of a call to a worker.
type called struct {
	call   plan.Call
	report sched.WorkerReport
	err    error
}

func (m called) apply(c *control) {
	now := c.d.Clock.Now()
	w := m.call.Worker
	if m.err != nil {
		c.table.Missed(now, w.ID, w.Incarnation)
		c.step(now, plan.WorkerFailed{Worker: w.ID, Serial: m.call.Serial})
		return
	}
	c.table.Heard(now, w.ID, w.Incarnation)
	c.step(now, plan.WorkerReported{Worker: w.ID, Serial: m.call.Serial, Report: m.report})
}

// requested asks the planner for a submission or a cancellation.
type requested struct {
	in    func(ticket uint64) plan.Input
	reply chan plan.Reply
}

func (m requested) apply(c *control) {
	if c.plan.planner == nil {
		m.reply <- plan.Reply{Code: sched.CodeNotReady, Reason: reasonNoConfig}
		return
	}
	c.plan.ticket++
	c.plan.tickets[c.plan.ticket] = m.reply
	c.step(c.d.Clock.Now(), m.in(c.plan.ticket))
}

// request asks the planner and waits for the answer.
func (d *Daemon) request(c context.Context, in func(ticket uint64) plan.Input) error {
	m := requested{in, make(chan plan.Reply, 1)}
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

// endTerm ends the own term and waits until the log has its end.
func (d *Daemon) endTerm(c context.Context) {
	d.post(planned{plan.Leaving{}})
	for c.Err() == nil {
		open := false
		err := d.ask(c, func(k *control) {
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
