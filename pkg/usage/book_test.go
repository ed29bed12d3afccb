package usage_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/usage"
)

// Guards against answers that are billed twice or dropped when totals arrive late,
// twice, out of order, or both in a heartbeat and from the stream.
func TestOrderAndRepeatsOfTotalsDoNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b usage.Totals
		want := map[sched.Incarnation]int64{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			n := sched.Incarnation(rapid.Uint64Range(1, 3).Draw(t, "incarnation"))
			answers := rapid.Int64Range(1, 100).Draw(t, "answers")
			want[n] = max(want[n], answers)
			if rapid.Bool().Draw(t, "heartbeat") {
				b.Observe("a", n, []sched.PartnerTotal{{Partner: "p", Service: "s", Answers: answers}})
				continue
			}
			data, err := usage.Encode("b", false, []usage.RunningTotal{{"a", n, "p", "s", answers}})
			if err != nil {
				t.Fatal(err)
			}
			entries, _, err := usage.Decode(data)
			if err != nil {
				t.Fatal(err)
			}
			b.Replay(entries)
		}
		if got := b.Answers("p"); got != want[1]+want[2]+want[3] {
			t.Fatalf("got %d answers, want %v", got, want)
		}
	})
}

// Guards against totals of a failed instance that no other instance appends, and
// against totals that are appended again although a record covers them.
func TestTotalsStayPendingUntilARecordCoversThem(t *testing.T) {
	i := is.New(t)
	var b usage.Totals
	b.Observe("a", 1, []sched.PartnerTotal{{Partner: "p", Service: "s", Answers: 5}})
	first := b.Pending()
	b.Observe("a", 1, []sched.PartnerTotal{{Partner: "p", Service: "s", Answers: 7}})
	b.Replay(first)
	i.Equal(b.Pending(), []usage.RunningTotal{{"a", 1, "p", "s", 7}})
	b.Replay(b.Pending())
	i.Equal(len(b.Pending()), 0)
	i.Equal(b.Answers("p"), int64(7))
}
