package turns_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/parsleybarrow/parsleybarrow/pkg/turns"
)

const (
	tick = 5 * time.Millisecond
	// cutTimeout is when the kernel gives up a connection whose peer can't be reached.
	cutTimeout = 3 * time.Second
)

var epoch = time.Date(2026, 9, 8, 12, 0, 0, 0, time.UTC)

// server handles one call at a time. It is the observer of the tests.
type server struct {
	now     time.Time
	line    turns.Line
	oneWay  time.Duration
	takes   time.Duration // as the callers expect
	slower  float64       // how many times as long a call takes
	cut     bool          // calls don't arrive
	failing bool          // calls are refused
	flights []flight
	freeAt  time.Time
	handled map[any]int
	// begun and answered count the calls.
	begun, answered int
	// longest is the longest time that a call waited at the server.
	longest time.Duration
}

type flight struct {
	id      int64
	until   time.Time // when the answer arrives or the call fails
	answers bool
}

func newServer(takes, oneWay time.Duration) *server {
	return &server{now: epoch, takes: takes, oneWay: oneWay, slower: 1, handled: map[any]int{}}
}

// pass lets time pass in which all callers have calls to make.
func (s *server) pass(d time.Duration, callers ...any) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(tick) {
		rest := s.flights[:0]
		for _, f := range s.flights {
			if s.now.Before(f.until) {
				rest = append(rest, f)
				continue
			}
			s.line.End(s.now, f.id, f.answers)
			if f.answers {
				s.answered++
			}
		}
		s.flights = rest
		for _, c := range callers {
			if s.line.Free(s.now, c) {
				s.call(c)
			}
		}
	}
}

func (s *server) call(caller any) {
	s.begun++
	id, _, timeout := s.line.Begin(s.now, caller, s.takes)
	switch arrives := s.now.Add(s.oneWay); {
	case s.failing:
		s.flights = append(s.flights, flight{id, s.now.Add(2 * s.oneWay), false})
	case s.cut:
		s.flights = append(s.flights, flight{id, s.now.Add(cutTimeout), false})
	default:
		s.longest = max(s.longest, s.freeAt.Sub(arrives))
		if arrives.After(s.freeAt) {
			s.freeAt = arrives
		}
		s.freeAt = s.freeAt.Add(time.Duration(s.slower * float64(s.takes)))
		s.handled[caller]++
		f := flight{id, s.freeAt.Add(s.oneWay), true}
		if limit := s.now.Add(timeout); f.until.After(limit) {
			f = flight{id, limit, false}
		}
		s.flights = append(s.flights, f)
	}
}

func (s *server) total() int {
	n := 0
	for _, k := range s.handled {
		n += k
	}
	return n
}

// Guards against calls that wait at the server, and against a server that is idle while
// calls wait, for servers near and far, quick and slow.
func TestTheServerIsBusyAndCallsDoNotWaitThere(t *testing.T) {
	kept := []struct {
		takes  time.Duration
		slower float64
	}{
		{36 * time.Millisecond, 1.5}, // calls ahead were expected to end too early: 162 ms
		{2 * time.Second, 3},         // calls that were given up piled up at the server: 76 s
	}
	for _, x := range kept {
		checkBusy(t, newServer(x.takes, 0), x.slower)
	}
	rapid.Check(t, func(t *rapid.T) {
		s := newServer(
			time.Duration(rapid.IntRange(20, 2000).Draw(t, "takesMs"))*time.Millisecond,
			time.Duration(rapid.IntRange(0, 20).Draw(t, "oneWayMs"))*time.Millisecond)
		checkBusy(t, s, rapid.Float64Range(0.8, 3).Draw(t, "slower"))
	})
}

// fatal is a test that can be failed.
type fatal interface {
	Fatalf(format string, args ...any)
}

