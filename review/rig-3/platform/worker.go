package platform

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// work describes how a run of a task behaves: how long it takes on a sound worker, what it
// takes of the worker, and whether it lasts until it is stopped.
type work struct {
	takes      time.Duration
	cpu, memMB int
	lasts      bool
	fails      bool
}

// run is a run on a worker.
type run struct {
	task  string
	run   int
	work  work
	begun time.Time
	// done is the work that is done, as of at.
	done time.Duration
	at   time.Time
	// stopAt is set once the run is being stopped.
	stopAt time.Time
}

type finishedRun struct {
	number int
	task   string
	run    int
	how    string
}

// worker is a stand-in of one worker. It guards its capacity.
type worker struct {
	id, rack   string
	cpu, memMB int
	workOf     func(task string) (work, bool)
	log        *recorder
	store      *store

	address  string
	server   *http.Server
	mu       sync.Mutex
	up       bool
	born     time.Time
	token    int64
	lease    time.Time
	running  map[string]*run
	finished []finishedRun
	ends     int
	highest  map[string]int // highest run that was stopped or ended, by task
	changed  chan struct{}
	sequence int
}

const (
	workerTick  = 10 * time.Millisecond
	stopTime    = 300 * time.Millisecond
	maxLease    = 6000 * time.Millisecond
	beatTime    = 1100 * time.Millisecond
	serviceName = "huvo11a"
	zoneName    = "quezon-a"
)

// start begins the life of the worker.
func (k *worker) start() error {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return fmt.Errorf("worker %s: %w", k.id, err)
	}
	k.mu.Lock()
	k.address = l.Addr().String()
	k.up, k.born, k.token, k.lease = true, time.Now(), 0, time.Time{}
	k.running, k.finished, k.ends = map[string]*run{}, nil, 0
	k.highest, k.changed, k.sequence = map[string]int{}, make(chan struct{}), 0
	k.server = &http.Server{Handler: k}
	s := k.server
	k.mu.Unlock()
	k.log.linef("worker %s born=%d at %s", k.id, k.born.UnixMilli(), k.address)
	go func() { _ = s.Serve(l) }()
	go k.live()
	return nil
}

// live lets the runs work and writes the entry of the worker until its life ends.
func (k *worker) live() {
	beat := time.Time{}
	for {
		now := time.Now()
		k.mu.Lock()
		if !k.up {
			k.mu.Unlock()
			return
		}
		k.advance(now)
		entry := k.entry(now)
		k.mu.Unlock()
		if now.Sub(beat) >= beatTime {
			beat = now
			k.store.put("keyed.servers", k.id, entry)
		}
		time.Sleep(workerTick)
	}
}

// clock returns the time of this life. k.mu must be held.
func (k *worker) clock(now time.Time) int64 { return now.Sub(k.born).Milliseconds() }

func (k *worker) entry(now time.Time) []byte {
	k.sequence++
	data, _ := json.Marshal(map[string]any{
		"service": serviceName, "address": k.address, "zone": zoneName, "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": k.cpu, "mem_mb": k.memMB, "gpu": 0},
		"labels": []string{"a", k.rack}, "clock_ms": k.clock(now), "sequence": k.sequence, "born": k.born.UnixMilli(),
	})
	return data
}

// advance lets the runs work until now. k.mu must be held.
func (k *worker) advance(now time.Time) {
	lapsed := !k.lease.IsZero() && now.After(k.lease)
	for _, r := range k.running {
		r.done += now.Sub(r.at)
		r.at = now
		switch {
		case lapsed:
			k.end(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			k.end(r, "stopped")
		case r.stopAt.IsZero() && !r.work.lasts && r.done >= r.work.takes:
			how := "done"
			if r.work.fails {
				how = "failed"
			}
			k.end(r, how)
		}
	}
}

func (k *worker) end(r *run, how string) {
	delete(k.running, r.task)
	k.ends++
	k.finished = append(k.finished, finishedRun{k.ends, r.task, r.run, how})
	k.highest[r.task] = max(k.highest[r.task], r.run)
	k.log.linef("worker %s end %s run %d %s", k.id, r.task, r.run, how)
	close(k.changed)
	k.changed = make(chan struct{})
}

// order is the body of any call of a worker.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	LastSeen int    `json:"last_seen"`
	WaitMs   int    `json:"wait_ms"`
	Percent  int    `json:"percent"`
}

