package cell

import (
	"testing"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against steps that are left waiting though there is room, and against a look
// at all workers for steps that surely have none.
func TestALargerNeedHasNoRoomWhereASmallerOneHasNone(t *testing.T) {
	i := is.New(t)
	need := func(processors, memory int64) sched.Resources {
		return sched.Resources{Processors: processors, Memory: memory}
	}
	full := noRoom{
		{service: "s", needs: need(4000, 8), members: 1},
		{service: "s", filler: true, image: "x", needs: need(2000, 4), members: 1},
		{service: "s", needs: need(1000, 2), members: 4},
		{service: "s", filler: true, image: "z", overdue: true, needs: need(2000, 4), members: 1},
	}
	rows := []struct {
		name   string
		need   roomNeed
		covers bool
	}{
		{"the same", roomNeed{service: "s", needs: need(4000, 8), members: 1}, true},
		{"more of one", roomNeed{service: "s", needs: need(4000, 9), members: 1}, true},
		{"less of one", roomNeed{service: "s", needs: need(3999, 9), members: 1}, false},
		{"another service", roomNeed{service: "t", needs: need(4000, 8), members: 1}, false},
		{"another label", roomNeed{service: "s", label: "a", needs: need(4000, 8), members: 1}, false},
		{"filler of the image", roomNeed{service: "s", filler: true, image: "x", needs: need(2000, 5), members: 1}, true},
		{"filler that uses less", roomNeed{service: "s", filler: true, image: "x", needs: need(1900, 5), members: 1}, false},
		{"filler of another image", roomNeed{service: "s", filler: true, image: "y", needs: need(2000, 5), members: 1}, false},
		{"a gang of such tasks", roomNeed{service: "s", needs: need(4000, 8), members: 2}, true},
		{"a single task of a gang's needs", roomNeed{service: "s", needs: need(1000, 2), members: 1}, false},
		{"a smaller gang", roomNeed{service: "s", needs: need(1000, 2), members: 3}, false},
		{"a gang of as many", roomNeed{service: "s", needs: need(1000, 3), members: 4}, true},
		{"a gang of more", roomNeed{service: "s", needs: need(1000, 2), members: 5}, true},
		{"no filler, with less than a full need", roomNeed{service: "s", needs: need(2000, 5), members: 1}, false},
		{"overdue filler of the image", roomNeed{service: "s", filler: true, image: "x", overdue: true, needs: need(2000, 5), members: 1}, false},
		{"filler of the image of an overdue one", roomNeed{service: "s", filler: true, image: "z", needs: need(2000, 5), members: 1}, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is.New(t).Equal(full.covers(row.need), row.covers)
		})
	}
	i.True(!noRoom(nil).covers(full[0]))
}
