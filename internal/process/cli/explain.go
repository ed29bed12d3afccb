package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/process/peer"
	"github.com/parsleybarrow/parsleybarrow/internal/process/relay"
	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/order"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// explainCmd explains where the tasks of a job run, would go now, or why they wait.
type explainCmd struct {
	ID         string        `arg:"" help:"Id of the job; it selects the cell."`
	Peers      address       `required:"" help:"Address for peers of an entry instance."`
	JSON       bool          `name:"json" help:"Print JSON."`
	Host       string        `help:"Host of the route of a job that wasn't submitted."`
	Path       string        `help:"Path of the route. With it a job that wasn't submitted is explained."`
	Tasks      int           `default:"1" min:"1" max:"2048" help:"Its number of tasks."`
	Processors int           `default:"1000" min:"0" max:"1000000" help:"Processors of each task, in thousandths."`
	Megabytes  int           `default:"1024" min:"0" max:"100000000" help:"Memory of each task, in MiB."`
	RunTime    time.Duration `default:"1s" min:"0s" max:"720h" help:"Declared run time of each task."`
	Label      string        `help:"Label that the worker must have."`
	DataRack   string        `help:"Rack with its data."`
	Gang       bool          `help:"The tasks run only together."`
	Lasting    bool          `help:"The tasks run until the job is cancelled."`
}

// maxPlannerHints is how many instances are asked in turn, each named by the one before.
const maxPlannerHints = 3

// Run implements the command.
func (x *explainCmd) Run(c context.Context, p *Program) error {
	c, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	a, err := x.ask(c)
	if err != nil {
		return fail(sched.ExitUnreachable, err)
	}
	if !a.Known {
		return failf(sched.ExitRefused, "job %s: no such job or route, or another one was explained just before", x.ID)
	}
	if x.JSON {
		return x.printJSON(p, a)
	}
	x.print(p, a)
	return nil
}

// ask asks the instance, and then those that it names as the planner of the cell.
func (x *explainCmd) ask(c context.Context) (relay.Answer, error) {
	k := relay.Client{HTTP: peer.HTTPClient()}
	defer k.HTTP.CloseIdleConnections()
	to := string(x.Peers)
	for range maxPlannerHints {
		a, err := k.Explain(c, to, x.question())
		var moved *relay.NotPlannerError
		switch {
		case err == nil:
			return a, nil
		case !errors.As(err, &moved):
			return a, fmt.Errorf("ask %s: %w", to, err)
		case !moved.Known:
			return a, fmt.Errorf("%s knows no planner of cell %d", to, a.Cell)
		}
		to = moved.Hint.Address
	}
	return relay.Answer{}, errors.New("the planner of the cell changes; try again")
}

func (x *explainCmd) question() relay.Question {
	q := relay.Question{ID: sched.JobID(x.ID), Host: x.Host, Path: x.Path}
	if x.Path != "" {
		const mebibyte = 1 << 20
		q.Job = &sched.Job{ID: q.ID, Steps: []sched.Step{{
			Tasks: x.Tasks, Needs: sched.Resources{Processors: int64(x.Processors), Memory: int64(x.Megabytes) * mebibyte},
			Estimate: x.RunTime, Label: x.Label, DataRack: x.DataRack, Gang: x.Gang, Lasting: x.Lasting,
		}}}
	}
	return q
}

// jobStates and classes hold the names that explain prints.
var (
	jobStates = map[sched.JobState]string{
		0: "not submitted", sched.JobPending: "pending", sched.JobActive: "active", sched.JobCompleted: "completed",
		sched.JobFailed: "failed", sched.JobCancelled: "cancelled",
	}
	classes = map[order.Class]string{order.InTime: "in time", order.Late: "late", order.Worthless: "worthless"}
)

// outcome returns in a word what becomes of the waiting tasks of a step.
func outcome(s cell.ExplainedStep) string {
	has := func(role string) bool {
		return slices.ContainsFunc(s.Workers, func(w cell.ExplainedWorker) bool { return w.Role == role })
	}
	switch {
	case s.Later:
		return "later"
	case s.Waiting == 0:
		return "runs"
	case has("room"):
		return "placed"
	case has("held"):
		return "held"
	}
	return "waits"
}

func (x *explainCmd) print(p *Program, a relay.Answer) {
	p.printf("job %s, %s, cell %d, planner %s\n", x.ID, jobStates[a.State], a.Cell, a.Instance)
	for _, s := range a.Steps {
		p.printf("step %d of occurrence %d: %s, %d waiting, %d running, class %s, %d steps before it\n",
			s.Step, s.Occurrence, outcome(s), s.Waiting, s.Running, classes[s.Class], s.Before)
		for _, w := range s.Workers {
			p.printf("  %-5s %s, free %d thousandths of a processor and %d MiB", w.Role, w.ID, w.Free.Processors, w.Free.Memory>>20)
			switch w.Role {
			case "room":
				p.printf(", score %.2f", w.Score)
			case "held":
				p.printf(", expected in %v", w.Wait)
			}
			p.printf("\n")
		}
		var reasons []string
		for _, why := range slices.Sorted(maps.Keys(s.Obstacles)) {
			reasons = append(reasons, fmt.Sprintf("%s %d", why, s.Obstacles[why]))
		}
		if len(reasons) > 0 {
			p.printf("  workers that take none: %s\n", strings.Join(reasons, ", "))
		}
	}
	if a.Omitted > 0 {
		p.printf("%d further steps\n", a.Omitted)
	}
}

// explainedStep and explainedWorker are the JSON of an explanation.
type explainedStep struct {
	Occurrence int               `json:"occurrence"`
	Step       int               `json:"step"`
	Outcome    string            `json:"outcome"`
	Waiting    int               `json:"waiting"`
	Running    int               `json:"running"`
	Class      string            `json:"class"`
	Before     int               `json:"before"`
	Obstacles  map[string]int    `json:"obstacles"`
	Workers    []explainedWorker `json:"workers"`
}

type explainedWorker struct {
	ID             string  `json:"id"`
	Role           string  `json:"role"`
	Score          float64 `json:"score"`
	FreeProcessors int64   `json:"freeProcessors"`
	FreeMemory     int64   `json:"freeMemory"`
	WaitMillis     int64   `json:"waitMillis"`
}

func (x *explainCmd) printJSON(p *Program, a relay.Answer) error {
	steps := []explainedStep{}
	for _, s := range a.Steps {
		e := explainedStep{
			s.Occurrence, s.Step, outcome(s), s.Waiting, s.Running, classes[s.Class], s.Before, s.Obstacles, []explainedWorker{},
		}
		for _, w := range s.Workers {
			e.Workers = append(e.Workers, explainedWorker{
				string(w.ID), w.Role, w.Score, w.Free.Processors, w.Free.Memory, w.Wait.Milliseconds(),
			})
		}
		steps = append(steps, e)
	}
	data, err := json.Marshal(map[string]any{
		"job": x.ID, "state": jobStates[a.State], "cell": a.Cell, "planner": string(a.Instance), "steps": steps, "omitted": a.Omitted,
	})
	if err != nil {
		return fmt.Errorf("encode explanation: %w", err)
	}
	p.printf("%s\n", data)
	return nil
}
