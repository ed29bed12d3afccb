package apply_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/process/apply"
	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/config"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/versn"
)

// fakeLog is an in-memory log with one stream and injected faults.
type fakeLog struct {
	mu      sync.Mutex
	records []sched.Record
	// beforeAppend runs once, before the next append takes effect.
	beforeAppend func(l *fakeLog)
	// faults holds the errors that the next appends return. Only
	// sched.ErrUnavailable keeps the record out of the log.
	faults []error
	// outage makes all calls fail.
	outage bool
}

func (l *fakeLog) add(data []byte) sched.Offset {
	o := sched.Offset(len(l.records) + 1)
	l.records = append(l.records, sched.Record{Offset: o, Data: data})
	return o
}

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (sched.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outage {
		return 0, sched.ErrUnavailable
	}
	if f := l.beforeAppend; f != nil {
		l.beforeAppend = nil
		f(l)
	}
	var fault error
	if len(l.faults) > 0 {
		fault, l.faults = l.faults[0], l.faults[1:]
	}
	if errors.Is(fault, sched.ErrUnavailable) {
		return 0, fault
	}
	o := l.add(data)
	if fault != nil {
		return 0, fault
	}
	return o, nil
}

func (l *fakeLog) Read(_ context.Context, _ string, from sched.Offset, limit int) (sched.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outage {
		return sched.Page{}, sched.ErrUnavailable
	}
	end := sched.Offset(len(l.records) + 1)
	to := min(from+sched.Offset(limit), end)
	return sched.Page{Records: l.records[from-1 : max(from, to)-1], Earliest: 1, Next: end}, nil
}

// fakeClock advances at once on every sleep. After a number of sleeps, each
// further one fails as if the deadline of its context had passed.
type fakeClock struct {
	now        time.Time
	sleepsLeft int
}

func (k *fakeClock) Now() time.Time { return k.now }

func (k *fakeClock) Sleep(_ context.Context, d time.Duration) error {
	k.now, k.sleepsLeft = k.now.Add(d), k.sleepsLeft-1
	if k.sleepsLeft < 0 {
		return context.DeadlineExceeded
	}
	return nil
}

func document(text string) config.Document {
	d, err := config.Decode([]byte(text))
	if err != nil {
		panic(err)
	}
	return d
}

func change(l *fakeLog, id, target string) *apply.Change {
	return &apply.Change{
		Log: l, Clock: &fakeClock{sleepsLeft: 20}, ID: id, Operator: id, Base: -1, Target: document(target),
	}
}

// inForce returns the version and the document in force, from a replay of the log
// that is independent of the Change under test.
func (l *fakeLog) inForce() (sched.Offset, string) {
	r := versn.New(versn.Options{Decode: codec.DecodeConfig})
	p, _ := l.Read(context.Background(), sched.ConfigStream, 1, 1000)
	r.Page(time.Time{}, p)
	v, d := r.InForce()
	return v, string(d.Bytes())
}

// Guards against a change that is appended twice or reported as not applied after
// the acknowledgement of its append was lost, also when it is resumed.
func TestLostAcknowledgement(t *testing.T) {
	i := is.New(t)
	l := &fakeLog{faults: []error{sched.ErrUnavailable, sched.ErrUncertain}}
	r := change(l, "x", `{"a":"1"}`).Run(context.Background())
	i.Equal(r.Outcome, apply.AcceptedEarlier)
	i.Equal(r.Version, sched.Offset(1))
	i.Equal(len(l.records), 1)
	again := change(l, "x", `{"a":"1"}`)
	again.SearchWholeLog = true
	i.Equal(again.Run(context.Background()).Outcome, apply.AcceptedEarlier)
	i.Equal(len(l.records), 1)
}

// Guards against two concurrent changes to the same base of which both or neither
// take effect.
func TestOneOfTwoRacingOperatorsWins(t *testing.T) {
	i := is.New(t)
	l := &fakeLog{}
	l.beforeAppend = func(l *fakeLog) { // the other operator's record is appended first
		l.mu.Unlock()
		defer l.mu.Lock()
		i.Equal(change(l, "fast", `{"a":"1"}`).Run(context.Background()).Outcome, apply.Accepted)
	}
	r := change(l, "slow", `{"b":"2"}`).Run(context.Background())
	i.Equal(r.Outcome, apply.Conflict)
	i.Equal(r.PatchChanges, []config.Change{{Field: "b", New: `"2"`}})
	i.Equal(r.ConcurrentChanges, []config.Change{{Field: "a", New: `"1"`}})
	v, doc := l.inForce()
	i.Equal(v, sched.Offset(1))
	i.Equal(doc, `{"a":"1"}`)
	stale := change(l, "stale", `{"c":"3"}`)
	stale.Base = 0
	records := len(l.records)
	i.Equal(stale.Run(context.Background()).Outcome, apply.Conflict)
	i.Equal(len(l.records), records) // a known conflict is not appended
}

// Guards against an apply that reports a definite outcome it can't know while the
// log is unavailable, and against a dry run that appends a record.
func TestOutcomesWithoutEffect(t *testing.T) {
	i := is.New(t)
	l := &fakeLog{}
	dry := change(l, "dry", `{"a":"1"}`)
	dry.DryRun = true
	r := dry.Run(context.Background())
	i.Equal(r.Outcome, apply.Planned)
	i.Equal(len(r.PatchChanges), 1)
	i.Equal(len(l.records), 0)
	i.Equal(change(l, "none", `{}`).Run(context.Background()).Outcome, apply.Unchanged)
	l.outage = true
	r = change(l, "x", `{"a":"1"}`).Run(context.Background())
	i.Equal(r.Outcome, apply.NotApplied)
	i.True(errors.Is(r.Reason, sched.ErrUnavailable))
	l.outage = false
	l.faults = []error{sched.ErrUncertain}
	l.beforeAppend = func(l *fakeLog) { l.outage = true } // the reads after the append fail
	i.Equal(change(l, "y", `{"a":"1"}`).Run(context.Background()).Outcome, apply.Unknown)
}

// Guards against a wait that ends before every live or unreachable instance has
// reported the version, or that waits for an instance that is leaving.
func TestWaitListsLateInstances(t *testing.T) {
	i := is.New(t)
	polls := 0
	ask := func(context.Context) ([]apply.InstanceVersion, error) {
		polls++
		late := sched.Offset(4)
		if polls > 5 {
			late = 5
		}
		return []apply.InstanceVersion{
			{Instance: "a", State: sched.StateLive, Version: 5},
			{Instance: "b", State: sched.StateUnreachable, Version: late},
			{Instance: "c", State: sched.StateLeaving, Version: 1},
		}, nil
	}
	late, err := apply.WaitForVersion(context.Background(), &fakeClock{sleepsLeft: 3}, 5, ask)
	i.NoErr(err)
	i.Equal(len(late), 1)
	i.Equal(late[0].Instance, sched.InstanceID("b"))
	polls = 0
	late, err = apply.WaitForVersion(context.Background(), &fakeClock{sleepsLeft: 30}, 5, ask)
	i.NoErr(err)
	i.Equal(len(late), 0)
}
