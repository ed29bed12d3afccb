package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/parsleybarrow/parsleybarrow/review/platform"
)

const (
	crashes = 18
	// crashPeriod is the time between two crashes, and rebornDown how long the worker is down.
	crashPeriod = 3600 * time.Millisecond
	rebornDown  = 300 * time.Millisecond
	// reportStep is the difference between two lives in the time to the first report: it takes
	// all values below the time between two reports.
	reportStep = 300 * time.Millisecond
	// A submission with one short task is handed in every lookupPeriod.
	lookupPeriod = 900 * time.Millisecond
	lookupTask   = 40 * time.Millisecond
	longerTask   = 300 * time.Millisecond
	settleTime   = 4 * time.Second
	kindLabel    = "a"
)

var threeMachines = []place{
	{"quezon-a", "luzon", 2 * time.Millisecond},
	{"pasig-b", "luzon", 2 * time.Millisecond},
	{"cebu-a", "visayas", 40 * time.Millisecond},
}

func variedReport(life int) time.Duration {
	return time.Duration(life) * reportStep % platform.Heartbeat
}

// rebornCase has one worker crash and start again under its id, while it is idle.
var rebornCase = playbook{
	machines: threeMachines, workers: 8, keepS: 20, firstReport: variedReport,
	play: func(c context.Context, f *fleet, trouble bool) ([]string, error) {
		f.setWork(func(string) time.Duration { return lookupTask })
		f.crashIdleWorker(c, "", trouble)
		return f.doubled(), nil
	},
}

// kindsCase has one worker crash and start again under its id as one of another kind, while it
// is idle, and back.
var kindsCase = playbook{
	machines: threeMachines, workers: 8, keepS: 20, firstReport: variedReport,
	kind: func(life int) string { return []string{kindLabel, "b"}[life%2] },
	play: func(c context.Context, f *fleet, trouble bool) ([]string, error) {
		f.setWork(func(string) time.Duration { return longerTask })
		f.crashIdleWorker(c, kindLabel, trouble)
		return f.unlabelled(kindLabel), nil
	},
}

// crashIdleWorker has the first worker crash and start again several times, while
// submissions with one task are handed in.
func (f *fleet) crashIdleWorker(c context.Context, label string, trouble bool) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range crashes {
			time.Sleep(crashPeriod - rebornDown)
			if trouble {
				f.crash(f.workers[0], rebornDown)
			}
		}
	}()
	for n := 0; ; n++ {
		select {
		case <-done:
			time.Sleep(settleTime)
			return
		case <-time.After(lookupPeriod):
			f.sendWithRetries(c, n, http.MethodPost, newID(), submission(1, label))
		}
	}
}

// maxRetries bounds how often a client sends a request again.
const maxRetries = 4

// sendWithRetries sends a request to one machine, and again to others after no answer or a
// refusal, as clients do.
func (f *fleet) sendWithRetries(c context.Context, n int, method, id, body string) answer {
	var a answer
	for k := range 1 + maxRetries {
		x := newClient(f, f.machines[(n+k)%len(f.machines)])
		a = x.send(c, method, id, body)
		x.close()
		if a.err == nil && a.status < http.StatusTooManyRequests {
			return a
		}
		time.Sleep(time.Second)
	}
	return a
}

// crash has a worker crash and start again under its id after the given time.
func (f *fleet) crash(w *platform.Worker, down time.Duration) {
	f.record.logf("worker %s crashes", w.ID)
	w.Crash()
	time.Sleep(down)
	if err := w.Up(); err != nil {
		f.record.logf("worker %s: %v", w.ID, err)
		return
	}
	f.record.logf("worker %s starts again", w.ID)
}

// doubled applies the rule TWICE to the starts: a start after a run has ended as done, if that
// end was taken note of then or later.
func (f *fleet) doubled() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for task, notes := range f.notes {
		for _, done := range notes {
			for _, s := range f.starts[task] {
				if s.Number > done.Number && s.Began.After(done.Ended) {
					out = append(out, fmt.Sprintf("TWICE: %s run %d begins on %s %d ms after run %d has ended as done on %s, and that was taken note of",
						task, s.Number, s.Worker, s.Began.Sub(done.Ended).Milliseconds(), done.Number, done.Worker))
				}
			}
		}
	}
	return out
}

// unlabelled applies the rule ROUTE to the starts: a start on a worker without the label.
func (f *fleet) unlabelled(label string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for task, starts := range f.starts {
		for _, s := range starts {
			if s.Kind != label {
				out = append(out, fmt.Sprintf("ROUTE: %s run %d, which requires %q, begins on %s of kind %q", task, s.Number, label, s.Worker, s.Kind))
			}
		}
	}
	return out
}