// ServeHTTP implements http.Handler.
func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("Expected-Instance"); id != "" && id != k.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, body := k.handle(r, o)
	if body == nil {
		return
	}
	writeJSON(w, status, body)
}

// handle carries out a call and returns the answer, no body if the worker has gone.
func (k *worker) handle(r *http.Request, o order) (int, map[string]any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.up {
		return 0, nil
	}
	now := time.Now()
	answer := map[string]any{"clock_ms": k.clock(now), "born": k.born.UnixMilli()}
	if o.Token < k.token {
		answer["reason"] = "fence"
		return http.StatusConflict, answer
	}
	k.token = o.Token
	status, reason := http.StatusOK, ""
	switch r.URL.Path {
	case "/v1/run-start":
		reason = k.startRun(now, o)
	case "/v1/run-stop":
		k.stopRun(now, o)
	case "/v1/hold":
		k.extend(now, o.Deadline)
		k.hold(r, o, answer)
	case "/v1/pace":
	default:
		status = http.StatusBadRequest
	}
	if reason != "" {
		status, answer["reason"] = http.StatusConflict, reason
	}
	return status, answer
}

func (k *worker) extend(now time.Time, deadline int64) {
	if deadline <= 0 {
		return
	}
	until := k.born.Add(time.Duration(deadline) * time.Millisecond)
	if most := now.Add(maxLease); until.After(most) {
		until = most
	}
	if until.After(k.lease) {
		k.lease = until
	}
}

// startRun starts a run, or returns why not.
func (k *worker) startRun(now time.Time, o order) string {
	x, known := k.workOf(o.Task)
	old := k.running[o.Task]
	switch {
	case o.Deadline <= k.clock(now):
		return "late"
	case old != nil && old.run == o.Run:
		return ""
	case !known:
		k.log.linef("worker %s asked for unknown task %s", k.id, o.Task)
		return "room"
	case old != nil || o.Run <= k.highest[o.Task]:
		k.extend(now, o.Deadline)
		return "old"
	}
	k.extend(now, o.Deadline)
	cpu, mem := x.cpu, x.memMB
	for _, r := range k.running {
		cpu, mem = cpu+r.work.cpu, mem+r.work.memMB
	}
	if cpu > k.cpu || mem > k.memMB {
		return "room"
	}
	k.running[o.Task] = &run{task: o.Task, run: o.Run, work: x, begun: now, at: now}
	k.log.start(now, k.id, o.Task, o.Run)
	return ""
}

func (k *worker) stopRun(now time.Time, o order) {
	r := k.running[o.Task]
	switch {
	case r != nil && r.run == o.Run && r.stopAt.IsZero():
		r.stopAt = now.Add(stopTime)
	case r == nil || r.run < o.Run:
		k.highest[o.Task] = max(k.highest[o.Task], o.Run)
	}
}

// hold acknowledges ends, waits for one if asked to, and lists what runs and what has ended.
// k.mu is held at the call and at the return.
func (k *worker) hold(r *http.Request, o order, answer map[string]any) {
	for len(k.finished) > 0 && k.finished[0].number <= o.LastSeen {
		k.finished = k.finished[1:]
	}
	if wait := time.Duration(min(o.WaitMs, 2000)) * time.Millisecond; wait > 0 && len(k.finished) == 0 {
		changed := k.changed
		k.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(wait):
		case <-r.Context().Done():
		}
		k.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, x := range k.running {
		percent := 100
		if !x.work.lasts {
			percent = min(99, int(100*x.done/max(1, x.work.takes)))
		}
		running = append(running, []any{x.task, x.run, "", percent, x.work.cpu})
	}
	for _, x := range k.finished[:min(len(k.finished), 500)] {
		finished = append(finished, []any{x.number, x.task, x.run, x.how, ""})
	}
	answer["clock_ms"], answer["running"], answer["finished"] = k.clock(time.Now()), running, finished
}

// load returns the number of runs and the processors in use.
func (k *worker) load() (runs, cpu int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range k.running {
		cpu += r.work.cpu
	}
	return len(k.running), cpu
}
