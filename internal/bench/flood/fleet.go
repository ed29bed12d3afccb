package flood

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/conns"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// One-way latencies of the target fleets.
const (
	nearLatency   = time.Millisecond / 4
	centreLatency = time.Millisecond
	regionLatency = 20 * time.Millisecond
)

// Service time of a request: a fixed part and an exponential one.
const (
	serviceFixed  = 10 * time.Millisecond
	serviceRandom = 40 * time.Millisecond
	serviceMean   = serviceFixed + serviceRandom
)

// Layout of the fleet: the centres a and b are one region, c is another.
const (
	instances = 9
	slots     = 8
)

var centres = []sched.DataCentre{"a", "b", "c"}

func region(d sched.DataCentre) sched.Region {
	if d == "c" {
		return "far"
	}
	return "near"
}

func latency(a, b sched.DataCentre) time.Duration {
	switch {
	case a == b:
		return nearLatency
	case region(a) == region(b):
		return centreLatency
	}
	return regionLatency
}

// worker is a fake backend server with slots. It refuses when all are busy.
type worker struct {
	member sched.Member
	busy   int
	// slow multiplies the service time.
	slow float64
}

func makeWorkers(n int) []*worker {
	var list []*worker
	for i := range n {
		d := centres[i*len(centres)/n]
		list = append(list, &worker{slow: 1, member: sched.Member{
			ID: sched.InstanceID(fmt.Sprintf("w%d", i)), Role: sched.RoleBackend, State: sched.StateLive,
			Region: region(d), DataCentre: d, Service: service, Slots: slots, Connections: 64,
		}})
	}
	return list
}

func (w *worker) serviceTime(r *rand.Rand) time.Duration {
	t := float64(serviceFixed) + r.ExpFloat64()*float64(serviceRandom)
	return time.Duration(t * w.slow)
}

// link is the connections of one instance to one worker.
type link struct {
	tracker conns.Tracker
	idle    []*wire
	byTrack map[*conns.Conn]*wire
}

// wire is one connection. A hung one swallows everything.
type wire struct {
	track *conns.Conn
	hung  bool
	// lost ends the exchange that is open on the wire.
	lost func()
}

func (l *link) take(now time.Time) *wire {
	if last := len(l.idle) - 1; last >= 0 {
		w := l.idle[last]
		l.idle = l.idle[:last]
		return w
	}
	w := &wire{track: l.tracker.Opened(now)}
	l.byTrack[w.track] = w
	return w
}

// discard drops a connection.
func (l *link) discard(w *wire) {
	l.tracker.Closed(w.track)
	delete(l.byTrack, w.track)
}
