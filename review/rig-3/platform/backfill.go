package platform

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

const (
	// backfillJobs is the number of submissions, and backfillTimes how often the steps of
	// each run: once for each hour since some weeks ago. backfillFewTimes replaces it without
	// trouble.
	backfillJobs     = 80
	backfillTimes    = 2000
	backfillFewTimes = 20
	backfillClients  = 5
	backfillTaskTime = time.Second
	backfillCPU      = 4000
	// backfillSubmit bounds the time in which the clients submit, with backfillTries each.
	backfillSubmit = 32 * time.Second
	backfillTries  = 5
	// backfillWatch is how long the workers are watched, from finishTime after the last
	// submission on.
	backfillWatch = 40 * time.Second
)

// playBackfill has clients submit schedules whose times are all due. The system must let
// the workers work on them.
func playBackfill(s *system, trouble bool) int {
	queues := []queueRule{{"/pufi791/", 2, 4}}
	workOf := func(string) (work, bool) { return work{takes: backfillTaskTime, cpu: backfillCPU, memMB: 100}, true }
	if !s.begin(6, queues, workOf) {
		return resultNotRun
	}
	time.Sleep(2 * time.Second)
	times := backfillTimes
	if !trouble {
		times = backfillFewTimes
	}
	accepted := s.submitBackfill(times)
	s.log.linef("%d of %d submissions accepted, %d starts so far", len(accepted), backfillJobs, len(s.log.startsOf("")))
	if len(accepted) == 0 {
		return resultNotRun
	}
	time.Sleep(finishTime)
	return s.watchBackfill(accepted, times)
}

// submitBackfill submits the schedules and returns the paths of those that were accepted.
func (s *system) submitBackfill(times int) []string {
	body, _ := json.Marshal(map[string]any{
		"spec": "ledger", "repeat_count": times, "interval_ms": time.Hour.Milliseconds(),
		"start_at_ms": time.Now().Add(-time.Duration(times) * time.Hour).UnixMilli(),
		"steps":       []map[string]any{{"count": 1, "cpu": backfillCPU, "mem_mb": 100, "estimated_ms": backfillTaskTime.Milliseconds()}},
	})
	var mu sync.Mutex
	var accepted []string
	var clients sync.WaitGroup
	until := time.Now().Add(backfillSubmit)
	for c := range backfillClients {
		clients.Go(func() {
			for k := c; k < backfillJobs && time.Now().Before(until); k += backfillClients {
				path := "/pufi791/" + jobID(1, k)
				if s.submit(path, body, backfillTries) == http.StatusOK {
					mu.Lock()
					accepted = append(accepted, path)
					mu.Unlock()
				}
			}
		})
	}
	clients.Wait()
	return accepted
}

// watchBackfill measures for how long no worker runs anything although tasks wait. The rule
// is broken after idleLimit.
func (s *system) watchBackfill(accepted []string, times int) int {
	last, idle, busy := time.Now(), time.Duration(0), time.Duration(0)
	for until := last.Add(backfillWatch); time.Now().Before(until); time.Sleep(workerTick) {
		if len(s.log.startsOf("")) >= len(accepted)*times {
			break
		}
		if s.runs() > 0 {
			busy += workerTick
			last = time.Now()
		}
		idle = max(idle, time.Since(last))
	}
	starts := len(s.log.startsOf(""))
	s.log.linef("%d starts of %d tasks; no run on any worker for %.1f s on end; runs for about %.1f s in all",
		starts, len(accepted)*times, idle.Seconds(), busy.Seconds())
	for k := range 3 {
		s.log.linef("client GET %s: %s", accepted[k], s.state(s.instances[k], accepted[k]))
	}
	if idle > idleLimit {
		return resultBroken
	}
	return resultHeld
}
