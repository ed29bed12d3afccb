package lead

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/parsleybarrow/parsleybarrow/internal/process/busy"
	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
	"github.com/parsleybarrow/parsleybarrow/pkg/evac"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against a start order that waits between the planner's decision and the call, and
// is sent although the evacuation has become known since, or may have without notice.
func TestAStartIsNotSentOnceTheEvacuationIsKnown(t *testing.T) {
	epoch := time.Date(2026, 12, 7, 12, 0, 0, 0, time.UTC)
	var none *evac.Set
	read := none.WithFullRead(epoch, epoch, nil, 3)
	inForce := read.WithAppended(epoch, epoch, []sched.Evacuation{{DataCentre: "a", InForce: true, Offset: 3}}, 4)
	rows := []struct {
		name       string
		set        *evac.Set
		dataCentre sched.DataCentre
		pause      time.Duration
		sent       int
	}{
		{"no evacuation", read, "a", 0, 1},
		{"elsewhere", inForce, "b", 0, 1},
		{"there", inForce, "a", 0, 0},
		{"not read yet", none, "b", 0, 0},
		{"read too long ago", read, "b", 4 * time.Second, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			i := is.New(t)
			k := clock.NewManual(epoch)
			n := &orderCounter{}
			l := &Leader{Clock: k, Runner: n, Log: zap.NewNop(), callContext: t.Context()}
			l.Options.EvacuationLimit = 5 * time.Second
			l.Evacuations = func() *evac.Set { return row.set }
			l.planner = cell.New(k.Now(), nil, cell.Options{Log: l.Log})
			l.finished.Store(true)
			l.work = busy.New(epoch)
			l.startActor()
			defer l.system.Shutdown()
			k.Advance(row.pause)
			l.provenAt.Store(k.Now().UnixNano())
			l.start(cell.StartCall{Worker: sched.Worker{DataCentre: row.dataCentre}})
			l.system.Root.Poison(l.pid)
			<-l.actorEnded
			i.Equal(n.orders, row.sent)
		})
	}
}

// Guards against a change of the evacuations that isn't told to the planner, or is logged
// over and over, and against a hold that doesn't end with the next read.
func TestChangesOfTheEvacuationsReachThePlanner(t *testing.T) {
	i := is.New(t)
	now := time.Date(2026, 12, 7, 12, 0, 0, 0, time.UTC)
	core, logged := observer.New(zapcore.InfoLevel)
	var set *evac.Set
	l := &Leader{Log: zap.New(core), Evacuations: func() *evac.Set { return set }}
	l.Options.EvacuationLimit = 5 * time.Second
	l.planner = cell.New(now, nil, cell.Options{Log: zap.NewNop()})
	step := func(s *evac.Set, want ...string) {
		t.Helper()
		set = s
		l.updateEvacuations(now)
		l.updateEvacuations(now)
		var names []string
		for _, e := range logged.TakeAll() {
			names = append(names, e.Message)
		}
		i.Equal(names, want)
	}
	step(nil, "startsHeld")
	step(set.WithFullRead(now, now, []sched.Evacuation{{DataCentre: "a", InForce: true, Offset: 2}}, 3), "startsResumed", "evacuationBegan")
	i.True(l.planner.Evacuated("a"))
	step(set.WithAppended(now, now, nil, 4))
	now = now.Add(4 * time.Second)
	step(set, "startsHeld")
	step(set.WithFullRead(now, now, nil, 9), "startsResumed", "evacuationEnded")
	i.True(!l.planner.Evacuated("a"))
}
