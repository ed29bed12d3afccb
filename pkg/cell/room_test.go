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
		{service: "s", needs: need(4000, 8)},
		{service: "s", filler: true, image: "x", needs: need(2000, 4)},
	}
	rows := []struct {
		name   string
		need   roomNeed
		covers bool
	}{
		{"the same", roomNeed{service: "s", needs: need(4000, 8)}, true},
		{"more of one", roomNeed{service: "s", needs: need(4000, 9)}, true},
		{"less of one", roomNeed{service: "s", needs: need(3999, 9)}, false},
		{"another service", roomNeed{service: "t", needs: need(4000, 8)}, false},
		{"another label", roomNeed{service: "s", label: "a", needs: need(4000, 8)}, false},
		{"filler of the image", roomNeed{service: "s", filler: true, image: "x", needs: need(2000, 5)}, true},
		{"filler that uses less", roomNeed{service: "s", filler: true, image: "x", needs: need(1900, 5)}, false},
		{"filler of another image", roomNeed{service: "s", filler: true, image: "y", needs: need(2000, 5)}, false},
		{"no filler, with less than a full need", roomNeed{service: "s", needs: need(2000, 5)}, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is.New(t).Equal(full.covers(row.need), row.covers)
		})
	}
	i.True(!noRoom(nil).covers(full[0]))
}
