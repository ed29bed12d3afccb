package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	readyTime = 15 * time.Second

	// Each time of the scheduled submission has points, which together take a quarter of the
	// workers, and then summaries, of which copies may run.
	sweepPoints    = 1100
	sweepSummaries = 6
	sweepTimes     = 2
	sweepInterval  = 20 * time.Second
	pointTime      = time.Second
	summaryTime    = 3 * time.Second
	// slowTime and slowFactor are those of the site file.
	slowTime   = 7 * time.Second
	slowFactor = 6.5
	// finishTime is finish_s, and idleLimit is how long a submission may have nothing
	// running while a task's turn has come.
	finishTime = 14 * time.Second
	idleLimit  = 3 * time.Second
	// watchTime is how long the submission is watched after its second time is due.
	watchTime = 25 * time.Second
)

// playOccurrence submits a scheduled submission whose step allows copies, while one worker of
// six is slow in the first of its two times. The second time must begin when it is due.
func playOccurrence(s *system, trouble bool) int {
	const id = "5c0e7a21d94b36f8"
	queues := []queueRule{{"/pufi791/", 2, 4}}
	workOf := func(task string) (work, bool) {
		if strings.Split(task, ".")[2] == "0" {
			return work{takes: pointTime, cpu: 20, memMB: 50}, true
		}
		return work{takes: summaryTime, cpu: 2000, memMB: 500}, true
	}
	if !s.begin(6, queues, workOf) {
		return resultNotRun
	}
	time.Sleep(2 * time.Second)
	first := time.Now().Add(2 * time.Second)
	body, _ := json.Marshal(map[string]any{
		"spec": "sweep", "repeat_count": sweepTimes, "start_at_ms": first.UnixMilli(), "interval_ms": sweepInterval.Milliseconds(),
		"steps": []map[string]any{
			{"count": sweepPoints, "cpu": 20, "mem_mb": 50, "estimated_ms": pointTime.Milliseconds()},
			{
				"count": sweepSummaries, "cpu": 2000, "mem_mb": 500, "estimated_ms": summaryTime.Milliseconds(),
				"depends_on": []int{0}, "speculative": true,
			},
		},
	})
	path := "/pufi791/" + id
	if status := s.submit(path, body, 10); status != http.StatusOK {
		return resultNotRun
	}
	sent := time.Now()
	for len(s.log.startsOf(id+".0.1.")) < sweepSummaries {
		if time.Since(first) > sweepInterval/2 {
			return resultNotRun
		}
		time.Sleep(workerTick)
	}
	if trouble {
		s.workers[2].setSlow(slowFactor)
	}
	time.Sleep(slowTime)
	if trouble {
		s.workers[2].setSlow(1)
	}
	second := first.Add(sweepInterval)
	s.log.linef("%d starts of the first time", len(s.log.startsOf(id+".0.")))
	return s.watchSweep(id, path, second, sent.Add(finishTime))
}

// watchSweep watches the submission for some time after its second time is due. The rule is
// broken if it has nothing running for idleLimit while tasks wait, later than finishTime
// after the last submission.
func (s *system) watchSweep(id, path string, second, from time.Time) int {
	time.Sleep(time.Until(second))
	s.log.linef("the second time is due")
	last, idle := maxTime(second, from), time.Duration(0)
	for until := second.Add(watchTime); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if s.state(s.instances[0], path) == "completed" {
			break
		}
		if s.runs() > 0 {
			last = maxTime(last, time.Now())
		}
		idle = max(idle, time.Since(last))
	}
	state, starts := s.state(s.instances[0], path), len(s.log.startsOf(id+".1."))
	s.log.linef("state %q, %d starts of the second time, at most %.1f s without a run", state, starts, idle.Seconds())
	s.explain(id)
	if idle > idleLimit {
		return resultBroken
	}
	if state != "completed" || starts < sweepPoints+sweepSummaries {
		return resultNotRun
	}
	return resultHeld
}

// runs returns the number of runs on all workers.
func (s *system) runs() int {
	sum := 0
	for _, w := range s.workers {
		n, _ := w.load()
		sum += n
	}
	return sum
}

// explain writes what the processes have logged of a submission.
func (s *system) explain(id string) {
	for _, x := range s.instances {
		for _, line := range s.logLines(x) {
			if strings.Contains(line, id) && !strings.Contains(line, "lastResort") {
				s.log.linef("log of %s: %s", x.name, line)
			}
		}
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// jobID returns the id of the n-th submission of a kind.
func jobID(kind, n int) string { return fmt.Sprintf("%08x%08x", kind, n) }
