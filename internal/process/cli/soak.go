package cli

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/process/admin"
	"github.com/parsleybarrow/parsleybarrow/internal/process/load"
	"github.com/parsleybarrow/parsleybarrow/internal/standin/fleet"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// soakCmd drives load against running instances and checks invariants on what
// the callers saw and on what the observers of the stand-ins counted.
// scripts/soak starts the processes.
type soakCmd struct {
	Callers  []address     `required:"" help:"Addresses for callers of the instances."`
	Standin  address       `default:"127.0.0.1:7899" help:"Admin address of the stand-ins."`
	Service  string        `default:"simdesk" help:"Service to call."`
	Partner  string        `default:"tunog" help:"Partner to call for."`
	Kinds    []string      `default:"sweep" help:"Kinds of the tasks."`
	Duration time.Duration `default:"1m" min:"1s" max:"24h" help:"Time for which load is driven."`
	Settle   time.Duration `default:"60s" min:"0s" max:"1h" help:"Longest wait for the ends of accepted tasks."`
	Requests int           `default:"150" min:"0" max:"5000" help:"Repeatable requests a second."`
	Once     int           `default:"20" min:"0" max:"1000" help:"Unrepeatable requests a second."`
	Tasks    int           `default:"5" min:"0" max:"500" help:"Tasks a second."`
	Seed     int           `default:"1" min:"0" max:"9223372036854775807" help:"Seed of the load."`
}

// soakResult is printed as one line of JSON, the last on standard output.
type soakResult struct {
	load.Counts
	// Doubled counts tasks that ran, finished, resumed or started twice, and
	// unrepeatable requests that ran again.
	Doubled       int64 `json:"doubled"`
	Overcommitted int64 `json:"overcommitted"`
	TasksDone     int64 `json:"tasksDone"`
	// TasksOpen counts accepted tasks that were not done at the end of the
	// wait, TasksUntold those of them whose state no instance returned.
	TasksOpen   int64 `json:"tasksOpen"`
	TasksUntold int64 `json:"tasksUntold"`
	// MixedUp counts answers with the id of another request.
	MixedUp          int64        `json:"mixedUp"`
	ServiceP99Millis float64      `json:"serviceP99Millis"`
	Observers        fleet.Counts `json:"observers"`
}

// Run implements the command.
func (x *soakCmd) Run(c context.Context, p *Program) error {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	l := &load.Generator{
		HTTP: &http.Client{Transport: transport}, Seed: uint64(x.Seed), Service: x.Service, Partner: x.Partner,
		TaskKinds: x.Kinds, CallerAddresses: x.callers, RequestRate: x.Requests, UnrepeatableRate: x.Once, TaskRate: x.Tasks,
	}
	run, cancel := context.WithTimeout(c, x.Duration)
	l.Run(run)
	cancel()
	r := soakResult{Counts: l.Counts(), MixedUp: l.MixedUp(), ServiceP99Millis: float64(l.P99().Microseconds()) / 1000}
	x.settle(c, l, &r)
	if err := client(x.Standin).Get(c, "/admin/counts", nil, &r.Observers); err != nil {
		return err
	}
	w, b := r.Observers.Workers, r.Observers.Backend
	r.Doubled = int64(w.DoubleRuns+w.DoubleFinishes+w.DoubleResumes+w.DuplicateStarts) + b.DuplicateUnrepeatable
	r.Overcommitted = int64(w.Overcommitted)
	line, err := json.Marshal(r)
	if err != nil {
		return err
	}
	p.printf("%s\n", line)
	if r.Answered == 0 || r.TasksDone == 0 {
		return failf(sched.ExitIncomplete, "%d answered requests and %d ended tasks; the check needs at least one of each",
			r.Answered, r.TasksDone)
	}
	if r.Doubled != 0 || r.Overcommitted != 0 || r.MixedUp != 0 || r.Accepted != r.Answered+r.Failed+r.Unknown {
		return failf(sched.ExitInvariant, "%d doubled, %d overcommitted, %d mixed up, %d accepted",
			r.Doubled, r.Overcommitted, r.MixedUp, r.Accepted)
	}
	return nil
}

func (x *soakCmd) callers() []string {
	var out []string
	for _, a := range x.Callers {
		out = append(out, string(a))
	}
	return out
}

// settle polls the states of the accepted tasks once a second until all are done
// or the settle time is over, and records the counts in r.
func (x *soakCmd) settle(c context.Context, l *load.Generator, r *soakResult) {
	c, cancel := context.WithTimeout(c, x.Settle)
	defer cancel()
	open := l.AcceptedTasks()
	for {
		unknown := int64(0)
		kept := open[:0]
		for _, id := range open {
			state := x.state(id)
			if state == "" {
				unknown++
			}
			if state == "done" {
				r.TasksDone++
				continue
			}
			kept = append(kept, id)
		}
		open = kept
		r.TasksOpen, r.TasksUntold = int64(len(open)), unknown
		if len(open) == 0 || c.Err() != nil {
			return
		}
		select {
		case <-c.Done():
		case <-time.After(time.Second):
		}
	}
}

// state returns the state of a task at the first instance that returns one,
// empty if none does.
func (x *soakCmd) state(id string) string {
	for _, at := range x.Callers {
		var a admin.TaskAnswer
		c, cancel := context.WithTimeout(context.Background(), time.Second)
		err := client(at).Get(c, "/tasks/"+id, nil, &a)
		cancel()
		if err == nil && strings.TrimSpace(a.State) != "" {
			return a.State
		}
	}
	return ""
}
