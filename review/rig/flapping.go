package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// An episode of flapping is as long as the longest in the users' site files, with the
	// period that they give.
	episodes     = 5
	episodeTime  = 6500 * time.Millisecond
	flapPeriod   = 1400 * time.Millisecond
	calmTime     = 2500 * time.Millisecond
	submitEvery  = 250 * time.Millisecond
	finishTime   = 14 * time.Second
	longTask     = 2 * time.Second
	tasksPerJob  = 6
	cpuPerTask   = 1600
	maxRetries   = 4
	flapWorkers  = 10
	settlingTime = 2 * time.Second
)

// flappingCase has one worker of ten go down and up by turns. No task ever fails.
var flappingCase = playbook{
	machines: []place{
		{"quezon-a", "luzon", 2 * time.Millisecond},
		{"cebu-a", "visayas", 40 * time.Millisecond},
		{"pasig-b", "luzon", 2 * time.Millisecond},
	},
	workers: flapWorkers, keepS: 20, play: playFlapping,
}

func playFlapping(c context.Context, f *fleet, trouble bool) ([]string, error) {
	f.setWork(func(string) time.Duration { return longTask })
	var accepted []string
	var mu sync.Mutex
	var clients sync.WaitGroup
	flaps, stopFlaps := context.WithCancel(c)
	defer stopFlaps()
	if trouble {
		clients.Go(func() { f.flap(flaps) })
	}
	for n, begun := 0, time.Now(); time.Since(begun) < settlingTime+episodes*(episodeTime+calmTime); n++ {
		clients.Go(func() {
			id := newID()
			if a := f.sendWithRetries(c, n, http.MethodPost, id, submission(tasksPerJob, cpuPerTask, "")); a.status == http.StatusOK {
				mu.Lock()
				accepted = append(accepted, id)
				mu.Unlock()
			}
		})
		time.Sleep(submitEvery)
	}
	stopFlaps()
	clients.Wait()
	time.Sleep(finishTime)
	var broken []string
	for n, id := range accepted {
		a := f.sendWithRetries(c, n, http.MethodGet, id, "")
		var s struct{ State, Reason string }
		_ = json.Unmarshal([]byte(a.body), &s)
		failed := 0
		for _, r := range f.runsOf(id) {
			if r.How == "failed" {
				failed++
			}
		}
		if s.State == "failed" && failed == 0 {
			broken = append(broken, fmt.Sprintf("LOST: submission %s is shown as failed (%q), and none of its runs has ended so", id, s.Reason))
		}
	}
	f.record.logf("%d submissions accepted, %d shown as failed without cause", len(accepted), len(broken))
	return broken, nil
}

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

// flap has the first worker crash and start again under its id, by turns, in episodes, until
// the context ends.
func (f *fleet) flap(c context.Context) {
	w := f.workers[0]
	time.Sleep(settlingTime)
	for range episodes {
		for begun := time.Now(); c.Err() == nil && time.Since(begun) < episodeTime; {
			f.crash(w, flapPeriod/2)
			time.Sleep(flapPeriod / 2)
		}
		time.Sleep(calmTime)
	}
}
