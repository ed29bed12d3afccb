package platform

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// tick is the interval at which a worker's runs advance.
	tick = 10 * time.Millisecond
	// startupTime is how long a lasting task takes until it is at work.
	startupTime = 300 * time.Millisecond
	// stopTime is how long a worker takes to stop a run.
	stopTime = 100 * time.Millisecond
	// maxHold is the longest lease, checkpointInterval the work between two checkpoints.
	maxHold            = 6 * time.Second
	checkpointInterval = 500 * time.Millisecond
)

// taskSpec says what a task of a step does. The callers write it into the spec of the
// submission, where the workers read it.
type taskSpec struct {
	Ms    int64 `json:"ms"`
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem"`
	Lasts bool  `json:"lasts"`
	// Advised tasks need a ticket.
	Advised bool `json:"advised"`
	// Fills is set for tasks whose processors don't count against the capacity.
	Fills bool `json:"fills"`
	// Tail is the tail latency of a task that serves, in milliseconds.
	Tail int64 `json:"tail"`
}

// counted returns the processors that a task takes from the capacity.
func (s taskSpec) counted() int64 {
	if s.Fills {
		return 0
	}
	return s.CPU
}

// workerRun is a run on a worker.
type workerRun struct {
	task string
	run  int64
	spec taskSpec
	// pace is the share of the time at which the run works, in percent.
	pace int64
	// worked is the work done, saved the newest checkpoint.
	worked     time.Duration
	saved      string
	stoppingAt time.Time
}

func (r *workerRun) percent() int64 {
	switch {
	case r.spec.Lasts && r.worked >= startupTime:
		return 100
	case r.spec.Lasts:
		return 0
	}
	return min(99, r.worked.Milliseconds()*100/max(1, r.spec.Ms))
}

// runEnd is an end of a run that isn't acknowledged yet.
type runEnd struct {
	number    int64
	task      string
	run       int64
	how, save string
}

// worker is one life of a worker.
type worker struct {
	id, service, zone, rack, address string
	cpu, memMB                       int64
	began                            time.Time

	mu      sync.Mutex
	token   int64
	until   time.Duration // end of the lease by the worker's clock
	runs    map[string]*workerRun
	highest map[string]int64 // by task, of the runs that were stopped or have ended here
	ends    []runEnd
	lastEnd int64
	ended   chan struct{} // closed at the next end
	still   bool          // tasks make no progress
}

// order is the body of any call of a worker.
type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int64  `json:"last_seen"`
	WaitMs     int64  `json:"wait_ms"`
	Percent    int64  `json:"percent"`
	Ticket     string `json:"ticket"`
}

func (w *worker) clock() time.Duration { return time.Since(w.began) }

// reply returns a body with the fields that every answer has.
func (w *worker) reply(more map[string]any) map[string]any {
	b := map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.began.UnixMilli()}
	for k, v := range more {
		b[k] = v
	}
	return b
}

// log prints an event for the observer.
func (w *worker) log(event, task string, run int64, how string) {
	fmt.Printf("%d %s %s %s %d %s\n", time.Now().UnixMilli(), w.id, event, task, run, how)
}

// call decodes an order, checks whom it is for and its token, and carries it out.
func (w *worker) call(f func(http.ResponseWriter, *http.Request, order)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			answer(rw, http.StatusBadRequest, w.reply(nil))
			return
		}
		if id := r.Header.Get("Expected-Instance"); id != "" && id != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if o.Token < w.token {
			answer(rw, http.StatusConflict, w.reply(map[string]any{"reason": "fence"}))
			return
		}
		w.token = o.Token
		f(rw, r, o)
	}
}

// extend prolongs the lease. It never shortens it.
func (w *worker) extend(deadlineMs int64) {
	w.until = max(w.until, min(time.Duration(deadlineMs)*time.Millisecond, w.clock()+maxHold))
}

func runKey(task string, run int64) string { return task + "/" + strconv.FormatInt(run, 10) }

// specOf returns what a task does, false if the spec doesn't say so.
func specOf(spec, task string) (taskSpec, bool) {
	var s struct {
		Steps []taskSpec `json:"steps"`
	}
	parts := strings.Split(task, ".")
	if err := json.Unmarshal([]byte(spec), &s); err != nil || len(parts) != 4 {
		return taskSpec{}, false
	}
	n, err := strconv.Atoi(parts[2])
	if err != nil || n < 0 || n >= len(s.Steps) {
		return taskSpec{}, false
	}
	return s.Steps[n], true
}

// hasRoom reports whether a task fits beside the others.
func (w *worker) hasRoom(s taskSpec) bool {
	cpu, mem := s.counted(), s.MemMB
	for _, r := range w.runs {
		cpu, mem = cpu+r.spec.counted(), mem+r.spec.MemMB
	}
	return cpu <= w.cpu && mem <= w.memMB
}

func (w *worker) start(rw http.ResponseWriter, _ *http.Request, o order) {
	refuse := func(reason string) { answer(rw, http.StatusConflict, w.reply(map[string]any{"reason": reason})) }
	s, known := specOf(o.Spec, o.Task)
	k := runKey(o.Task, o.Run)
	switch {
	case !known:
		answer(rw, http.StatusBadRequest, w.reply(nil))
		return
	case w.runs[k] != nil:
		w.extend(o.DeadlineMs)
	case o.DeadlineMs <= w.clock().Milliseconds():
		refuse("late")
		return
	case w.highest[o.Task] >= o.Run:
		w.extend(o.DeadlineMs)
		refuse("old")
		return
	case s.Advised && !validTicket(o.Ticket, o.Task, w.id):
		w.extend(o.DeadlineMs)
		refuse("ticket")
		return
	case !w.hasRoom(s):
		w.extend(o.DeadlineMs)
		refuse("room")
		return
	default:
		w.extend(o.DeadlineMs)
		r := &workerRun{task: o.Task, run: o.Run, spec: s, saved: o.Checkpoint, pace: 100}
		if ms, err := strconv.ParseInt(o.Checkpoint, 16, 64); err == nil {
			r.worked = time.Duration(ms) * time.Millisecond
		}
		w.runs[k] = r
		w.log("start", o.Task, o.Run, "-")
	}
	answer(rw, http.StatusOK, w.reply(nil))
}

