package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// callTimeout is how long a caller waits for an answer.
	callTimeout = 3 * time.Second
	// submitTimeout is how long a caller tries to hand a submission in.
	submitTimeout = 15 * time.Second
	// retryDelay is the delay between two tries without another word of the system.
	retryDelay = 500 * time.Millisecond
	host       = "desk.example"
	prefix     = "/sweeps/"
	// advised is the prefix of the queue whose steps need advice.
	advised = "/checks/"
)

// configuration returns the operator's first configuration.
func configuration() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []any{
			route("sweeps", prefix, nil),
			route("checks", advised, map[string]any{
				"decision_ms": adviceDecision.Milliseconds(), "period_ms": advicePeriod.Milliseconds(),
				"validity_ms": adviceValidity.Milliseconds(),
			}),
		},
		"services": []any{map[string]any{"name": service, "max_connections": 64, "rejects_overload": true}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144},
	}
}

// route returns a route of the configuration. The advice may be nil.
func route(name, path string, advice map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "path_prefix": path, "timeout_ms": 3000, "target_latency_ms": 1000, "priority": 0,
		"service": service, "max_attempts": maxAttempts, "stretch": 2.0,
	}
	if advice != nil {
		r["advice"] = advice
	}
	return r
}

// maxAttempts is how often a task may fail.
const maxAttempts = 3

// call sends a request of a caller to the next instance that is ready. It returns status 0
// if there was no answer.
func (d *deployment) call(method, path string, body []byte) (int, []byte, http.Header) {
	var i *instance
	for range d.instances {
		i = d.instances[int(d.next.Add(1))%len(d.instances)]
		if i.cmd != nil && i.running() {
			break
		}
	}
	return d.callAt(i, method, path, body)
}

// callAt sends a request of a caller to an instance.
func (d *deployment) callAt(i *instance, method, path string, body []byte) (int, []byte, http.Header) {
	r, err := http.NewRequest(method, "http://"+i.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Request-Deadline-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	a, err := d.calls.Do(r)
	if err != nil {
		d.journal.note("caller %s %s at %s: %v", method, path, i.name, err)
		return 0, nil, nil
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, nil, nil
	}
	d.journal.note("caller %s %s at %s: %d %s", method, path, i.name, a.StatusCode, b)
	return a.StatusCode, b, a.Header
}

// running reports whether the process runs.
func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// submit hands a submission in, with further tries under the same id where the protocol
// says so. It returns an error if it wasn't accepted.
func (d *deployment) submit(id string, body any) error { return d.submitTo(prefix, id, body) }

// submitTo hands a submission in to the queue with the prefix.
func (d *deployment) submitTo(queue, id string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	status := 0
	for began := time.Now(); time.Since(began) < submitTimeout; {
		var h http.Header
		if status, _, h = d.call(http.MethodPost, queue+id, data); status/100 == 2 {
			return nil
		}
		delay := retryDelay
		if s, err := strconv.Atoi(h.Get("Retry-After")); err == nil {
			delay = time.Duration(s) * time.Second
		}
		time.Sleep(delay)
	}
	return fmt.Errorf("submission %s was not accepted, last status %d", id, status)
}

// state asks for the state of a submission. It is empty if there was no answer with one.
func (d *deployment) state(id string) string { return d.stateOf(prefix, id) }

// stateOf asks for the state of a submission in the queue with the prefix.
func (d *deployment) stateOf(queue, id string) string {
	status, b, _ := d.call(http.MethodGet, queue+id, nil)
	return stateIn(status, b)
}

// stateIn returns the state in an answer, empty if there is none.
func stateIn(status int, b []byte) string {
	var a struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(b, &a) != nil {
		return ""
	}
	return a.State
}

// spec returns the spec of a submission whose steps do the given work.
func spec(steps ...taskSpec) string {
	b, err := json.Marshal(map[string]any{"steps": steps})
	if err != nil {
		panic(fmt.Sprintf("encode spec: %v", err))
	}
	return string(b)
}
