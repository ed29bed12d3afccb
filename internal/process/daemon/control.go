package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/internal/version/rules"
	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/event"
	"github.com/parsleybarrow/parsleybarrow/pkg/ledger"
	"github.com/parsleybarrow/parsleybarrow/pkg/member"
	"github.com/parsleybarrow/parsleybarrow/pkg/plan"
	"github.com/parsleybarrow/parsleybarrow/pkg/quota"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/usage"
	"github.com/parsleybarrow/parsleybarrow/pkg/versn"
)

// control is the actor that owns the control state. Only its own goroutine
// touches the fields.
type control struct {
	d        *Daemon
	table    *member.Table
	versions *versn.Replay
	quota    *quota.Book
	usage    *usage.Book
	plan     planning

	settings *sched.Settings
	rules    *rules.Rules
	// reported holds the version that each peer last reported.
	reported map[sched.InstanceID]sched.Offset
	// beats holds the newest heartbeat of each peer.
	beats   map[sched.InstanceID]beat
	leaving bool
	logAt   time.Time
	logUp   bool
	listUp  bool
	// listSeen is set by the first successful read of the list.
	listSeen bool
	sampled  time.Time
	usageAt  sched.Offset
	states   map[sched.InstanceID]sched.State
}

// message is what the actor receives.
type message interface{ apply(c *control) }

// Receive implements actor.Actor. A panic ends the process: a restart of the
// actor alone would continue with an empty state under the same incarnation.
func (c *control) Receive(x actor.Context) {
	m, ok := x.Message().(message)
	if !ok {
		return
	}
	defer func() {
		if r := recover(); r != nil {
			c.d.fail(fmt.Errorf("control actor: %v", r))
		}
	}()
	c.d.meters.messages.Inc()
	m.apply(c)
}

// ask runs f in the actor, unless its caller has stopped to wait before.
type ask struct {
	f     func(*control)
	done  chan struct{}
	taken *atomic.Bool
}

func (a ask) apply(c *control) {
	if !a.taken.CompareAndSwap(false, true) {
		return
	}
	defer close(a.done)
	a.f(c)
}

// errStopped reports that the actor no longer runs.
var errStopped = errors.New("instance has stopped")

// ask runs f in the control actor and waits until it has run. It must not be
// used by the request path.
func (d *Daemon) ask(c context.Context, f func(*control)) error {
	a := ask{f: f, done: make(chan struct{}), taken: &atomic.Bool{}}
	d.post(a)
	var err error
	select {
	case <-a.done:
		return nil
	case <-c.Done():
		err = c.Err()
	case <-d.killed:
		err = errStopped
	}
	if a.taken.CompareAndSwap(false, true) {
		return err
	}
	// f runs at this moment and writes to what its caller reads.
	<-a.done
	return nil
}

// post sends a message to the control actor without waiting.
func (d *Daemon) post(m message) { d.system.Root.Send(d.control, m) }

func (d *Daemon) startControl() {
	now := d.Clock.Now()
	c := &control{
		d:        d,
		table:    member.New(now, member.Options{Self: d.self(), Silence: d.Silence, Hysteresis: d.Hysteresis}),
		versions: versn.New(versn.Options{Self: d.ID, Retention: d.LogRetention, Decode: codec.DecodeConfig}),
		quota:    quota.New(quota.Options{Self: d.ID, DataCentre: d.DataCentre}),
		usage:    &usage.Book{},
		states:   map[sched.InstanceID]sched.State{},
		reported: map[sched.InstanceID]sched.Offset{},
		beats:    map[sched.InstanceID]beat{},
		logUp:    true,
		listUp:   true,
		plan: planning{
			ledger: ledger.New(), tickets: map[uint64]chan plan.Reply{}, peers: map[sched.InstanceID]plan.PeerTerm{},
			startedAt: now,
		},
	}
	// The actor system logs its own start and stop, which are no changes of
	// state of the instance.
	silent := func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }
	d.system = actor.NewActorSystem(actor.WithLoggerFactory(silent))
	d.control = d.system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return c }))
}

func (d *Daemon) stopControl() {
	_ = d.system.Root.PoisonFuture(d.control).Wait()
	d.system.Shutdown()
}

// publish makes a new view for the traffic goroutines.
func (c *control) publish(now time.Time) {
	old := c.d.view.Load()
	v := &view{
		settings: c.settings,
		rules:    c.rules,
		versions: maps.Clone(c.reported),
		leaving:  c.leaving,
		members:  c.table.View(),
		copied:   c.versions.Copy(),
		applied:  c.plan.ledger.Applied(),
		term:     c.plan.ledger.NewestTerm(),
		logAt:    c.logAt,
		logUp:    c.logUp,
		listUp:   c.listUp,
	}
	v.planner = c.planner(v.members)
	v.ready, v.reason = c.readiness(now)
	v.queued, v.placed = c.plan.queued, c.plan.placed
	if old.members != v.members {
		c.route(v)
	}
	// The view tells callers that the instance is ready, so the routes come
	// first.
	c.d.view.Store(v)
	if old.members != v.members {
		c.peerStates(v)
	}
	c.announce(old, v)
}

func (c *control) readiness(now time.Time) (bool, string) {
	switch {
	case c.leaving:
		return false, reasonDraining
	case c.settings == nil:
		return false, reasonNoConfig
	case !c.versions.Ready(now):
		return false, reasonCatchesUp
	case !c.listSeen:
		return false, reasonNoList
	}
	return true, ""
}

// announce reports what differs between two views.
func (c *control) announce(old, v *view) {
	if v.ready != old.ready {
		kind := event.KindReady
		if !v.ready {
			kind = event.KindNotReady
		}
		c.d.change(kind, v.reason)
	}
	self := c.d.ID
	if (old.planner == self) != (v.planner == self) {
		kind := event.KindPlannerGained
		if v.planner != self {
			kind = event.KindPlannerLost
		}
		c.d.change(kind, string(c.d.DataCentre))
	}
}

// route passes the membership on to the request path.
func (c *control) route(v *view) {
	c.d.router.Update(v.members.All(), v.largestEntries(), v.limits().CrossRegion)
	var addresses []string
	for _, m := range v.members.All() {
		if m.Role == sched.RoleBackend && m.State != sched.StateGone {
			addresses = append(addresses, m.Address)
		}
	}
	c.d.pool.Retain(addresses)
	c.capacities(v)
}

// capacities gives the gate each service's slots and the instance's even part.
func (c *control) capacities(v *view) {
	if c.settings == nil {
		return
	}
	for _, s := range c.settings.Services {
		slots := float64(c.d.router.Slots(s.Name))
		c.d.gate.SetCapacity(s.Name, slots, slots/float64(max(1, v.members.Entries())))
	}
}

// stateNames are the names of instance states in logs and answers.
var stateNames = map[sched.State]string{
	sched.StateLive:        "live",
	sched.StateLeaving:     "leaving",
	sched.StateUnreachable: "unreachable",
	sched.StateGone:        "gone",
}

// peerStates reports entry instances whose state has changed.
func (c *control) peerStates(v *view) {
	for _, m := range v.members.All() {
		if m.Role != sched.RoleEntry || m.ID == c.d.ID || c.states[m.ID] == m.State {
			continue
		}
		c.states[m.ID] = m.State
		c.d.change(event.KindPeerState, string(m.ID)+" "+stateNames[m.State],
			zap.String("peer", string(m.ID)), zap.String("state", stateNames[m.State]))
	}
}
