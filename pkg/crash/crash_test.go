package crash_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/parsleybarrow/parsleybarrow/pkg/crash"
)

// Guards against a bystander that is given up for the crashes of another task, and
// against a task that goes on to crash workers.
func TestOnlyATaskThatIsKnownToCrashWorkersIsGivenUp(t *testing.T) {
	fresh := func(crashes int) crash.Run {
		return crash.Run{Age: 10 * time.Millisecond, AgeKnown: true, Started: true, Suspect: crashes > 0, Crashes: crashes}
	}
	unanswered := func(crashes int) crash.Run {
		return crash.Run{AgeKnown: true, Suspect: crashes > 0, Crashes: crashes}
	}
	old := func(crashes int) crash.Run {
		return crash.Run{Age: 4 * time.Second, AgeKnown: true, Started: true, Suspect: crashes > 0, Crashes: crashes}
	}
	unknown := func(crashes int) crash.Run { return crash.Run{Suspect: crashes > 0, Crashes: crashes} }
	unsure := func(r crash.Run, crashes int) crash.Run {
		r.UnsureCrashes = crashes
		return r
	}
	inheritedOld := crash.Run{Age: 5 * time.Second}
	sound := crash.Run{Age: time.Minute}
	doubtful, suspect := crash.Verdict{Suspect: true}, crash.Verdict{Suspect: true, Counts: true}
	giveUp := crash.Verdict{Suspect: true, Counts: true, GiveUp: true}
	rows := []struct {
		name         string
		runs         []crash.Run
		simultaneous bool
		want         []crash.Verdict
	}{
		{"first crash", []crash.Run{fresh(0)}, false, []crash.Verdict{suspect}},
		{"first crash of two fresh runs", []crash.Run{fresh(0), fresh(0), old(0)}, false, []crash.Verdict{suspect, suspect, {}}},
		{"second crash just after the start", []crash.Run{fresh(1), old(0), sound}, false, []crash.Verdict{giveUp, {}, {}}},
		{"second crash shared by two fresh runs", []crash.Run{fresh(1), fresh(1)}, false, []crash.Verdict{suspect, suspect}},
		{"third crash shared by two fresh runs", []crash.Run{fresh(2), fresh(0)}, false, []crash.Verdict{giveUp, suspect}},
		{"second crash beside a fresh run", []crash.Run{old(1), fresh(0)}, false, []crash.Verdict{suspect, suspect}},
		{"crash of two suspects beside a fresh run", []crash.Run{old(1), old(2), fresh(0)}, false, []crash.Verdict{{}, {}, suspect}},
		{"second crash some seconds after the start", []crash.Run{old(1), old(0)}, false, []crash.Verdict{suspect, suspect}},
		{"third crash alone on the worker", []crash.Run{old(2)}, false, []crash.Verdict{giveUp}},
		{"third crash beside another suspect", []crash.Run{old(2), old(1)}, false, []crash.Verdict{suspect, suspect}},
		{"third crash, the only suspect", []crash.Run{old(2), old(0)}, false, []crash.Verdict{giveUp, suspect}},
		{"fourth crash beside another suspect", []crash.Run{old(3), old(1)}, false, []crash.Verdict{giveUp, suspect}},
		{"start by an earlier planner", []crash.Run{unknown(0), old(0)}, false, []crash.Verdict{doubtful, suspect}},
		{"start of a suspect by an earlier planner", []crash.Run{unknown(1), sound}, false, []crash.Verdict{suspect, {}}},
		{"last start by an earlier planner", []crash.Run{unknown(0), inheritedOld}, false, []crash.Verdict{suspect, {}}},
		{"last starts by an earlier planner", []crash.Run{unknown(0), unknown(1), inheritedOld}, false, []crash.Verdict{suspect, suspect, {}}},
		{"third crash, the last start by an earlier planner", []crash.Run{unknown(2), unknown(0)}, false, []crash.Verdict{giveUp, suspect}},
		{"third crash, among the last starts of suspects", []crash.Run{unknown(2), unknown(1)}, false, []crash.Verdict{suspect, suspect}},
		{"fourth crash, among the last starts by an earlier planner", []crash.Run{unknown(3), unknown(1)}, false, []crash.Verdict{giveUp, suspect}},
		{"second crash, the first one after a start by an earlier planner", []crash.Run{unsure(fresh(1), 1)}, false, []crash.Verdict{suspect}},
		{"third crash, two after starts by an earlier planner", []crash.Run{unsure(fresh(2), 2)}, false, []crash.Verdict{giveUp}},
		{"third crash, all after starts by an earlier planner", []crash.Run{unsure(unknown(2), 2)}, false, []crash.Verdict{suspect}},
		{"fourth crash, all after starts by an earlier planner", []crash.Run{unsure(unknown(3), 3)}, false, []crash.Verdict{giveUp}},
		{"start without an answer beside a fresh run", []crash.Run{unanswered(1), fresh(0)}, false, []crash.Verdict{doubtful, suspect}},
		{"second crash shared with a start without an answer", []crash.Run{fresh(1), unanswered(0)}, false, []crash.Verdict{giveUp, doubtful}},
		{"start without an answer", []crash.Run{unanswered(1), old(0)}, false, []crash.Verdict{suspect, {}}},
		{"third start, without an answer", []crash.Run{unanswered(2), old(0)}, false, []crash.Verdict{giveUp, {}}},
		{"start without an answer while others crash too", []crash.Run{unanswered(1)}, true, []crash.Verdict{doubtful}},
		{"other workers crash too", []crash.Run{old(0), old(0)}, true, []crash.Verdict{{}, {}}},
		{"other workers crash too, under a suspect", []crash.Run{old(1), old(0)}, true, []crash.Verdict{suspect, {}}},
		{"other workers crash too, just after a start", []crash.Run{fresh(1), old(0)}, true, []crash.Verdict{giveUp, {}}},
		{"no run", nil, false, []crash.Verdict{}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is.New(t).Equal(crash.Judge(row.runs, row.simultaneous), row.want)
		})
	}
}

// Guards against a task that is started for ever: whatever runs beside it, a task is
// given up with the fourth crash that counts, and none with the first.
func TestASuspectIsGivenUpInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runs := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) crash.Run {
			return crash.Run{
				Age:      time.Duration(rapid.IntRange(0, 20_000).Draw(t, "age")) * time.Millisecond,
				AgeKnown: rapid.Bool().Draw(t, "known"), Started: rapid.Bool().Draw(t, "started"),
				Suspect: rapid.Bool().Draw(t, "suspect"), Crashes: rapid.IntRange(0, 5).Draw(t, "crashes"),
			}
		}), 1, 12).Draw(t, "runs")
		for k, v := range crash.Judge(runs, rapid.Bool().Draw(t, "simultaneous")) {
			switch {
			case v.GiveUp && (!v.Counts || runs[k].Crashes == 0) || v.Counts && !v.Suspect:
				t.Fatalf("run %+v is given up: %+v", runs[k], v)
			case v.Counts && runs[k].Crashes >= 3 && !v.GiveUp:
				t.Fatalf("run %+v goes on: %+v", runs[k], v)
			}
		}
	})
}
