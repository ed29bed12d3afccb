package admin

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Status is the answer of GET /status.
type Status struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Region      string `json:"region"`
	DataCentre  string `json:"dataCentre"`
	State       string `json:"state"`
	Ready       bool   `json:"ready"`
	// Reason says why the instance is not ready.
	Reason string `json:"reason,omitempty"`
	// Version is the configuration version in force at the instance.
	Version int64 `json:"version"`
	// LogReached and ListReached report whether the instance reaches the
	// platform's log and its list of instances.
	LogReached  bool `json:"logReached"`
	ListReached bool `json:"listReached"`
	// Planner is the instance that plans for the data centre, in the given Term.
	Planner string `json:"planner"`
	Term    int64  `json:"term"`
	// Tasks counts tasks by state: queued and placed.
	Tasks map[string]int `json:"tasks"`
	Peers []Peer         `json:"peers"`
}

// Peer is another entry instance as the answering instance sees it.
type Peer struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"dataCentre"`
	State      string `json:"state"`
	Version    int64  `json:"version"`
	Address    string `json:"address"`
}

// Usage is the answer of GET /usage.
type Usage struct {
	Partner string `json:"partner"`
	// Requests is the number of answered requests, summed over all instances.
	Requests int64 `json:"requests"`
	// Runs counts ended tasks by result, as the replay of the log gives them.
	Runs map[string]int64 `json:"runs"`
	// AsOf holds, by stream, the offset up to which the stream was read.
	AsOf map[string]int64 `json:"asOf"`
	// RequestsAtInstance holds the total that each incarnation of an instance
	// reported.
	RequestsAtInstance map[string]int64 `json:"requestsAtInstance"`
}

// Event is one event of a Timeline.
type Event struct {
	// Wall is in nanoseconds since the Unix epoch. Logical orders events of the
	// same wall time.
	Wall     int64  `json:"wall"`
	Logical  uint32 `json:"logical"`
	Instance string `json:"instance"`
	Kind     string `json:"kind"`
	Request  string `json:"request,omitempty"`
	Task     string `json:"task,omitempty"`
	Version  int64  `json:"version,omitempty"`
	Detail   string `json:"detail,omitempty"`
}

// Timeline is the answer of GET /timeline, with the merged events of all
// instances, and of GET /events, with those of the answering instance.
type Timeline struct {
	Events []Event `json:"events"`
	// Missing lists the instances that did not answer and whose events are
	// therefore absent.
	Missing []string `json:"missing,omitempty"`
}

// Submission is the body of POST /tasks.
type Submission struct {
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Partner string `json:"partner"`
	Team    string `json:"team,omitempty"`
	// DataCentre is the home of the task. If it is empty, the home is derived
	// from the id. A repeated submission must name the same data centre.
	DataCentre string `json:"dataCentre,omitempty"`
	// RunTime is the expected run time, a duration such as 90s. If it is empty,
	// the run time of the kind applies.
	RunTime string `json:"runTime,omitempty"`
}

// TaskAnswer is the answer of POST /tasks and of GET and DELETE /tasks/<id>.
type TaskAnswer struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Message string `json:"message,omitempty"`
	Task    string `json:"task,omitempty"`
	State   string `json:"state,omitempty"`
	Attempt int    `json:"attempt,omitempty"`
	Worker  string `json:"worker,omitempty"`
	// DataCentre is the home of the task. Answers to submissions and
	// cancellations name it.
	DataCentre string `json:"dataCentre,omitempty"`
}

// FromEvent converts an event of the time line to its JSON message.
func FromEvent(e sched.Event) Event {
	return Event{
		Wall:     e.Stamp.Wall,
		Logical:  e.Stamp.Logical,
		Instance: string(e.Instance),
		Kind:     string(e.Kind),
		Request:  e.Request,
		Task:     string(e.Task),
		Version:  int64(e.Version),
		Detail:   e.Detail,
	}
}

// Time returns the wall clock time of the event as a time.Time.
func (e Event) Time() time.Time { return time.Unix(0, e.Wall) }
