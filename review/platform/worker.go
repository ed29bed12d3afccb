package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Heartbeat is the time between two liveness reports of a worker.
const Heartbeat = 1100 * time.Millisecond

const (
	silencesLost = 3 // liveness reports that are missing before an entry is removed
	maxHold      = 6 * time.Second
	stopTime     = 100 * time.Millisecond
	checkEvery   = 5 * time.Millisecond
	wholePercent = 100
)

// Run is one run of a task, as its worker saw it.
type Run struct {
	Task   string
	Number int
	Worker string
	// Born is the start of the worker's life, in Unix milliseconds, and Kind its kind.
	Born int64
	Kind string
	// Began and Ended are when the run began and ended, and How is the way in which it
	// ended, "crashed" if its worker did.
	Began, Ended time.Time
	How          string

	work     time.Duration
	stopping time.Time
}

// Worker is one worker. Set the exported fields before Start.
type Worker struct {
	ID, Service, Zone, Rack string
	Store                   *Store
	// CPU and MemMB are the capacity.
	CPU, MemMB int
	// Work returns the time that a task takes.
	Work func(task string) time.Duration
	// FirstReport returns the time from the start of a life to its first liveness report, which
	// the worker makes about every heartbeat. The lives are counted from 0.
	FirstReport func(life int) time.Duration
	// Kind returns the kind of a life, "a" if it isn't set.
	Kind func(life int) string
	// OnStart is called with each run that begins, OnEnd with each that has ended, and OnNote
	// with each whose end is taken note of: an exchange has named its number, and the lease
	// hadn't lapsed. The worker's lock is held.
	OnStart, OnEnd, OnNote func(Run)

	mu       sync.Mutex
	up       bool
	life     int
	address  string
	server   *http.Server
	begun    time.Time // of this life
	born     int64
	sequence int
	token    int64
	lease    time.Duration // by this life's clock
	running  map[string]*Run
	closed   map[string]int // highest run of each task that was stopped or ended here
	finished []finishedRun
	ends     int
	notify   chan struct{}
}

// finishedRun is an end that the worker lists.
type finishedRun struct {
	number int
	run    Run
}

// Start begins the first life and the liveness reports, until the context ends.
func (w *Worker) Start(c context.Context) error {
	if err := w.Up(); err != nil {
		return err
	}
	go func() {
		for c.Err() == nil {
			w.advance()
			time.Sleep(checkEvery)
		}
	}()
	return nil
}

// Up begins a life at the address of the earlier ones. It holds and knows nothing of them.
func (w *Worker) Up() error {
	w.mu.Lock()
	address := w.address
	w.mu.Unlock()
	if address == "" {
		free, err := FreeAddresses(1)
		if err != nil {
			return err
		}
		address = free[0]
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/run-start", w.order(w.start))
	m.HandleFunc("POST /v1/run-stop", w.order(w.stop))
	m.HandleFunc("POST /v1/pace", w.order(func(*orderBody) (int, string) { return http.StatusOK, "" }))
	m.HandleFunc("POST /v1/hold", w.hold)
	w.mu.Lock()
	w.address, w.server, w.up = l.Addr().String(), &http.Server{Handler: m, ReadHeaderTimeout: time.Minute}, true
	w.begun, w.born, w.sequence = time.Now(), time.Now().UnixMilli(), 0
	life := w.life
	w.life++
	w.token, w.lease, w.ends = 0, 0, 0
	w.running, w.closed, w.finished = map[string]*Run{}, map[string]int{}, nil
	w.notify = make(chan struct{})
	s := w.server
	w.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	go w.reportLife(life)
	return nil
}

// kind returns the kind of a life.
func (w *Worker) kind(life int) string {
	if w.Kind == nil {
		return "a"
	}
	return w.Kind(life)
}

// reportLife makes the liveness reports of a life.
func (w *Worker) reportLife(life int) {
	if w.FirstReport != nil {
		time.Sleep(w.FirstReport(life))
	}
	for w.report(life) {
		time.Sleep(Heartbeat)
	}
}

// Crash ends the life with all that runs, without a word.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up = false
	for _, r := range w.running {
		r.Ended, r.How = time.Now(), "crashed"
		w.OnEnd(*r)
	}
	w.running = map[string]*Run{}
	_ = w.server.Close()
	go w.expire(w.life)
}

// expire removes the worker's entry if it is silent for too long.
func (w *Worker) expire(life int) {
	time.Sleep(silencesLost * Heartbeat)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up && w.life == life {
		w.Store.Put("keyed.servers", w.ID, nil)
	}
}

// report writes the worker's entry, and returns false if the life is over.
func (w *Worker) report(life int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || w.life != life+1 {
		return false
	}
	w.sequence++
	entry, err := json.Marshal(map[string]any{
		"service": w.Service, "address": w.address, "zone": w.Zone, "version": "1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born, "labels": []string{w.kind(life), w.Rack}, "machine": "m-" + w.ID,
		"capacity": map[string]int{"cpu": w.CPU, "mem_mb": w.MemMB, "gpu": 0},
	})
	if err == nil {
		w.Store.Put("keyed.servers", w.ID, entry)
	}
	return true
}

func (w *Worker) clock() time.Duration { return time.Since(w.begun) }

