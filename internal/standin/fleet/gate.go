package fleet

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/standin/logsvc"
	"github.com/parsleybarrow/parsleybarrow/internal/standin/roster"
	"github.com/parsleybarrow/parsleybarrow/internal/standin/worker"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// DataCentreView is the platform as one data centre sees it. Cut separates the data
// centre from the log and the list; its workers stay in reach. A call that is
// under way when the gate is cut still takes effect.
type DataCentreView struct {
	Log     sched.Log
	List    sched.Roster
	Workers sched.WorkerClient
	// OneWayDelay is the one-way latency to log and list, by Clock.
	OneWayDelay time.Duration
	Clock       sched.Clock

	cut atomic.Bool
}

var (
	_ sched.Log          = (*DataCentreView)(nil)
	_ sched.Roster       = (*DataCentreView)(nil)
	_ sched.WorkerClient = (*DataCentreView)(nil)
)

// SetCut separates the data centre from log and list, or joins it again.
func (g *DataCentreView) SetCut(on bool) { g.cut.Store(on) }

// Append implements sched.Log.
func (g *DataCentreView) Append(c context.Context, stream string, data []byte) (sched.Offset, error) {
	if g.cut.Load() {
		// A caller can't tell a cut before the call from one after it.
		return 0, sched.ErrUncertain
	}
	if g.waitOneWay(c) != nil {
		return 0, sched.ErrUncertain
	}
	o, err := g.Log.Append(c, stream, data)
	if g.waitOneWay(c) != nil {
		return 0, sched.ErrUncertain
	}
	return o, err
}

// waitOneWay waits for the latency of one way.
func (g *DataCentreView) waitOneWay(c context.Context) error {
	if g.OneWayDelay <= 0 {
		return nil
	}
	return g.Clock.Sleep(c, g.OneWayDelay)
}

// Read implements sched.Log.
func (g *DataCentreView) Read(c context.Context, stream string, from sched.Offset, limit int) (sched.Page, error) {
	if g.cut.Load() {
		return sched.Page{}, sched.ErrUnavailable
	}
	if g.waitOneWay(c) != nil {
		return sched.Page{}, sched.ErrUnavailable
	}
	p, err := g.Log.Read(c, stream, from, limit)
	if g.waitOneWay(c) != nil {
		return sched.Page{}, sched.ErrUnavailable
	}
	return p, err
}

// Members implements sched.Roster.
func (g *DataCentreView) Members(c context.Context) ([]sched.Member, error) {
	if g.cut.Load() {
		return nil, sched.ErrUnavailable
	}
	if g.waitOneWay(c) != nil {
		return nil, sched.ErrUnavailable
	}
	list, err := g.List.Members(c)
	if g.waitOneWay(c) != nil {
		return nil, sched.ErrUnavailable
	}
	return list, err
}

// Exchange implements sched.Workers.
func (g *DataCentreView) Exchange(c context.Context, w sched.Member, call sched.WorkerCall) (sched.WorkerReport, error) {
	return g.Workers.Exchange(c, w, call)
}

// Handler serves log, list and workers over HTTP.
func (g *DataCentreView) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/log/", logsvc.Handler(g))
	mux.Handle("/roster/", roster.Handler(g))
	mux.Handle("/workers/", worker.Handler(g))
	return mux
}
