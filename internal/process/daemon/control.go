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

// control is the actor that owns the control state. Its fields are accessed
// only while it handles a message.
type control struct {
	daemon   *Daemon
	table    *member.Table
	versions *versn.Replay
	quota    *quota.Splitter
	usage    *usage.Totals
	plan     planning

	settings *sched.Settings
	rules    *rules.Rules
	// reportedVersions holds the configuration version that each peer last
	// reported.
	reportedVersions map[sched.InstanceID]sched.Offset
	// heartbeats holds the newest heartbeat of each peer.
	heartbeats map[sched.InstanceID]receivedHeartbeat
	leaving    bool
	// logReadAt is when the newest read that the log answered began.
	logReadAt time.Time
	// logUp and listUp report whether the newest calls to the log and to the
	// list were answered.
	logUp  bool
	listUp bool
	// listSeen is set by the first successful read of the list.
	listSeen bool
	// sampledAt is when demand and usage were last sampled.
	sampledAt time.Time
	// usageOffset is the offset of the newest usage record that was replayed.
	usageOffset sched.Offset
	// reportedStates holds the peer states that were last reported.
	reportedStates map[sched.InstanceID]sched.State
}

// message is a message to the control actor; apply runs in the actor.
type message interface{ apply(c *control) }

// Receive implements actor.Actor. A panic makes Daemon.Run return an error. The
// actor is not restarted, because it would then continue with an empty state
// under the same incarnation.
func (c *control) Receive(x actor.Context) {
	m, ok := x.Message().(message)
	if !ok {
		return
	}
	defer func() {
		if r := recover(); r != nil {
			c.daemon.fail(fmt.Errorf("control actor panicked: %v", r))
		}
	}()
	c.daemon.metrics.messages.Inc()
	m.apply(c)
}

// controlCall runs a function in the control actor, unless the caller has
// stopped waiting before the actor reaches the message.
type controlCall struct {
	do func(*control)
	// done is closed when do has returned.
	done chan struct{}
	// taken is set by whichever comes first: the actor that runs do, or the
	// caller that gives up.
	taken *atomic.Bool
}

func (a controlCall) apply(c *control) {
	if !a.taken.CompareAndSwap(false, true) {
		return
	}
	defer close(a.done)
	a.do(c)
}

// errStopped is returned by calls to the control actor after Kill.
var errStopped = errors.New("instance has stopped")

// callControl runs f in the control actor and waits until f has returned. If the
// context ends or the instance is killed before f starts, it returns an error
// and f never runs. Requests to services must not wait for the actor.
func (d *Daemon) callControl(c context.Context, f func(*control)) error {
	a := controlCall{do: f, done: make(chan struct{}), taken: &atomic.Bool{}}
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
	// f has started and writes to variables that the caller reads.
	<-a.done
	return nil
}

// post sends a message to the control actor without waiting for its handling.
func (d *Daemon) post(m message) { d.system.Root.Send(d.control, m) }

func (d *Daemon) startControl() {
	now := d.Clock.Now()
	c := &control{
		daemon:           d,
		table:            member.New(now, member.Options{Self: d.self(), Silence: d.Silence, Hysteresis: d.Hysteresis}),
		versions:         versn.New(versn.Options{Self: d.ID, Retention: d.LogRetention, Decode: codec.DecodeConfig}),
		quota:            quota.New(quota.Options{Self: d.ID, DataCentre: d.DataCentre}),
		usage:            &usage.Totals{},
		reportedStates:   map[sched.InstanceID]sched.State{},
		reportedVersions: map[sched.InstanceID]sched.Offset{},
		heartbeats:       map[sched.InstanceID]receivedHeartbeat{},
		logUp:            true,
		listUp:           true,
		plan: planning{
			ledger: ledger.New(), tickets: map[uint64]chan plan.Reply{}, peers: map[sched.InstanceID]plan.PeerTerm{},
			startedAt: now,
		},
	}
	// The actor system's log of its own start and stop is discarded: these are
	// not state changes of the instance.
	silent := func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }
	d.system = actor.NewActorSystem(actor.WithLoggerFactory(silent))
	d.control = d.system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return c }))
}

