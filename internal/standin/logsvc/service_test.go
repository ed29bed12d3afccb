package logsvc

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against gaps, repeated records or wrong bounds in the pages of a reader,
// for any sequence of appends, reads and trims.
func TestReadsAreGapless(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := context.Background()
		m := clock.NewManual(time.Unix(1000, 0))
		keep := rapid.IntRange(1, 20).Draw(t, "keep")
		s := New(m, 1, Retention{Records: keep, Age: 30 * time.Second})
		var all []byte
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "append") {
				b := rapid.Byte().Draw(t, "data")
				o, err := s.Append(c, "x", []byte{b})
				all = append(all, b)
				if err != nil || int(o) != len(all) {
					t.Fatalf("append %d: offset %d, %v", len(all), o, err)
				}
				m.Advance(time.Duration(rapid.IntRange(0, 5).Draw(t, "seconds")) * time.Second)
				continue
			}
			from := sched.Offset(rapid.IntRange(1, len(all)+1).Draw(t, "from"))
			p, err := s.Read(c, "x", from, 7)
			var trimmed *sched.TrimmedError
			if errors.As(err, &trimmed) {
				if trimmed.Earliest <= from || int(trimmed.Earliest) < len(all)-keep {
					t.Fatalf("read from %d: %v", from, err)
				}
				continue
			}
			if err != nil || int(p.Next) != len(all)+1 || p.Earliest > from {
				t.Fatalf("read from %d: %+v, %v", from, p, err)
			}
			for n, r := range p.Records {
				if r.Offset != from+sched.Offset(n) || r.Data[0] != all[r.Offset-1] {
					t.Fatalf("record %d of a read from %d is %+v", n, from, r)
				}
			}
		}
	})
}

// Guards against a fault whose effect differs from its description, on which tests
// rely: a refused append has no effect, an append with a lost answer has one, and
// a late append takes effect after its delay.
func TestFaultsHaveTheirStatedEffect(t *testing.T) {
	tests := []struct {
		name     string
		faults   Faults
		want     error
		now      sched.Offset // next offset right after the call
		tenLater sched.Offset // next offset ten seconds later
	}{
		{"no fault", Faults{}, nil, 2, 2},
		{"outage", Faults{Outage: true}, sched.ErrUnavailable, 1, 1},
		{"lost answer", Faults{LostAnswer: 1}, sched.ErrUncertain, 2, 2},
		{"late effect", Faults{LateEffect: 1, LateBy: 10 * time.Second}, sched.ErrUncertain, 1, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			i := is.New(t)
			m := clock.NewManual(time.Unix(1000, 0))
			s := New(m, 1, Retention{})
			s.SetFaults(tt.faults)
			_, err := s.Append(t.Context(), "x", []byte("a"))
			i.Equal(err, tt.want)
			s.SetFaults(Faults{})
			p, err := s.Read(t.Context(), "x", 1, 0)
			i.NoErr(err)
			i.Equal(p.Next, tt.now)
			m.Advance(10 * time.Second)
			p, err = s.Read(t.Context(), "x", 1, 0)
			i.NoErr(err)
			i.Equal(p.Next, tt.tenLater)
		})
	}
}

// Guards against a peak that is not counted per second of the clock. Other tests
// compare the peak with the budget of appends.
func TestCountsPeakPerSecond(t *testing.T) {
	i := is.New(t)
	m := clock.NewManual(time.Unix(1000, 0))
	s := New(m, 1, Retention{Records: 1})
	for n := range 30 {
		_, err := s.Append(t.Context(), []string{"x", "y"}[n%2], []byte("abc"))
		i.NoErr(err)
		m.Advance(100 * time.Millisecond)
	}
	c := s.Counts()
	i.Equal(c.PeakPerSecond, int64(10))
	i.Equal(c.Streams["x"].PeakPerSecond, int64(5))
	i.Equal(c.Bytes, int64(90))
}
