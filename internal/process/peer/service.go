package peer

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/parsleybarrow/parsleybarrow/internal/wire/pb"
	"github.com/parsleybarrow/parsleybarrow/internal/wire/pb/pbconnect"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// maxMessage bounds a message in bytes. The configuration expected in two
	// years has about 50 KB, an answer of 10,000 events about 2 MB.
	maxMessage = 4 << 20
	// maxEvents bounds the events of one answer, so that it fits maxMessage.
	maxEvents = 10_000
)

// LocalInstance answers the calls of peers. The instance that is called implements it.
type LocalInstance interface {
	// Heartbeat processes the heartbeat of a peer and returns that of this
	// instance.
	Heartbeat(h sched.Heartbeat) sched.Heartbeat
	// Config returns the configuration in force, false if there is none yet.
	Config() (sched.ConfigCopy, bool)
	// Events returns the events of this instance that the filter selects.
	Events(f sched.Filter) []sched.Event
}

// Handler returns the path prefix and the handler of the peer service.
func Handler(l LocalInstance) (string, http.Handler) {
	return pbconnect.NewPeerHandler(&service{local: l}, connect.WithReadMaxBytes(maxMessage))
}

type service struct{ local LocalInstance }

func (s *service) Exchange(_ context.Context, w *pb.Heartbeat) (*pb.Heartbeat, error) {
	return heartbeatToWire(s.local.Heartbeat(heartbeatFromWire(w))), nil
}

func (s *service) FetchConfig(context.Context, *pb.FetchConfigRequest) (*pb.ConfigCopy, error) {
	c, ok := s.local.Config()
	if !ok {
		return nil, connect.NewError(connect.CodeUnavailable, errNoConfig)
	}
	return &pb.ConfigCopy{Version: int64(c.Version), Document: c.Document, AsOf: int64(c.AsOf)}, nil
}

func (s *service) Events(_ context.Context, w *pb.EventsRequest) (*pb.EventsResponse, error) {
	f := filterFromWire(w)
	if f.Limit <= 0 || f.Limit > maxEvents {
		f.Limit = maxEvents
	}
	out := &pb.EventsResponse{}
	for _, e := range s.local.Events(f) {
		out.Events = append(out.Events, eventToWire(e))
	}
	return out, nil
}

// Client calls other instances. Set the exported fields before the first call.
// The methods return a *CallError.
type Client struct {
	HTTP *http.Client
	// Timeout bounds one call. If it is 0, calls are bounded by 2 s, which is 50
	// times the round trip between regions.
	Timeout time.Duration
}

const defaultTimeout = 2 * time.Second

var _ sched.PeerClient = (*Client)(nil)

// Exchange implements sched.Peers.
func (c *Client) Exchange(x context.Context, address string, h sched.Heartbeat) (sched.Heartbeat, error) {
	x, cancel := c.withTimeout(x)
	defer cancel()
	w, err := c.client(address).Exchange(x, heartbeatToWire(h))
	if err != nil {
		return sched.Heartbeat{}, callError(address, "exchange", err)
	}
	return heartbeatFromWire(w), nil
}

// FetchConfig implements sched.Peers.
func (c *Client) FetchConfig(x context.Context, address string) (sched.ConfigCopy, error) {
	x, cancel := c.withTimeout(x)
	defer cancel()
	w, err := c.client(address).FetchConfig(x, &pb.FetchConfigRequest{})
	if err != nil {
		return sched.ConfigCopy{}, callError(address, "fetchConfig", err)
	}
	return sched.ConfigCopy{
		Version:  sched.Offset(w.GetVersion()),
		Document: w.GetDocument(),
		AsOf:     sched.Offset(w.GetAsOf()),
	}, nil
}

// Events implements sched.Peers.
func (c *Client) Events(x context.Context, address string, f sched.Filter) ([]sched.Event, error) {
	x, cancel := c.withTimeout(x)
	defer cancel()
	w, err := c.client(address).Events(x, filterToWire(f))
	if err != nil {
		return nil, callError(address, "events", err)
	}
	var out []sched.Event
	for _, e := range w.GetEvents() {
		out = append(out, eventFromWire(e))
	}
	return out, nil
}

func (c *Client) client(address string) pbconnect.PeerClient {
	return pbconnect.NewPeerClient(c.HTTP, "http://"+address, connect.WithReadMaxBytes(maxMessage))
}

// withTimeout bounds a context by the timeout of one call.
func (c *Client) withTimeout(x context.Context) (context.Context, context.CancelFunc) {
	t := c.Timeout
	if t == 0 {
		t = defaultTimeout
	}
	return context.WithTimeout(x, t)
}
