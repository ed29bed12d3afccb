package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	estimateJobs = 20
	realTime     = 6 * time.Second
	patience     = 60 * time.Second
	betweenJobs  = 200 * time.Millisecond
)

// estimatesCase has tasks take six times as long as declared. It isn't a case of the review,
// since no rule is broken: the submissions never end, though their tasks run all the time.
var estimatesCase = playbook{
	machines: threeMachines, workers: 8, keepS: 20,
	play: func(c context.Context, f *fleet, trouble bool) ([]string, error) {
		f.setWork(func(string) time.Duration {
			if trouble {
				return realTime
			}
			return time.Second
		})
		var accepted []string
		for n := range estimateJobs {
			id := newID()
			if f.sendWithRetries(c, n, http.MethodPost, id, submission(1, "")).status == http.StatusOK {
				accepted = append(accepted, id)
			}
			time.Sleep(betweenJobs)
		}
		time.Sleep(patience)
		var out []string
		for n, id := range accepted {
			if a := f.sendWithRetries(c, n, http.MethodGet, id, ""); !strings.Contains(a.body, "completed") {
				f.mu.Lock()
				starts := len(f.starts[id+".0.0.0"])
				f.mu.Unlock()
				out = append(out, fmt.Sprintf("not a rule: submission %s with one task of %v isn't done after %v and %d starts: %s", id, realTime, patience, starts, a.body))
			}
		}
		return out, nil
	},
}