// end ends a run. w.mu is held.
func (w *Worker) end(r *Run, how string) {
	r.Ended, r.How = time.Now(), how
	delete(w.running, r.Task)
	w.closed[r.Task] = max(w.closed[r.Task], r.Number)
	w.ends++
	w.finished = append(w.finished, finishedRun{w.ends, *r})
	w.OnEnd(*r)
	close(w.notify)
	w.notify = make(chan struct{})
}

// advance ends the runs that are due.
func (w *Worker) advance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	for _, r := range slices.Collect(maps.Values(w.running)) {
		switch {
		case w.clock() >= w.lease:
			w.end(r, "lapsed")
		case !r.stopping.IsZero() && time.Since(r.stopping) >= stopTime:
			w.end(r, "stopped")
		case time.Since(r.Began) >= r.work:
			w.end(r, "done")
		}
	}
}

// orderBody is any order to a worker.
type orderBody struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	DeadlineMs   int64  `json:"deadline_ms"`
	FencingToken int64  `json:"fencing_token"`
	LastSeen     int    `json:"last_seen"`
	WaitMs       int64  `json:"wait_ms"`
}

// admit decodes an order and checks its identity and token. It answers and returns false
// if the order isn't for this worker or is outdated. w.mu is held.
func (w *Worker) admit(x http.ResponseWriter, r *http.Request, o *orderBody) bool {
	id := r.Header.Get("Expected-Instance")
	switch err := json.NewDecoder(r.Body).Decode(o); {
	case id != "" && id != w.ID:
		x.WriteHeader(http.StatusMisdirectedRequest)
	case err != nil:
		w.refuse(x, http.StatusBadRequest, "body")
	case o.FencingToken < w.token:
		w.refuse(x, http.StatusConflict, "fence")
	default:
		w.token = o.FencingToken
		return true
	}
	return false
}

func (w *Worker) refuse(x http.ResponseWriter, status int, why string) {
	body := map[string]any{"clock_ms": w.clock().Milliseconds()}
	if why != "" {
		body["reason"] = why
	}
	writeJSON(x, status, body)
}

// order returns the handler of a kind of order.
func (w *Worker) order(f func(*orderBody) (int, string)) http.HandlerFunc {
	return func(x http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		var o orderBody
		if !w.up || !w.admit(x, r, &o) {
			return
		}
		status, why := f(&o)
		w.refuse(x, status, why)
	}
}

// renew extends the lease. It never shortens it. w.mu is held.
func (w *Worker) renew(ms int64) {
	w.lease = max(w.lease, min(time.Duration(ms)*time.Millisecond, w.clock()+maxHold))
}

func (w *Worker) start(o *orderBody) (int, string) {
	there := w.running[o.Task]
	switch {
	case time.Duration(o.DeadlineMs)*time.Millisecond <= w.clock():
		return http.StatusConflict, "late"
	case there != nil && there.Number == o.Run:
		return http.StatusOK, ""
	case o.Run <= w.closed[o.Task]:
		w.renew(o.DeadlineMs)
		return http.StatusConflict, "old"
	}
	w.renew(o.DeadlineMs)
	r := &Run{Task: o.Task, Number: o.Run, Worker: w.ID, Born: w.born, Kind: w.kind(w.life - 1), Began: time.Now(), work: w.Work(o.Task)}
	w.running[o.Task] = r
	w.OnStart(*r)
	return http.StatusOK, ""
}

func (w *Worker) stop(o *orderBody) (int, string) {
	w.closed[o.Task] = max(w.closed[o.Task], o.Run)
	if r := w.running[o.Task]; r != nil && r.Number <= o.Run && r.stopping.IsZero() {
		r.stopping = time.Now()
	}
	return http.StatusOK, ""
}

func (w *Worker) hold(x http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var o orderBody
	if !w.up || !w.admit(x, r, &o) {
		return
	}
	if o.DeadlineMs > 0 {
		w.renew(o.DeadlineMs)
	}
	w.finished = slices.DeleteFunc(w.finished, func(e finishedRun) bool {
		if e.number > o.LastSeen {
			return false
		}
		if w.clock() < w.lease {
			w.OnNote(e.run)
		}
		return true
	})
	until := time.After(time.Duration(o.WaitMs) * time.Millisecond)
	born := w.born
	for waiting := o.WaitMs > 0; waiting && len(w.finished) == 0 && w.up && w.born == born; {
		ended := w.notify
		w.mu.Unlock()
		select {
		case <-ended:
		case <-until:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
	}
	if !w.up || w.born != born {
		return
	}
	running := [][]any{}
	for _, t := range w.running {
		percent := int(wholePercent * time.Since(t.Began) / t.work)
		running = append(running, []any{t.Task, t.Number, "", min(percent, wholePercent), 0})
	}
	finished := [][]any{}
	for _, e := range w.finished {
		finished = append(finished, []any{e.number, e.run.Task, e.run.Number, e.run.How, ""})
	}
	writeJSON(x, http.StatusOK, map[string]any{
		"clock_ms": w.clock().Milliseconds(), "born": w.born, "running": running, "finished": finished,
	})
}

// String returns the run as a line of a record.
func (r Run) String() string {
	return fmt.Sprintf("%s run %d on %s (life %d): %s after %d ms", r.Task, r.Number, r.Worker, r.Born, r.How,
		r.Ended.Sub(r.Began).Milliseconds())
}
