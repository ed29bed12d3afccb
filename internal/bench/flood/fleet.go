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

// workerConns holds the connections of one instance to one worker.
type workerConns struct {
	tracker   conns.Tracker
	idle      []*connection
	byTracked map[*conns.Conn]*connection
}

// connection is one HTTP connection to a worker. A hung one delivers no answers.
type connection struct {
	tracked *conns.Conn
	hung    bool
	// fail ends the exchange that is open on the connection.
	fail func()
}

func (l *workerConns) take(now time.Time) *connection {
	if last := len(l.idle) - 1; last >= 0 {
		w := l.idle[last]
		l.idle = l.idle[:last]
		return w
	}
	w := &connection{tracked: l.tracker.Opened(now)}
	l.byTracked[w.tracked] = w
	return w
}

// discard closes a connection and forgets it.
func (l *workerConns) discard(w *connection) {
	l.tracker.Closed(w.tracked)
	delete(l.byTracked, w.tracked)
}