func (w *worker) stop(rw http.ResponseWriter, _ *http.Request, o order) {
	if r := w.runs[runKey(o.Task, o.Run)]; r == nil {
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	} else if r.stoppingAt.IsZero() {
		r.stoppingAt = time.Now().Add(stopTime)
	}
	answer(rw, http.StatusOK, w.reply(nil))
}

func (w *worker) pace(rw http.ResponseWriter, _ *http.Request, o order) {
	if r := w.runs[runKey(o.Task, o.Run)]; r != nil {
		r.pace = o.Percent
	}
	answer(rw, http.StatusOK, w.reply(nil))
}

// hold renews the lease and lists the runs and the ends. It waits for an end if that is
// asked for. The lock is released meanwhile.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	w.extend(o.DeadlineMs)
	rest := w.ends[:0]
	for _, e := range w.ends {
		if e.number > o.LastSeen {
			rest = append(rest, e)
		}
	}
	w.ends = rest
	if o.WaitMs > 0 && len(w.ends) == 0 {
		c := w.ended
		w.mu.Unlock()
		select {
		case <-c:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
	}
	running, finished := []any{}, []any{}
	for _, x := range w.runs {
		figure := x.spec.CPU
		if x.spec.Tail > 0 {
			figure = x.spec.Tail
		}
		running = append(running, []any{x.task, x.run, x.saved, x.percent(), figure})
	}
	for k, e := range w.ends {
		if k == pageItems {
			break
		}
		finished = append(finished, []any{e.number, e.task, e.run, e.how, e.save})
	}
	answer(rw, http.StatusOK, w.reply(map[string]any{"running": running, "finished": finished}))
}

// end ends a run. w.mu must be held.
func (w *worker) end(r *workerRun, how string) {
	delete(w.runs, runKey(r.task, r.run))
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.lastEnd++
	w.ends = append(w.ends, runEnd{w.lastEnd, r.task, r.run, how, r.saved})
	w.log("end", r.task, r.run, how)
	close(w.ended)
	w.ended = make(chan struct{})
}

// advance lets the runs work until the process ends.
func (w *worker) advance() {
	last := time.Now()
	for {
		time.Sleep(tick)
		now := time.Now()
		w.mu.Lock()
		for _, r := range w.runs {
			if !w.still {
				r.worked += now.Sub(last) * time.Duration(r.pace) / 100
			}
			if n := r.worked / checkpointInterval; n > 0 && !r.spec.Lasts {
				r.saved = fmt.Sprintf("%016x", (n * checkpointInterval).Milliseconds())
			}
			switch {
			case w.clock() >= w.until:
				w.end(r, "lapsed")
			case !r.stoppingAt.IsZero() && !now.Before(r.stoppingAt):
				w.end(r, "stopped")
			case !r.spec.Lasts && r.worked.Milliseconds() >= r.spec.Ms:
				w.end(r, "done")
			}
		}
		w.mu.Unlock()
		last = now
	}
}

// report writes the entry of the worker to the store at each heartbeat.
func (w *worker) report(store string, every time.Duration) {
	entry, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1, "born": w.began.UnixMilli(), "labels": []string{"a", w.rack},
		"capacity": map[string]any{"cpu": w.cpu, "mem_mb": w.memMB, "gpu": 0},
	})
	if err != nil {
		panic(fmt.Sprintf("encode entry: %v", err))
	}
	for {
		r, err := http.Post("http://"+store+"/rig/register?id="+w.id, "application/json", bytes.NewReader(entry))
		if err == nil {
			_ = r.Body.Close()
		}
		time.Sleep(every)
	}
}

// runWorker runs a worker until its process is killed.
func runWorker(args []string) error {
	w := &worker{
		began: time.Now(), runs: map[string]*workerRun{}, highest: map[string]int64{}, ended: make(chan struct{}),
	}
	f := flag.NewFlagSet("worker", flag.ContinueOnError)
	f.StringVar(&w.id, "id", "", "")
	f.StringVar(&w.service, "service", "", "")
	f.StringVar(&w.zone, "zone", "", "")
	f.StringVar(&w.rack, "rack", "", "")
	f.StringVar(&w.address, "address", "", "")
	f.Int64Var(&w.cpu, "cpu", 16000, "")
	f.Int64Var(&w.memMB, "mem", 64000, "")
	store := f.String("store", "", "")
	heartbeat := f.Duration("heartbeat", time.Second, "")
	if err := f.Parse(args); err != nil {
		return err
	}
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/run-start", w.call(w.start))
	m.HandleFunc("POST /v1/run-stop", w.call(w.stop))
	m.HandleFunc("POST /v1/pace", w.call(w.pace))
	m.HandleFunc("POST /v1/hold", w.call(w.hold))
	m.HandleFunc("POST /rig/still", func(_ http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.still = r.URL.Query().Get("on") == "1"
	})
	go w.advance()
	go w.report(*store, *heartbeat)
	fmt.Fprintln(os.Stderr, "worker", w.id, "listens on", w.address)
	return http.Serve(l, m)
}