func (d *Daemon) stopControl() {
	_ = d.system.Root.PoisonFuture(d.control).Wait()
	d.system.Shutdown()
}

// publishView stores a new view for the request path and reports what changed
// since the previous one.
func (c *control) publishView(now time.Time) {
	old := c.daemon.view.Load()
	v := &view{
		settings:   c.settings,
		rules:      c.rules,
		versions:   maps.Clone(c.reportedVersions),
		leaving:    c.leaving,
		members:    c.table.View(),
		configCopy: c.versions.Copy(),
		applied:    c.plan.ledger.Applied(),
		term:       c.plan.ledger.NewestTerm(),
		logReadAt:  c.logReadAt,
		logUp:      c.logUp,
		listUp:     c.listUp,
	}
	v.planner = c.responsiblePlanner(v.members)
	v.ready, v.reason = c.readiness(now)
	v.queued, v.placed = c.plan.queued, c.plan.placed
	if old.members != v.members {
		c.updateRoutes(v)
	}
	// The routes are updated first: once the view is stored, callers can see
	// that the instance is ready.
	c.daemon.view.Store(v)
	if old.members != v.members {
		c.reportPeerStates(v)
	}
	c.reportChanges(old, v)
}

// readiness reports whether the instance is ready, or the reason why not.
func (c *control) readiness(now time.Time) (bool, string) {
	switch {
	case c.leaving:
		return false, reasonDraining
	case c.settings == nil:
		return false, reasonNoConfig
	case !c.versions.Ready(now):
		return false, reasonMayBeOutdated
	case !c.listSeen:
		return false, reasonListNotRead
	}
	return true, ""
}

// reportChanges logs changes of readiness and of the planner role between two
// views and adds them to the time line.
func (c *control) reportChanges(old, v *view) {
	if v.ready != old.ready {
		kind := event.KindReady
		if !v.ready {
			kind = event.KindNotReady
		}
		c.daemon.recordChange(kind, v.reason)
	}
	self := c.daemon.ID
	if (old.planner == self) != (v.planner == self) {
		kind := event.KindPlannerGained
		if v.planner != self {
			kind = event.KindPlannerLost
		}
		c.daemon.recordChange(kind, string(c.daemon.DataCentre))
	}
}

// updateRoutes passes the membership on to the request path: the router, the
// connection pool and the admission gate.
func (c *control) updateRoutes(v *view) {
	c.daemon.router.Update(v.members.All(), v.largestEntries(), v.limits().CrossRegion)
	var addresses []string
	for _, m := range v.members.All() {
		if m.Role == sched.RoleBackend && m.State != sched.StateGone {
			addresses = append(addresses, m.Address)
		}
	}
	c.daemon.pool.CloseIdleExcept(addresses)
	c.updateCapacities(v)
}

// updateCapacities sets, for each service, the gate's total slots and the equal
// part of them that falls to this instance.
func (c *control) updateCapacities(v *view) {
	if c.settings == nil {
		return
	}
	for _, s := range c.settings.Services {
		slots := float64(c.daemon.router.Slots(s.Name))
		c.daemon.gate.SetCapacity(s.Name, slots, slots/float64(max(1, v.members.EntryCount())))
	}
}

// stateNames holds the name of each instance state in logs and answers.
var stateNames = map[sched.State]string{
	sched.StateLive:        "live",
	sched.StateLeaving:     "leaving",
	sched.StateUnreachable: "unreachable",
	sched.StateGone:        "gone",
}

// reportPeerStates logs entry instances whose state has changed and adds the
// changes to the time line.
func (c *control) reportPeerStates(v *view) {
	for _, m := range v.members.All() {
		if m.Role != sched.RoleEntry || m.ID == c.daemon.ID || c.reportedStates[m.ID] == m.State {
			continue
		}
		c.reportedStates[m.ID] = m.State
		c.daemon.recordChange(event.KindPeerState, string(m.ID)+" "+stateNames[m.State],
			zap.String("peer", string(m.ID)), zap.String("state", stateNames[m.State]))
	}
}
