package pjson

import (
	"fmt"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// names holds the JSON names of the values of an enumeration.
type names[T comparable] struct {
	// kind describes the enumeration in errors.
	kind    string
	byName  map[string]T
	byValue map[T]string
}

func newNames[T comparable](kind string, byValue map[T]string) names[T] {
	n := names[T]{kind: kind, byName: make(map[string]T, len(byValue)), byValue: byValue}
	for value, name := range byValue {
		n.byName[name] = value
	}
	return n
}

// parse returns the value with the name, or an error for an unknown name.
func (n names[T]) parse(s string) (T, error) {
	v, ok := n.byName[s]
	if !ok {
		return v, fmt.Errorf("unknown %s %q", n.kind, s)
	}
	return v, nil
}

var commandNames = newNames("command", map[sched.CommandKind]string{
	sched.CommandStart:      "start",
	sched.CommandBind:       "bind",
	sched.CommandStop:       "stop",
	sched.CommandCheckpoint: "checkpoint",
	sched.CommandThrottle:   "throttle",
	sched.CommandForget:     "forget",
})

var attemptNames = newNames("attempt state", map[sched.AttemptState]string{
	sched.AttemptWaiting:      "waiting",
	sched.AttemptRunning:      "running",
	sched.AttemptDone:         "done",
	sched.AttemptFailed:       "failed",
	sched.AttemptStopped:      "stopped",
	sched.AttemptCheckpointed: "checkpointed",
	sched.AttemptLeaseExpired: "lapsed",
})

var roleNames = newNames("role", map[sched.Role]string{
	sched.RoleEntry:   "entry",
	sched.RoleWorker:  "worker",
	sched.RoleBackend: "backend",
})

var stateNames = newNames("instance state", map[sched.State]string{
	sched.StateLive:        "live",
	sched.StateLeaving:     "leaving",
	sched.StateUnreachable: "unreachable",
	sched.StateGone:        "gone",
})
