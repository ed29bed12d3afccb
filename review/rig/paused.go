package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	jobsBefore = 5
	jobsDuring = 20
	// pauseLength is longer than the store keeps its history after the takeover.
	pauseLength = 24 * time.Second
	settledTime = 6 * time.Second
	finishTime  = 14 * time.Second
	asks        = 5
)

// pausedCase pauses the planner's machine and wakes it, and then the other machines are lost
// for good.
var pausedCase = playbook{
	machines: threeMachines, workers: 8, keepS: 20,
	play: func(c context.Context, f *fleet, trouble bool) ([]string, error) {
		f.setWork(func(string) time.Duration { return longerTask })
		var accepted []string
		submit := func(to *machine) {
			k, id := newClient(f, to), newID()
			defer k.close()
			if a := k.send(c, http.MethodPost, id, submission(1, "")); a.status == http.StatusOK {
				accepted = append(accepted, id)
			}
		}
		p := f.planner()
		for range jobsBefore {
			submit(p)
		}
		if trouble {
			p.signal(syscall.SIGSTOP)
		}
		for n := range jobsDuring {
			if m := f.machines[n%len(f.machines)]; m != p {
				submit(m)
			}
			time.Sleep(pauseLength / jobsDuring)
		}
		p.signal(syscall.SIGCONT)
		time.Sleep(settledTime)
		for _, m := range f.machines {
			if m != p {
				f.record.logf("%s is lost for good", m.settings.Name)
				m.end()
			}
		}
		time.Sleep(settledTime + finishTime)
		return f.unanswered(c, p, accepted), nil
	},
}

// unanswered applies the rule LOST at the end: an accepted submission is asked for and isn't
// known, or there is no answer in time. The machine is the only one that is left.
func (f *fleet) unanswered(c context.Context, m *machine, accepted []string) []string {
	var out []string
	f.record.logf("%d submissions are accepted; %s is ready: %v", len(accepted), m.settings.Name, m.ready())
	for _, id := range accepted {
		last := answer{}
		for range asks {
			k := newClient(f, m)
			last = k.send(c, http.MethodGet, id, "")
			k.close()
			if last.status == http.StatusOK || c.Err() != nil {
				break
			}
		}
		if last.status != http.StatusOK {
			out = append(out, fmt.Sprintf("LOST: submission %s is asked for %d times after the end, the last answer is %d %s %v",
				id, asks, last.status, last.body, last.err))
			break // each takes some seconds; the others get the same
		}
	}
	return out
}
