package pjson

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

type commandJSON struct {
	Kind       string             `json:"kind"`
	Task       sched.TaskID       `json:"task"`
	Attempt    sched.Attempt      `json:"attempt"`
	TaskKind   string             `json:"taskKind,omitempty"`
	Needs      resourcesJSON      `json:"needs,omitzero"`
	Checkpoint sched.CheckpointID `json:"checkpoint,omitempty"`
	Share      float64            `json:"share,omitempty"`
}

type callJSON struct {
	Term     sched.Offset  `json:"term"`
	Boot     uint64        `json:"boot,omitempty"`
	NotAfter time.Time     `json:"notAfter"`
	Commands []commandJSON `json:"commands,omitempty"`
}

type attemptJSON struct {
	Task          sched.TaskID       `json:"task"`
	Attempt       sched.Attempt      `json:"attempt"`
	State         string             `json:"state"`
	Checkpoint    sched.CheckpointID `json:"checkpoint,omitempty"`
	TaskKind      string             `json:"taskKind,omitempty"`
	ProgressNanos time.Duration      `json:"progressNanos,omitempty"`
	Usage         resourcesJSON      `json:"usage,omitzero"`
	Reason        string             `json:"reason,omitempty"`
}

type serviceJSON struct {
	Service string        `json:"service"`
	Load    float64       `json:"load"`
	P99     time.Duration `json:"p99Nanos"`
}

type reportJSON struct {
	Worker     sched.InstanceID `json:"worker"`
	Boot       uint64           `json:"boot"`
	Term       sched.Offset     `json:"term"`
	LeaseUntil time.Time        `json:"leaseUntil"`
	MeasuredAt time.Time        `json:"measuredAt"`
	Attempts   []attemptJSON    `json:"attempts,omitempty"`
	Services   []serviceJSON    `json:"services,omitempty"`
}

// EncodeCall returns a call to a worker as JSON.
func EncodeCall(call sched.WorkerCall) ([]byte, error) {
	j := callJSON{Term: call.Term, Boot: call.Boot, NotAfter: call.NotAfter}
	for _, c := range call.Commands {
		j.Commands = append(j.Commands, commandJSON{
			commandNames.byValue[c.Kind], c.Task, c.Attempt, c.TaskKind,
			resourcesJSON(c.Needs), c.Checkpoint, c.Share,
		})
	}
	return json.Marshal(j)
}

// DecodeCall decodes a call to a worker. It returns an error for a command of an
// unknown kind, without a task or an attempt, or with needs or a share out of
// range.
func DecodeCall(data []byte) (sched.WorkerCall, error) {
	var j callJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return sched.WorkerCall{}, fmt.Errorf("worker call: %w", err)
	}
	call := sched.WorkerCall{Term: j.Term, Boot: j.Boot, NotAfter: j.NotAfter}
	for n, c := range j.Commands {
		kind, err := commandNames.parse(c.Kind)
		if err != nil {
			return sched.WorkerCall{}, fmt.Errorf("command %d: %w", n, err)
		}
		if c.Task == "" || c.Attempt < 1 {
			return sched.WorkerCall{}, fmt.Errorf("command %d: task %q, attempt %d", n, c.Task, c.Attempt)
		}
		if !(sched.Resources{}).Fits(sched.Resources(c.Needs)) || c.Share < 0 || c.Share > 1 {
			return sched.WorkerCall{}, fmt.Errorf("command %d: needs %v or share %v out of range", n, c.Needs, c.Share)
		}
		call.Commands = append(call.Commands, sched.Command{
			Kind: kind, Task: c.Task, Attempt: c.Attempt, TaskKind: c.TaskKind,
			Needs: sched.Resources(c.Needs), Checkpoint: c.Checkpoint, Share: c.Share,
		})
	}
	return call, nil
}

// EncodeReport returns a worker's report as JSON.
func EncodeReport(r sched.WorkerReport) ([]byte, error) {
	j := reportJSON{Worker: r.Worker, Boot: r.Boot, Term: r.Term, LeaseUntil: r.LeaseUntil, MeasuredAt: r.MeasuredAt}
	for _, a := range r.Attempts {
		j.Attempts = append(j.Attempts, attemptJSON{
			a.Task, a.Attempt, attemptNames.byValue[a.State], a.Checkpoint, a.TaskKind,
			a.Progress, resourcesJSON(a.Usage), a.Reason,
		})
	}
	for _, s := range r.Services {
		j.Services = append(j.Services, serviceJSON(s))
	}
	return json.Marshal(j)
}

// DecodeReport decodes a worker's report. It returns an error for a report
// without a worker and for an unknown state of an attempt.
func DecodeReport(data []byte) (sched.WorkerReport, error) {
	var j reportJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return sched.WorkerReport{}, fmt.Errorf("worker report: %w", err)
	}
	if j.Worker == "" {
		return sched.WorkerReport{}, fmt.Errorf("worker report without a worker")
	}
	r := sched.WorkerReport{Worker: j.Worker, Boot: j.Boot, Term: j.Term, LeaseUntil: j.LeaseUntil, MeasuredAt: j.MeasuredAt}
	for n, a := range j.Attempts {
		state, err := attemptNames.parse(a.State)
		if err != nil {
			return sched.WorkerReport{}, fmt.Errorf("attempt %d: %w", n, err)
		}
		r.Attempts = append(r.Attempts, sched.AttemptReport{
			Task: a.Task, Attempt: a.Attempt, State: state, Checkpoint: a.Checkpoint, TaskKind: a.TaskKind,
			Progress: a.ProgressNanos, Usage: sched.Resources(a.Usage), Reason: a.Reason,
		})
	}
	for _, s := range j.Services {
		r.Services = append(r.Services, sched.ServiceReport(s))
	}
	return r, nil
}
