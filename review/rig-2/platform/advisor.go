package platform

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	adviceDecision = 300 * time.Millisecond
	advicePeriod   = 5 * time.Millisecond
	adviceValidity = 3 * time.Second
	// maxWaitingCalls is the number of waiting calls from which on more are refused.
	maxWaitingCalls = 32
)

// advisor is the advice service. It handles one call at a time, since all come from one
// machine: the planner's. Every worker may run every step.
type advisor struct {
	journal *journal
	turn    sync.Mutex
	waiting atomic.Int64
}

// startAdvisor starts the advice service and returns its address.
func startAdvisor(j *journal) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	a := &advisor{journal: j}
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/advise", a.advise)
	go func() { _ = http.Serve(l, m) }()
	return l.Addr().String(), nil
}

func (a *advisor) advise(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if a.waiting.Load() >= maxWaitingCalls {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.waiting.Add(1)
	a.turn.Lock()
	a.waiting.Add(-1)
	defer a.turn.Unlock()
	time.Sleep(adviceDecision + time.Duration(len(q.Workers))*advicePeriod)
	now := time.Now().UnixMilli()
	rows := [][2]string{}
	for _, id := range q.Workers {
		rows = append(rows, [2]string{id, fmt.Sprintf("%s/%s/%d", q.Step, id, now)})
	}
	a.journal.note("advisor answers %s for %d workers", q.Step, len(q.Workers))
	answer(w, http.StatusOK, map[string]any{"successes": rows, "validity_ms": adviceValidity.Milliseconds()})
}

// validTicket reports whether a ticket is for the task and the worker and hasn't expired.
// It is valid from the answer of the advice service on.
func validTicket(ticket, task, id string) bool {
	f := strings.Split(ticket, "/")
	if len(f) != 3 || !strings.HasPrefix(task, f[0]+".") || f[1] != id {
		return false
	}
	ms, err := strconv.ParseInt(f[2], 10, 64)
	return err == nil && time.Since(time.UnixMilli(ms)) < adviceValidity
}
