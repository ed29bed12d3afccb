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
	Reason      string `json:"reason,omitempty"`
	Version     int64  `json:"version"`
	LogReached  bool   `json:"logReached"`
	ListReached bool   `json:"listReached"`
	// Planner is the instance that plans for the data centre.
	Planner string         `json:"planner"`
	Term    int64          `json:"term"`
	Tasks   map[string]int `json:"tasks"`
	Peers   []Peer         `json:"peers"`
}

// Peer is one entry instance as the answering instance sees it.
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
	// Requests is the number of answered requests over all instances.
	Requests int64 `json:"requests"`
	// Runs counts the ends of tasks by result, from the replay of the log.
	Runs map[string]int64 `json:"runs"`
	// AsOf gives the offset up to which each stream was read.
	AsOf map[string]int64 `json:"asOf"`
	// RequestsAtInstance is the total that each incarnation reported.
	RequestsAtInstance map[string]int64 `json:"requestsAtInstance"`
}

// Event is one event of GET /events.
type Event struct {
	Wall     int64  `json:"wall"`
	Logical  uint32 `json:"logical"`
	Instance string `json:"instance"`
	Kind     string `json:"kind"`
	Request  string `json:"request,omitempty"`
	Task     string `json:"task,omitempty"`
	Version  int64  `json:"version,omitempty"`
	Detail   string `json:"detail,omitempty"`
}

// Timeline is the answer of GET /timeline.
type Timeline struct {
	Events []Event `json:"events"`
	// Missing lists instances that did not answer.
	Missing []string `json:"missing,omitempty"`
}

// Submission is the body of POST /tasks.
type Submission struct {
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Partner string `json:"partner"`
	Team    string `json:"team,omitempty"`
	// DataCentre is the task's home. If it is empty, the home follows from the
	// id. A repeated submission must name the same one.
	DataCentre string `json:"dataCentre,omitempty"`
	// RunTime is a duration such as 90s; the kind's if empty.
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
	// DataCentre is the home of the task, for submissions and cancellations.
	DataCentre string `json:"dataCentre,omitempty"`
}

// FromEvent maps an event of the time line.
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

// Time returns the wall time of the event.
func (e Event) Time() time.Time { return time.Unix(0, e.Wall) }
