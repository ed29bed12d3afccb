package platform

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// flapWorkers is the number of workers, of which one goes down and up: a share of 0.1.
	flapWorkers = 10
	// flapGap is the time for which the worker is up or down, and flapTime how long it goes
	// down and up by turns, as in the site file. It does so flapTimes times.
	flapGap   = 1400 * time.Millisecond
	flapTime  = 6500 * time.Millisecond
	flapTimes = 9
	flapPause = 2 * time.Second
	// checkInterval is the time between two submissions. Three quarters of the workers are
	// in use.
	checkInterval = 75 * time.Millisecond
	checkTime     = 5 * time.Second
)

// playFlap submits small submissions, none of whose tasks fails, while one worker of ten
// goes down and up by turns. None may be shown as failed.
func playFlap(s *system, trouble bool) int {
	queues := []queueRule{{"/pufi791/", 0, 4}}
	workOf := func(string) (work, bool) { return work{takes: checkTime, cpu: 2000, memMB: 2000}, true }
	if !s.begin(flapWorkers, queues, workOf) {
		return resultNotRun
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var paths []string
	var clients sync.WaitGroup
	clients.Go(func() { paths = s.submitChecks(stop) })
	for range flapTimes {
		time.Sleep(flapPause)
		s.flap(s.workers[4], trouble)
	}
	close(stop)
	clients.Wait()
	time.Sleep(finishTime)
	return s.judgeChecks(paths)
}

// flap lets a worker go down and up by turns for flapTime.
func (s *system) flap(w *worker, trouble bool) {
	until := time.Now().Add(flapTime)
	for up := true; time.Now().Before(until); up = !up {
		switch {
		case !trouble:
		case up:
			w.crash()
		default:
			_ = w.start()
		}
		time.Sleep(min(flapGap, time.Until(until)))
	}
	w.mu.Lock()
	up := w.up
	w.mu.Unlock()
	if !up {
		_ = w.start()
	}
}

// submitChecks submits one task after the other until told to stop, and returns the paths of
// the submissions that were accepted.
func (s *system) submitChecks(stop <-chan struct{}) []string {
	body, _ := json.Marshal(map[string]any{"spec": "check", "steps": []map[string]any{{
		"count": 1, "cpu": 2000, "mem_mb": 2000, "estimated_ms": checkTime.Milliseconds(),
	}}})
	var out []string
	for k := 0; ; k++ {
		select {
		case <-stop:
			return out
		case <-time.After(checkInterval):
		}
		path := "/pufi791/" + jobID(1, k)
		if s.submit(path, body, 3) == http.StatusOK {
			out = append(out, path)
		}
	}
}

// judgeChecks asks for the states of all submissions. The rule is broken if one is shown as
// failed of which no run has ended so.
func (s *system) judgeChecks(paths []string) int {
	result, states := resultHeld, map[string]int{}
	for _, path := range paths {
		id := strings.TrimPrefix(path, "/pufi791/")
		state := s.state(s.instances[0], path)
		states[state]++
		if state != "failed" || s.log.endsOf(id, "failed") > 0 {
			continue
		}
		result = resultBroken
		s.log.linef("%s is shown as failed after %d starts, none of which has ended as failed", id, len(s.log.startsOf(id)))
		s.explain(id)
	}
	s.log.linef("%d submissions accepted, states %v", len(paths), states)
	return result
}
