package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against figures and failing seeds that can't be repeated because a
// decision depends on the order of a map.
func TestSameSeedSameLog(t *testing.T) {
	is := is.New(t)
	run := func() *Sim {
		c := Scenarios()[3]
		s := New(c.config(Current(), 7))
		s.Run(warmUp)
		s.submitTasks(c, 7)
		s.Run(4 * time.Minute)
		return s
	}
	a, b := run(), run()
	is.Equal(len(a.log), len(b.log))
	for i := range a.log {
		is.Equal(a.log[i].Data, b.log[i].Data)
	}
}
