package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/standin/bkend"
	"github.com/parsleybarrow/parsleybarrow/internal/standin/logsvc"
	"github.com/parsleybarrow/parsleybarrow/internal/standin/worker"
	"github.com/parsleybarrow/parsleybarrow/internal/wire/pjson"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Bodies of the admin endpoint. Times are in milliseconds.
type (
	logRequest struct {
		Outage       bool    `json:"outage"`
		Silent       bool    `json:"silent"`
		Slow         float64 `json:"slow"`
		SlowByMillis int64   `json:"slowByMillis"`
		LostAnswer   float64 `json:"lostAnswer"`
		LateEffect   float64 `json:"lateEffect"`
		LateByMillis int64   `json:"lateByMillis"`
	}
	rosterRequest struct {
		Outage    bool   `json:"outage"`
		LagMillis *int64 `json:"lagMillis"`
	}
	workerRequest struct {
		FailAll           bool    `json:"failAll"`
		Silent            bool    `json:"silent"`
		LostCall          float64 `json:"lostCall"`
		LostAnswer        float64 `json:"lostAnswer"`
		Delayed           float64 `json:"delayed"`
		Duplicated        float64 `json:"duplicated"`
		DelayByMillis     int64   `json:"delayByMillis"`
		ClockOffsetMillis int64   `json:"clockOffsetMillis"`
		Crashed           bool    `json:"crashed"`
	}
	backendRequest struct {
		Shares       map[bkend.Fault]float64 `json:"shares"`
		Slow         float64                 `json:"slow"`
		LateByMillis int64                   `json:"lateByMillis"`
		Leaving      bool                    `json:"leaving"`
		Stopped      bool                    `json:"stopped"`
	}
	cutRequest struct {
		DataCentre sched.DataCentre `json:"dataCentre"`
		Cut        bool             `json:"cut"`
	}
	fleetResponse struct {
		Admin string                      `json:"admin"`
		Bases map[sched.DataCentre]string `json:"bases"`
	}
)

const maxAdminBodyBytes = 1 << 20 // bytes

var errNotFound = errors.New("no such name")

// adminHandler serves:
//
//	GET    /admin/counts          totals of the log and the observers
//	GET    /admin/fleet           the addresses
//	POST   /admin/log             faults of the log
//	POST   /admin/roster          outage and lag of the list
//	POST   /admin/cut             cut a data centre off from log and list
//	POST   /admin/workers/{id}    faults of a worker
//	POST   /admin/backend/{id}    faults of a backend server
//	POST   /admin/members         add or change instances on the list
//	DELETE /admin/members/{id}    take an instance off the list
//
// A POST of faults replaces all of them, so an empty object ends them.
func (f *Fleet) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f.Counts()) })
	mux.HandleFunc("GET /admin/fleet", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f.addresses()) })
	mux.HandleFunc("POST /admin/log", decodeAndApply(f.setLog))
	mux.HandleFunc("POST /admin/roster", decodeAndApply(f.setRoster))
	mux.HandleFunc("POST /admin/cut", decodeAndApply(f.setCut))
	mux.HandleFunc("POST /admin/workers/{id}", decodeAndApply(f.setWorker))
	mux.HandleFunc("POST /admin/backend/{id}", decodeAndApply(f.setBackend))
	mux.HandleFunc("POST /admin/members", func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAdminBodyBytes))
		if err != nil {
			writeResult(w, err)
			return
		}
		members, err := pjson.DecodeMembers(data)
		for _, m := range members {
			f.List.Put(m)
		}
		writeResult(w, err)
	})
	mux.HandleFunc("DELETE /admin/members/{id}", func(w http.ResponseWriter, r *http.Request) {
		f.List.Remove(sched.InstanceID(r.PathValue("id")))
		writeResult(w, nil)
	})
	return mux
}

// decodeAndApply reads a body of type T and hands it to f with the {id} of the path.
func decodeAndApply[T any](f func(id sched.InstanceID, o T) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o T
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBodyBytes))
		d.DisallowUnknownFields()
		if err := d.Decode(&o); err != nil {
			writeResult(w, err)
			return
		}
		writeResult(w, f(sched.InstanceID(r.PathValue("id")), o))
	}
}

func writeResult(w http.ResponseWriter, err error) {
	switch {
	case err == nil:
		w.WriteHeader(http.StatusNoContent)
	case errors.Is(err, errNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	default:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	// A failed write means that the caller is gone.
	_ = e.Encode(v)
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func (f *Fleet) addresses() fleetResponse {
	a := fleetResponse{Admin: f.AdminAddress(), Bases: map[sched.DataCentre]string{}}
	for _, area := range f.Setup.Areas {
		a.Bases[area.DataCentre] = f.BaseURL(area.DataCentre)
	}
	return a
}

func (f *Fleet) setLog(_ sched.InstanceID, o logRequest) error {
	f.Log.SetFaults(logsvc.Faults{
		Outage: o.Outage, Silent: o.Silent, Slow: o.Slow, SlowBy: millis(o.SlowByMillis),
		LostAnswer: o.LostAnswer, LateEffect: o.LateEffect, LateBy: millis(o.LateByMillis),
	})
	return nil
}

func (f *Fleet) setRoster(_ sched.InstanceID, o rosterRequest) error {
	f.List.SetOutage(o.Outage)
	if o.LagMillis != nil {
		f.List.SetLag(millis(*o.LagMillis))
	}
	return nil
}

func (f *Fleet) setCut(_ sched.InstanceID, o cutRequest) error {
	g := f.Area(o.DataCentre)
	if g == nil {
		return fmt.Errorf("data centre %q: %w", o.DataCentre, errNotFound)
	}
	g.SetCut(o.Cut)
	return nil
}

func (f *Fleet) setWorker(id sched.InstanceID, o workerRequest) error {
	w := f.Pool.Worker(id)
	if w == nil {
		return fmt.Errorf("worker %q: %w", id, errNotFound)
	}
	w.SetFaults(worker.Faults{
		FailAll: o.FailAll, Silent: o.Silent, LostCall: o.LostCall, LostAnswer: o.LostAnswer,
		Delayed: o.Delayed, Duplicated: o.Duplicated, DelayBy: millis(o.DelayByMillis),
	})
	w.SetClockOffset(millis(o.ClockOffsetMillis))
	if o.Crashed {
		w.Crash()
	} else {
		w.Restart()
	}
	return nil
}

func (f *Fleet) setBackend(id sched.InstanceID, o backendRequest) error {
	b := f.Server(id)
	if b == nil {
		return fmt.Errorf("backend server %q: %w", id, errNotFound)
	}
	b.SetFaults(bkend.Faults{Shares: o.Shares, Slow: o.Slow, LateBy: millis(o.LateByMillis)})
	if o.Leaving {
		f.DrainServer(b)
	} else {
		b.SetLeaving(false)
	}
	if o.Stopped {
		return b.Stop()
	}
	if !b.Running() {
		return f.StartServer(b)
	}
	return nil
}
