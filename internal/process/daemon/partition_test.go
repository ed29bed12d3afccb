package daemon_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/process/daemon"
	"github.com/parsleybarrow/parsleybarrow/internal/standin/logsvc"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// unreachablePeers fails every call to a peer.
type unreachablePeers struct{}

func (unreachablePeers) Exchange(context.Context, string, sched.Heartbeat) (sched.Heartbeat, error) {
	return sched.Heartbeat{}, sched.ErrUnavailable
}

func (unreachablePeers) FetchConfig(context.Context, string) (sched.ConfigCopy, error) {
	return sched.ConfigCopy{}, sched.ErrUnavailable
}

func (unreachablePeers) Events(context.Context, string, sched.Filter) ([]sched.Event, error) {
	return nil, sched.ErrUnavailable
}

// Guards against refusing work that is safe to serve during a partition, and
// against serving work that is not. The cases are the columns for requests and
// new tasks in docs/operators/partitions.md.
func TestWorkDuringPartitions(t *testing.T) {
	for _, c := range []struct {
		name               string
		log, peers, server bool // which parts the instance can't reach
		oneWay             bool // peers can still reach the instance
		repeatable         string
		once               string
		task               int
	}{
		{"from the platform", true, false, false, false, "100", "416", 503},
		{"from the other data centres", false, true, false, false, "100", "100", 202},
		{"from the other data centres, one way", false, true, false, true, "100", "100", 202},
		{"from the platform and everyone outside", true, true, false, false, "100", "416", 503},
		{"an instance from all", true, true, true, false, "410", "416", 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			r := newRig(t)
			r.apply(rigConfig)
			cut := func(d *daemon.Daemon) {
				if c.peers {
					d.PeerClient = unreachablePeers{}
				}
			}
			cutOfB := cut
			if c.oneWay {
				cutOfB = func(*daemon.Daemon) {}
			}
			a, b := r.start("a", 1, cut), r.start("b", 1, cutOfB)
			r.ready(a)
			r.ready(b)
			r.claims(a)
			if c.server {
				r.server.CloseClientConnections()
				r.server.Close()
			}
			if c.log {
				r.log.SetFaults(logsvc.Faults{Outage: true})
				r.list.SetOutage(true)
			}
			_, header, _ := a.call(newID(), false)
			i.Equal(header.Get(sched.HeaderCode), c.repeatable)
			id := newID()
			_, header, _ = a.call(id, true)
			i.Equal(header.Get(sched.HeaderCode), c.once)
			if c.once != "100" {
				i.Equal(r.backend.runs[id], 0) // a request that is refused as not run must not have run
			}
			if c.task == http.StatusAccepted {
				r.until("the task stream is read", func() bool { return a.submit("t") == c.task })
			} else {
				i.Equal(a.submit("t"), c.task)
			}
			r.log.SetFaults(logsvc.Faults{})
			r.list.SetOutage(false)
			if !c.server {
				r.until("normal", func() bool {
					_, header, _ := a.call(newID(), true)
					return header.Get(sched.HeaderCode) == "100"
				})
			}
		})
	}
}
