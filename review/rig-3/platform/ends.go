package platform

import (
	"encoding/json"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// endsPoints tasks are spread over endsWorkers workers: 600 on each. A worker lists 500
	// ends at a time.
	endsWorkers   = 3
	endsPoints    = 1800
	endsPointTime = 5 * time.Second
	// endsKillAfter is the time from the start of the last point to the kill, and endsDark
	// how long the processes are away.
	endsKillAfter = 3500 * time.Millisecond
	endsDark      = 3 * time.Second
	endsWatch     = 40 * time.Second
)

// killAll kills all processes at once and starts them again after the given time.
func (s *system) killAll(dark time.Duration) error {
	for _, x := range s.instances {
		s.signal(x, syscall.SIGKILL)
	}
	for _, x := range s.instances {
		<-x.exited
	}
	time.Sleep(dark)
	for _, x := range s.instances {
		if err := s.startInstance(x); err != nil {
			return err
		}
	}
	return s.waitReady(readyTime)
}

// playEnds kills all processes shortly before many small tasks end.
func playEnds(s *system, trouble bool) int {
	const id, later = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9"
	queues := []queueRule{{"/pufi791/", 2, 4}}
	workOf := func(task string) (work, bool) {
		if strings.HasPrefix(task, id+".0.0.") {
			return work{takes: endsPointTime, cpu: 20, memMB: 50}, true
		}
		return work{takes: time.Second, cpu: 500, memMB: 500}, true
	}
	if !s.begin(endsWorkers, queues, workOf) {
		return resultNotRun
	}
	time.Sleep(2 * time.Second)
	body, _ := json.Marshal(map[string]any{"spec": "sweep", "steps": []map[string]any{
		{"count": endsPoints, "cpu": 20, "mem_mb": 50, "estimated_ms": endsPointTime.Milliseconds()},
		{"count": 3, "cpu": 500, "mem_mb": 500, "estimated_ms": 1000, "depends_on": []int{0}},
	}})
	if s.submit("/pufi791/"+id, body, 5) != http.StatusOK {
		return resultNotRun
	}
	for begun := time.Now(); len(s.log.startsOf(id+".0.0.")) < endsPoints; time.Sleep(workerTick) {
		if time.Since(begun) > endsPointTime/2 {
			s.log.linef("not run: the points haven't all started")
			return resultNotRun
		}
	}
	time.Sleep(endsKillAfter)
	if trouble {
		if err := s.killAll(endsDark); err != nil {
			s.log.linef("not run: %v", err)
			return resultNotRun
		}
	}
	return s.watchEnds(id, later)
}

// watchEnds submits something small, and watches for how long nothing runs although tasks of
// both submissions have had their turn, from finishTime on.
func (s *system) watchEnds(id, later string) int {
	small, _ := json.Marshal(map[string]any{"spec": "check", "steps": []map[string]any{
		{"count": 1, "cpu": 500, "mem_mb": 500, "estimated_ms": 1000},
	}})
	if s.submit("/pufi791/"+later, small, 8) != http.StatusOK {
		return resultNotRun
	}
	time.Sleep(finishTime)
	last, idle := time.Now(), time.Duration(0)
	var first, second string
	for until := last.Add(endsWatch); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		if s.runs() > 0 {
			last = time.Now()
		}
		first, second = s.state(s.instances[0], "/pufi791/"+id), s.state(s.instances[1], "/pufi791/"+later)
		if first == "completed" && second == "completed" {
			break
		}
		idle = max(idle, time.Since(last))
	}
	s.log.linef("%d of %d points have ended as done; states %q and %q; %d starts of the second step, %d of the later submission; no run for %.1f s",
		s.log.endsOf(id+".0.0.", "done"), endsPoints, first, second, len(s.log.startsOf(id+".0.1.")), len(s.log.startsOf(later)), idle.Seconds())
	if idle > idleLimit {
		return resultBroken
	}
	if first != "completed" || second != "completed" {
		return resultNotRun
	}
	return resultHeld
}
