package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/parsleybarrow/parsleybarrow/review/platform"
)

const (
	lastingJobs    = 3
	rareLabel      = "b"
	untilCancelled = time.Hour
	// The worker crashes twice, and is back after crashDown each time.
	betweenCrashes = 6 * time.Second
	crashDown      = 700 * time.Millisecond
	observeTime    = 30 * time.Second
	// A task that lasts may be away for pauseTime after its last run and for waitTime more,
	// if the last calmTime before that are calm.
	pauseTime = 6 * time.Second
	waitTime  = 3 * time.Second
	calmTime  = 7 * time.Second
)

// isolatedCase has the only worker of a kind crash twice under three tasks that last.
var isolatedCase = playbook{
	machines: threeMachines, workers: 10, keepS: 20,
	kind: func(int) string { return rareLabel },
	play: func(c context.Context, f *fleet, trouble bool) ([]string, error) {
		f.setWork(func(string) time.Duration { return untilCancelled })
		for n := range lastingJobs {
			if a := f.sendWithRetries(c, n, http.MethodPost, newID(), lasting(rareLabel)); a.status != http.StatusOK {
				return nil, errors.New("a submission wasn't accepted")
			}
		}
		time.Sleep(betweenCrashes)
		var back time.Time
		for range 2 {
			if trouble {
				f.crash(f.workers[0], crashDown)
				back = time.Now()
			}
			time.Sleep(betweenCrashes)
		}
		time.Sleep(observeTime)
		return f.away(back), nil
	},
}

// away applies the rule LOST to tasks that last: for 3 s, from 6 s after its last run, one doesn't
// run though there is capacity for it, and the 3 s and the 4 s before them are calm. The
// worker has been back since the given time, with room for all of the tasks many times over.
func (f *fleet) away(back time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for task, starts := range f.starts {
		var last platform.Run
		for _, r := range f.runs {
			if r.Task == task && r.Ended.After(last.Ended) {
				last = r
			}
		}
		if last.Task == "" {
			continue
		}
		next := time.Now()
		for _, s := range starts {
			if s.Began.After(last.Ended) {
				next = s.Began
			}
		}
		f.record.logf("%s was away for %d ms after its last run", task, next.Sub(last.Ended).Milliseconds())
		if next.Sub(last.Ended) > pauseTime+waitTime && next.Sub(back) > calmTime {
			out = append(out, fmt.Sprintf("LOST: %s lasts and didn't run for %d ms, the last %d ms of them with its worker back and idle or nearly so",
				task, next.Sub(last.Ended).Milliseconds(), next.Sub(back).Milliseconds()))
		}
	}
	return out
}
