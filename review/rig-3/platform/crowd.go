package platform

import (
	"encoding/json"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// crowdJobs is the number of large submissions, and crowdSteps that of the steps of each.
	crowdJobs    = 900
	crowdSteps   = 200
	crowdClients = 8
	// restartTime is the delay after which the platform starts a process again.
	restartTime = time.Second
	// crowdTime bounds the time in which the clients submit.
	crowdTime = 30 * time.Second
	// crowdWatch is the time from the last submission, finishTime and some more, after which
	// crowdAsked of those that were accepted are asked for, each up to askTries times.
	crowdWatch = finishTime + 6*time.Second
	crowdAsked = 6
	askTries   = 3
)

// memoryGuard does what the platform does to a process over its memory: it kills the process
// and starts it again after a short delay.
type memoryGuard struct {
	system *system
	mu     sync.Mutex
	kills  map[string]int
	most   int
	ended  bool
}

func (g *memoryGuard) run() {
	for {
		for _, x := range g.system.instances {
			if !g.check(x) {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// check kills a process over its memory. It returns false at the end of the case.
func (g *memoryGuard) check(x *instance) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		return false
	}
	rss := x.rssMB()
	g.most = max(g.most, rss)
	if rss <= g.system.memoryMB {
		return true
	}
	g.kills[x.name]++
	g.system.log.linef("process %s uses %d MB of %d, kill %d", x.name, rss, g.system.memoryMB, g.kills[x.name])
	g.system.signal(x, syscall.SIGKILL)
	<-x.exited
	time.AfterFunc(restartTime, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if !g.ended {
			_ = g.system.startInstance(x)
		}
	})
	return true
}

// end stops the guard and returns the number of kills and the most memory of a process.
func (g *memoryGuard) end() (kills, most int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	for _, n := range g.kills {
		kills += n
	}
	return kills, g.most
}

// playCrowd has clients submit many large bodies of legal size, each a submission of 200
// steps of which each depends on all earlier ones. Without trouble the steps depend on the
// one before only.
func playCrowd(s *system, trouble bool) int {
	queues := []queueRule{{"/pufi791/", 2, 4}}
	workOf := func(string) (work, bool) { return work{takes: 300 * time.Millisecond, cpu: 100, memMB: 100}, true }
	if !s.begin(6, queues, workOf) {
		return resultNotRun
	}
	time.Sleep(2 * time.Second)
	g := &memoryGuard{system: s, kills: map[string]int{}}
	go g.run()
	accepted := s.submitCrowd(crowdBody(trouble))
	s.log.linef("%d of %d submissions accepted", len(accepted), crowdJobs)
	if len(accepted) < crowdAsked {
		return resultNotRun
	}
	time.Sleep(crowdWatch)
	unanswered := 0
	for k := range crowdAsked {
		if !s.answers(accepted[k*len(accepted)/crowdAsked]) {
			unanswered++
		}
	}
	kills, most := g.end()
	s.log.linef("%d kills for memory, at most %d MB; %d of %d accepted submissions that were asked for got no answer",
		kills, most, unanswered, crowdAsked)
	if unanswered > 0 {
		return resultBroken
	}
	return resultHeld
}

// submitCrowd submits the body again and again under new ids, and returns the paths of the
// submissions that were accepted.
func (s *system) submitCrowd(body []byte) []string {
	var mu sync.Mutex
	var accepted []string
	var clients sync.WaitGroup
	until := time.Now().Add(crowdTime)
	for c := range crowdClients {
		clients.Go(func() {
			for k := c; k < crowdJobs && time.Now().Before(until); k += crowdClients {
				path := "/pufi791/" + jobID(c, k)
				if s.submit(path, body, 2) == http.StatusOK {
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

// answers asks the processes in turn for the state of an accepted submission, and reports
// whether one of them gives it.
func (s *system) answers(path string) bool {
	for n := range askTries {
		x := s.instances[n%len(s.instances)]
		state := s.state(x, path)
		s.log.linef("client GET %s at %s: %s", path, x.name, state)
		if state == "pending" || state == "active" || state == "completed" {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

func crowdBody(trouble bool) []byte {
	var steps []map[string]any
	for k := range crowdSteps {
		after := []int{}
		for a := range k {
			if trouble || a == k-1 {
				after = append(after, a)
			}
		}
		steps = append(steps, map[string]any{"count": 1, "cpu": 100, "mem_mb": 100, "estimated_ms": 300, "depends_on": after})
	}
	body, _ := json.Marshal(map[string]any{"spec": "panel", "steps": steps})
	return body
}
