package event

import (
	"cmp"
	"slices"
	"sync"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/stamp"
)

// Kinds of events.
const (
	KindStarted        sched.EventKind = "started"
	KindReady          sched.EventKind = "ready"
	KindNotReady       sched.EventKind = "notReady"
	KindDraining       sched.EventKind = "draining"
	KindStopped        sched.EventKind = "stopped"
	KindVersionInForce sched.EventKind = "versionInForce"
	KindApplyRejected  sched.EventKind = "applyRejected"
	KindPlannerGained  sched.EventKind = "plannerGained"
	KindPlannerLost    sched.EventKind = "plannerLost"
	KindLogLost        sched.EventKind = "logLost"
	KindLogBack        sched.EventKind = "logBack"
	KindListLost       sched.EventKind = "listLost"
	KindListBack       sched.EventKind = "listBack"
	KindPeerState      sched.EventKind = "peerState"
	KindRequestEnded   sched.EventKind = "requestEnded"
	KindAccepted       sched.EventKind = "accepted"
	KindPlaced         sched.EventKind = "placed"
	KindTaskStarted    sched.EventKind = "taskStarted"
	KindTaskEnded      sched.EventKind = "taskEnded"
	KindCheckpointed   sched.EventKind = "checkpointed"
	KindExpired        sched.EventKind = "expired"
	KindTaskCancelled  sched.EventKind = "taskCancelled"
	KindDeclaredDead   sched.EventKind = "declaredDead"
)

// Ring is the bounded buffer of one process's events. A new event displaces the
// oldest one if the buffer is full. The exported fields are set before use.
// Ring is safe for concurrent use.
type Ring struct {
	// Instance is written into every event.
	Instance sched.InstanceID
	// Clock issues the stamps of the events.
	Clock *stamp.Clock
	// Size is the number of events kept. A value below 1 counts as 1.
	Size int

	mu        sync.Mutex
	events    []sched.Event
	oldest    int
	displaced uint64
}

// Add sets the stamp and the instance of the event, stores it and returns it.
func (r *Ring) Add(e sched.Event) sched.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The stamp is taken under the lock so that the buffer is in stamp order.
	e.Stamp = r.Clock.Now()
	e.Instance = r.Instance
	if len(r.events) < max(r.Size, 1) {
		r.events = append(r.events, e)
		return e
	}
	r.events[r.oldest] = e
	r.oldest = (r.oldest + 1) % len(r.events)
	r.displaced++
	return e
}

// Displaced returns the number of events that newer ones have displaced.
func (r *Ring) Displaced() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.displaced
}

// Select returns the events that match the filter, in stamp order. If more than
// f.Limit match, it returns the newest ones. A limit of 0 means no limit.
func (r *Ring) Select(f sched.Filter) []sched.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []sched.Event
	for n := range r.events {
		if e := r.events[(r.oldest+n)%len(r.events)]; Matches(f, e) {
			out = append(out, e)
		}
	}
	if f.Limit > 0 && len(out) > f.Limit {
		out = slices.Clone(out[len(out)-f.Limit:])
	}
	return out
}

// Matches reports whether the event matches the filter, whose limit is ignored.
func Matches(f sched.Filter, e sched.Event) bool {
	return (f.Instance == "" || f.Instance == e.Instance) &&
		(f.Request == "" || f.Request == e.Request) &&
		(f.Task == "" || f.Task == e.Task) &&
		(f.Since.IsZero() || e.Stamp.Wall >= f.Since.UnixNano())
}

// Merge merges the events of several processes into one order: by stamp, then
// by instance. An event that occurs in several lists appears once.
func Merge(lists ...[]sched.Event) []sched.Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, compareEvents)
	return slices.Compact(all)
}

func compareEvents(a, b sched.Event) int {
	return cmp.Or(
		cmp.Compare(a.Stamp.Wall, b.Stamp.Wall),
		cmp.Compare(a.Stamp.Logical, b.Stamp.Logical),
		cmp.Compare(a.Instance, b.Instance),
	)
}