// checkBusy plays a caller that always has calls to make.
func checkBusy(t fatal, s *server, slower float64) {
	s.slower = slower
	each := time.Duration(s.slower * float64(s.takes))
	s.pass(20*each+time.Second, "a") // until it knows how long a call takes
	before := s.total()
	s.longest = 0
	span := max(40*each, 10*time.Second)
	s.pass(span, "a")
	if share := float64(s.total()-before) * float64(each) / float64(span); share < 0.85 {
		t.Fatalf("the server was busy for %.2f of the time", share)
	}
	// The calls ahead of one are on their way for 100 ms at most, or for one call.
	if most := 100*time.Millisecond + each + tick; s.longest > most {
		t.Fatalf("a call waited for %v at the server", s.longest)
	}
}

// Guards against a caller that gets no turn beside another one, such as a cell whose planner
// isn't the one that has just been answered.
func TestCallersTakeTurns(t *testing.T) {
	i := is.New(t)
	s := newServer(300*time.Millisecond, 5*time.Millisecond)
	s.pass(60*time.Second, "a", "b", "c")
	for _, c := range []any{"a", "b", "c"} {
		i.True(s.handled[c] >= s.total()/3-1)
	}
	// One that wants no more calls holds nobody up.
	before := s.handled["b"]
	s.pass(9*time.Second, "b", "c")
	i.True(s.handled["b"]-before >= 13)
}

// Guards against a caller that is told to go ahead, has nothing to call for after all, and
// keeps the others from calling.
func TestATurnThatIsNotUsedGoesToTheNextCaller(t *testing.T) {
	i := is.New(t)
	s := newServer(300*time.Millisecond, 5*time.Millisecond)
	s.pass(time.Second, "a")
	for range 400 {
		s.line.Free(s.now, "idle")
		s.pass(tick, "a")
	}
	i.True(s.handled["a"] >= 9) // 3 s of 300 ms each
}

// Guards against calls that don't go on after an outage of the server, and against a flood
// of them during it.
func TestCallsGoOnAfterAnOutage(t *testing.T) {
	const outage = 12 * time.Second
	rows := []struct {
		name  string
		begin func(*server)
	}{
		{"cut off", func(s *server) { s.cut = true }},
		{"errors", func(s *server) { s.failing = true }},
		{"stands still", func(s *server) { s.freeAt = s.now.Add(outage) }},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			i := is.New(t)
			s := newServer(300*time.Millisecond, 5*time.Millisecond)
			s.pass(3*time.Second, "a")
			row.begin(s)
			s.begun = 0
			s.pass(outage, "a")
			i.True(s.begun <= 16)
			s.cut, s.failing = false, false
			s.answered = 0
			s.pass(5*time.Second, "a")
			i.True(s.answered > 0)
			s.pass(10*time.Second, "a")
			i.True(s.answered >= 30) // of 50 in that time
		})
	}
}

// Guards against a line that is blocked for good by calls whose caller has ended, or never
// tells of their end.
func TestACallerThatEndsLeavesNoCallsBehind(t *testing.T) {
	i := is.New(t)
	var l turns.Line
	l.Begin(epoch, "a", time.Minute)
	i.True(!l.Free(epoch, "b"))
	l.Leave("a")
	i.True(l.Free(epoch, "b"))
	id, _, timeout := l.Begin(epoch, "b", time.Second)
	later := epoch.Add(timeout + 150*time.Millisecond)
	i.True(l.Free(later, "c"))
	l.End(later, id, true) // too late to count
	i.Equal(l.Extra(), time.Duration(0))
}

// Guards against a server on which each call is given up and still waited for by the next
// one, since it takes far longer than expected.
func TestCallsOfAFarSlowerServerAreAnsweredInTheEnd(t *testing.T) {
	for _, slower := range []float64{5, 20, 40, 70} {
		i := is.New(t)
		s := newServer(300*time.Millisecond, 5*time.Millisecond)
		s.slower = slower
		s.pass(6*time.Minute, "a") // until the slack suffices
		s.answered = 0
		span := 20 * time.Duration(slower*float64(s.takes))
		s.pass(span, "a")
		i.True(s.answered >= 17) // of 20
	}
}
