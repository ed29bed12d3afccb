package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	lossSlack = 200 * time.Millisecond
	grace     = 6 * time.Second
	// hangupDelay is the time from SIGTERM to SIGHUP, roundTime that from one stop to the
	// next.
	hangupDelay = 300 * time.Millisecond
	roundTime   = 8 * time.Second
	rounds      = 5
	// clientsPerMachine clients send a request each thinkTime.
	clientsPerMachine = 8
	thinkTime         = 40 * time.Millisecond
	// requestsPerJob requests are sent about one submission: it is handed in, asked for and
	// cancelled.
	requestsPerJob = 20
	shortTask      = 300 * time.Millisecond
)

// stoppingCase stops the planner's machine again and again, as in a rolling restart, and
// tells it during the drain that its settings file has changed.
var stoppingCase = playbook{
	machines: []place{
		{"quezon-a", "luzon", 2 * time.Millisecond},
		{"pasig-b", "luzon", 2 * time.Millisecond},
		{"cebu-a", "visayas", 40 * time.Millisecond},
	},
	workers: 9, keepS: 20, play: playStopping,
}

// stop is a SIGTERM to a machine.
type stop struct {
	machine *machine
	at      time.Time
}

// losses collects the answers that were cut.
type losses struct {
	mu   sync.Mutex
	cuts []cut
}

type cut struct {
	machine *machine
	what    string
	answer  answer
}

func playStopping(c context.Context, f *fleet, trouble bool) ([]string, error) {
	f.setWork(func(string) time.Duration { return shortTask })
	x, cancel := context.WithCancel(c)
	defer cancel()
	l := &losses{}
	var clients sync.WaitGroup
	for _, m := range f.machines {
		for range clientsPerMachine {
			clients.Go(func() { l.sendRequests(x, newClient(f, m)) })
		}
	}
	time.Sleep(2 * time.Second)
	var stops []stop
	for range rounds {
		m := f.planner()
		stops = append(stops, stop{m, time.Now()})
		m.signal(syscall.SIGTERM)
		time.Sleep(hangupDelay)
		if trouble {
			if err := m.writeSettings(); err != nil {
				return nil, err
			}
			m.signal(syscall.SIGHUP)
		}
		time.Sleep(roundTime - hangupDelay)
	}
	cancel()
	clients.Wait()
	return l.broken(stops), nil
}

// sendRequests submits jobs, asks for their states and cancels some, until the context ends.
func (l *losses) sendRequests(c context.Context, k *client) {
	defer k.close()
	id := ""
	for n := 0; c.Err() == nil; n++ {
		method, body := http.MethodGet, ""
		switch n % requestsPerJob {
		case 0:
			id, method, body = newID(), http.MethodPost, submission(2, "")
		case requestsPerJob - 1:
			method = http.MethodDelete
		}
		a := k.send(c, method, id, body)
		if a.cut && c.Err() == nil {
			l.mu.Lock()
			l.cuts = append(l.cuts, cut{k.machine, method + " " + id, a})
			l.mu.Unlock()
		}
		if a.err != nil {
			time.Sleep(thinkTime)
		}
		time.Sleep(thinkTime)
	}
}

// broken applies the rule LOST to the answers that were cut: a process has read the whole
// request, and the channel has ended without an answer later than the slack after its last
// byte, from a SIGTERM of the machine until a second after the grace period.
func (l *losses) broken(stops []stop) []string {
	var out []string
	for _, x := range l.cuts {
		held := x.answer.ended.Sub(x.answer.sent)
		for _, s := range stops {
			since := x.answer.ended.Sub(s.at)
			if s.machine == x.machine && since >= 0 && since <= grace+time.Second && held > lossSlack && held < budget {
				out = append(out, fmt.Sprintf("LOST: %s to %s: the channel was closed without an answer %d ms after the last byte, %d ms after SIGTERM: %v",
					x.what, x.machine.settings.Name, held.Milliseconds(), since.Milliseconds(), x.answer.err))
			}
		}
	}
	return out
}
