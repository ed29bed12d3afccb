package budget_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/parsleybarrow/parsleybarrow/pkg/budget"
)

const mb = 1 << 20

// Guards against shares that together, with an idle instance and the runtime's reserve,
// exceed the smallest or the largest machine, or leave no descriptors for the store and workers.
func TestSharesFitTheMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := rapid.Int64Range(64, 2048).Draw(t, "memory") * mb
		descriptors := rapid.IntRange(500, 20000).Draw(t, "descriptors")
		l := budget.Of(memory, descriptors)
		shares := []budget.Share{l.Callers, l.Peers, l.Metrics, l.Probes}
		bytes, connections := int64(0), 0
		for _, s := range shares {
			bytes += s.Bytes
			connections += s.Connections
			if s.Connections < 8 || int64(s.Connections)*budget.ConnectionCost > s.Bytes {
				t.Fatalf("%d connections in %d bytes", s.Connections, s.Bytes)
			}
		}
		if bytes > memory*2/5 || bytes > l.Runtime*4/5 || l.Runtime > memory*4/5 {
			t.Fatalf("shares %d, runtime %d, machine %d", bytes, l.Runtime, memory)
		}
		if connections > (descriptors-200)*5/8 {
			t.Fatalf("%d connections of %d descriptors", connections, descriptors)
		}
		// One request of each permitted size fits beside the connections.
		for _, s := range shares[:2] {
			largest := budget.HeaderCost(budget.DefaultHeaderLines, 20<<10) + budget.BodyCost(256<<10, 0)
			if int64(s.Connections)*budget.ConnectionCost+largest > s.Bytes {
				t.Fatalf("no room for a request of %d bytes in %+v", largest, s)
			}
		}
	})
}

// Guards against an account that reserves more than its limit or loses what was given back.
func TestAnAccountNeverExceedsItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, sum := budget.NewAccount(1000), int64(0)
		var held []int64
		for _, n := range rapid.SliceOf(rapid.Int64Range(-400, 400)).Draw(t, "steps") {
			switch {
			case n < 0 && len(held) > 0:
				a.Give(held[0])
				sum, held = sum-held[0], held[1:]
			case n > 0 && a.Take(n) != (sum+n <= 1000):
				t.Fatalf("%d of 1000 in use, %d wanted", sum, n)
			case n > 0 && sum+n <= 1000:
				sum, held = sum+n, append(held, n)
			}
			if a.Used() != sum {
				t.Fatalf("%d in use, %d reserved", a.Used(), sum)
			}
		}
	})
}

// Guards against closing a connection whose request is being decided or that has just
// begun, closing more than is needed, and another order than idle ones first.
func TestVictims(t *testing.T) {
	const now = time.Minute
	draw := rapid.Custom(func(t *rapid.T) budget.Client {
		return budget.Client{
			Stage: budget.Stage(rapid.IntRange(0, 4).Draw(t, "stage")),
			Began: now - time.Duration(rapid.IntRange(0, 3000).Draw(t, "age"))*time.Millisecond,
			Last:  now - time.Duration(rapid.IntRange(0, 3000).Draw(t, "silent"))*time.Millisecond,
			Got:   rapid.Int64Range(0, 1000).Draw(t, "got"), Held: rapid.Int64Range(1, 100).Draw(t, "held"),
			Crowded: rapid.Bool().Draw(t, "crowded"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		clients := rapid.SliceOf(draw).Draw(t, "clients")
		bytes, connections := rapid.Int64Range(0, 500).Draw(t, "bytes"), rapid.IntRange(0, 5).Draw(t, "connections")
		victims, freed, idleLeft := budget.Victims(now, clients, bytes, connections), int64(0), false
		for n, k := range victims {
			c := clients[k]
			if c.Stage == budget.Deciding || now-c.Began < 500*time.Millisecond {
				t.Fatalf("closed: %+v", c)
			}
			if freed >= bytes && n >= connections {
				t.Fatalf("%d closed although %d bytes are free", n+1, freed)
			}
			if c.Stage == budget.Idle && idleLeft {
				t.Fatal("an idle connection after one with a request")
			}
			idleLeft = idleLeft || c.Stage != budget.Idle
			freed += c.Held
		}
		if freed < bytes || len(victims) < connections {
			for k, c := range clients {
				may := c.Stage != budget.Deciding && now-c.Began >= 500*time.Millisecond
				if may && !slices.Contains(victims, k) {
					t.Fatalf("kept although the share is used up: %+v", c)
				}
			}
		}
	})
}

// Guards against closing a faster client before a slower one, and one client's only
// connection before those of a client with many.
func TestTheSlowestOfTheCrowdedAddressGoesFirst(t *testing.T) {
	i := is.New(t)
	const now = time.Minute
	body := func(got int64, crowded bool) budget.Client {
		return budget.Client{Stage: budget.Body, Began: now - 2*time.Second, Last: now, Got: got, Held: 1, Crowded: crowded}
	}
	got := budget.Victims(now, []budget.Client{body(10, false), body(900, true), body(100, true), body(20, false)}, 4, 0)
	i.Equal(got, []int{2, 1, 0, 3})
}

// Guards against a slow client inside the limits that is disconnected, and against one that
// stops, or trickles, and isn't.
func TestSlow(t *testing.T) {
	i := is.New(t)
	l := budget.Of(0, 0)
	const now = time.Hour
	rows := []struct {
		what      string
		stage     budget.Stage
		age, last time.Duration
		got       int64
		slow      bool
	}{
		{"a pause of 9 s", budget.Body, 9 * time.Second, 9 * time.Second, 0, false},
		{"no bytes for 11 s", budget.Body, 11 * time.Second, 11 * time.Second, 1 << 20, true},
		{"a body of 256 KiB in 60 s", budget.Body, 60 * time.Second, time.Second, 256 << 10, false},
		{"a byte a second", budget.Body, 11 * time.Second, time.Second, 11, true},
		{"an answer not read for 11 s", budget.Writing, 11 * time.Second, 0, 0, true},
		{"a long decision", budget.Deciding, time.Minute, time.Minute, 0, false},
		{"idle", budget.Idle, time.Minute, time.Minute, 0, false},
	}
	for _, r := range rows {
		t.Log(r.what)
		i.Equal(l.Slow(now, budget.Client{Stage: r.stage, Began: now - r.age, Last: now - r.last, Got: r.got}), r.slow)
	}
}

// Guards against a body of unknown length that is charged less than its buffer takes.
func TestABodyOfUnknownLengthIsChargedBeforeItGrows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		read := rapid.Int64Range(0, 10<<20).Draw(t, "read")
		if cost := budget.BodyCost(-1, read); cost < 3*read || cost > 6*max(read, 8<<10) {
			t.Fatalf("%d bytes cost %d", read, cost)
		}
	})
}
