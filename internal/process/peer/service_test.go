package peer_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/process/peer"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// local records the calls that it answers.
type local struct {
	heard  sched.Heartbeat
	filter sched.Filter
	config sched.ConfigCopy
	// block delays heartbeats until it is closed, if it isn't nil.
	block chan struct{}
}

func (l *local) Heartbeat(h sched.Heartbeat) sched.Heartbeat {
	if l.block != nil {
		<-l.block
	}
	l.heard = h
	h.From = "answer"
	return h
}
func (l *local) Config() (sched.ConfigCopy, bool) { return l.config, l.config.Version > 0 }
func (l *local) Events(f sched.Filter) []sched.Event {
	l.filter = f
	return []sched.Event{{Stamp: sched.Stamp{Wall: 7, Logical: 2}, Instance: "i", Kind: "k", Request: "r", Task: "t", Version: 3, Detail: "d"}}
}

func serve(t *testing.T, l *local) (*peer.Client, string) {
	m := http.NewServeMux()
	m.Handle(peer.Handler(l))
	s := httptest.NewServer(m)
	t.Cleanup(s.Close)
	return &peer.Client{HTTP: s.Client(), Timeout: time.Second}, s.Listener.Addr().String()
}

// Guards against a field that the handwritten conversion drops.
func TestMessagesArriveComplete(t *testing.T) {
	i := is.New(t)
	l := &local{config: sched.ConfigCopy{Version: 4, Document: []byte("x"), AsOf: 9}}
	c, at := serve(t, l)
	h := sched.Heartbeat{
		From: "a", Incarnation: 2, DataCentre: "dc", Region: "r", Address: "127.0.0.1:1", State: sched.StateLeaving,
		SentAt: time.Unix(3, 4), Version: 5, TaskApplied: 6, TermSeen: 7, LogReached: time.Unix(8, 9),
		Demand: []sched.TeamDemand{{Team: "t", Offered: 1.5, Admitted: 0.5}},
		Areas:  []sched.AreaDemand{{DataCentre: "d", Instances: 3, AsOf: time.Unix(5, 6), Demand: []sched.TeamDemand{{Team: "u", Offered: 2}}}},
		Totals: []sched.PartnerTotal{{Partner: "p", Service: "s", Answers: 11}},
	}
	back, err := c.Exchange(context.Background(), at, h)
	i.NoErr(err)
	i.Equal(l.heard, h)
	i.Equal(back.From, sched.InstanceID("answer"))
	copied, err := c.FetchConfig(context.Background(), at)
	i.NoErr(err)
	i.Equal(copied, l.config)
	f := sched.Filter{Instance: "i", Request: "r", Task: "t", Since: time.Unix(1, 0), Limit: 5}
	events, err := c.Events(context.Background(), at, f)
	i.NoErr(err)
	i.Equal(l.filter, f)
	i.Equal(events, l.Events(f))
}

// Guards against a heartbeat loop that blocks on a peer that doesn't answer, and
// against an empty copy that is taken for a configuration.
func TestHangingPeerAndMissingConfigurationAreErrors(t *testing.T) {
	i := is.New(t)
	l := &local{block: make(chan struct{})}
	c, at := serve(t, l)
	c.Timeout = 10 * time.Millisecond
	_, err := c.Exchange(context.Background(), at, sched.Heartbeat{})
	close(l.block)
	i.True(err != nil)
	c.Timeout = time.Minute
	_, err = c.FetchConfig(context.Background(), at)
	var call *peer.CallError
	i.True(errors.As(err, &call))
	i.Equal(call.Call, "fetchConfig")
}
