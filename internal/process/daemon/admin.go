package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/process/admin"
	"github.com/parsleybarrow/parsleybarrow/internal/process/peer"
	"github.com/parsleybarrow/parsleybarrow/pkg/event"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// askTimeout bounds the wait of an admin request or of a task query for the
	// control actor.
	askTimeout = 2 * time.Second
	// maxTimeline bounds the events in one answer of /events or /timeline.
	maxTimeline = 10_000
)

func (d *Daemon) peerHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle(peer.Handler(peerServer{d}))
	return limitBody(maxPeerBody, m)
}

func (d *Daemon) adminHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /healthz", d.serveHealth)
	m.HandleFunc("GET /readyz", d.serveReady)
	m.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { d.metrics.set.WritePrometheus(w) })
	m.HandleFunc("GET /status", d.serveStatus)
	m.HandleFunc("GET /events", d.serveEvents)
	m.HandleFunc("GET /timeline", d.serveTimeline)
	m.HandleFunc("GET /usage", d.serveUsage)
	m.HandleFunc("POST /declare-dead", d.serveDeclareDead)
	return limitBody(maxAdminBody, m)
}

// serveHealth is the health check: it succeeds only if the control actor
// handles a message within askTimeout.
func (d *Daemon) serveHealth(w http.ResponseWriter, r *http.Request) {
	x, cancel := context.WithTimeout(r.Context(), askTimeout)
	defer cancel()
	if err := d.callControl(x, func(*control) {}); err != nil {
		http.Error(w, "the control actor does not answer", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if v := d.view.Load(); !v.ready {
		http.Error(w, v.reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (d *Daemon) serveStatus(w http.ResponseWriter, _ *http.Request) {
	v := d.view.Load()
	s := admin.Status{
		Instance: string(d.ID), Incarnation: uint64(d.Incarnation), Region: string(d.Region),
		DataCentre: string(d.DataCentre), State: stateNames[sched.StateLive], Ready: v.ready, Reason: v.reason,
		Version: int64(v.version()), LogReached: v.logUp, ListReached: v.listUp,
		Planner: string(v.planner), Term: int64(v.term),
		Tasks: map[string]int{"queued": v.queued, "placed": v.placed}, Peers: []admin.Peer{},
	}
	if v.leaving {
		s.State = stateNames[sched.StateLeaving]
	}
	if v.members != nil {
		for _, m := range v.members.All() {
			if m.Role == sched.RoleEntry && m.ID != d.ID {
				s.Peers = append(s.Peers, admin.Peer{
					Instance: string(m.ID), DataCentre: string(m.DataCentre), State: stateNames[m.State],
					Version: int64(v.versions[m.ID]), Address: m.Address,
				})
			}
		}
	}
	writeJSON(w, http.StatusOK, s)
}

// parseFilter parses the query parameters of /events and /timeline.
func parseFilter(r *http.Request) (sched.Filter, error) {
	q := r.URL.Query()
	f := sched.Filter{
		Instance: sched.InstanceID(q.Get("instance")), Request: q.Get("request"), Task: sched.TaskID(q.Get("task")),
		Limit: maxTimeline,
	}
	if s := q.Get("since"); s != "" {
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			return f, errors.New("since must be nanoseconds since the Unix epoch")
		}
		f.Since = time.Unix(0, n)
	}
	if s := q.Get("limit"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 || n > maxTimeline {
			return f, errors.New("limit must be a whole number from 1 to 10000")
		}
		f.Limit = n
	}
	return f, nil
}

func (d *Daemon) serveEvents(w http.ResponseWriter, r *http.Request) {
	f, err := parseFilter(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, timeline(d.events.Select(f), nil))
}

// serveTimeline merges the events of this instance with those of all entry
// instances that answer, and lists the instances that did not.
func (d *Daemon) serveTimeline(w http.ResponseWriter, r *http.Request) {
	f, err := parseFilter(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var mu sync.Mutex
	var missing []string
	lists := [][]sched.Event{d.events.Select(f)}
	var all sync.WaitGroup
	for _, m := range d.otherEntries() {
		all.Go(func() {
			events, err := d.PeerClient.Events(r.Context(), m.Address, f)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, string(m.ID))
				return
			}
			lists = append(lists, events)
		})
	}
	all.Wait()
	merged := event.Merge(lists...)
	if len(merged) > f.Limit {
		merged = merged[len(merged)-f.Limit:]
	}
	writeJSON(w, http.StatusOK, timeline(merged, missing))
}

// otherEntries returns the entry instances, other than this one, that may be
// alive and whose address is known.
func (d *Daemon) otherEntries() []sched.Member {
	var out []sched.Member
	if v := d.view.Load(); v.members != nil {
		for _, m := range v.members.All() {
			if m.Role == sched.RoleEntry && m.ID != d.ID && m.State != sched.StateGone && m.Address != "" {
				out = append(out, m)
			}
		}
	}
	return out
}

// timeline converts events to the JSON shape of the admin interface.
func timeline(events []sched.Event, missing []string) admin.Timeline {
	t := admin.Timeline{Events: []admin.Event{}, Missing: missing}
	for _, e := range events {
		t.Events = append(t.Events, admin.FromEvent(e))
	}
	return t
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}
