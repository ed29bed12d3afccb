package pjson

import (
	"fmt"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// names is a two-way table between the numbers of a type and their JSON names.
type names[T comparable] struct {
	what   string
	byName map[string]T
	byNum  map[T]string
}

func table[T comparable](what string, byNum map[T]string) names[T] {
	n := names[T]{what: what, byName: make(map[string]T, len(byNum)), byNum: byNum}
	for num, name := range byNum {
		n.byName[name] = num
	}
	return n
}

func (n names[T]) parse(s string) (T, error) {
	v, ok := n.byName[s]
	if !ok {
		return v, fmt.Errorf("unknown %s %q", n.what, s)
	}
	return v, nil
}

var commandNames = table("command", map[sched.CommandKind]string{
	sched.CommandStart:      "start",
	sched.CommandBind:       "bind",
	sched.CommandStop:       "stop",
	sched.CommandCheckpoint: "checkpoint",
	sched.CommandThrottle:   "throttle",
	sched.CommandForget:     "forget",
})

var attemptNames = table("attempt state", map[sched.AttemptState]string{
	sched.AttemptWaiting:      "waiting",
	sched.AttemptRunning:      "running",
	sched.AttemptDone:         "done",
	sched.AttemptFailed:       "failed",
	sched.AttemptStopped:      "stopped",
	sched.AttemptCheckpointed: "checkpointed",
	sched.AttemptLeaseExpired: "lapsed",
})

var roleNames = table("role", map[sched.Role]string{
	sched.RoleEntry:   "entry",
	sched.RoleWorker:  "worker",
	sched.RoleBackend: "backend",
})

var stateNames = table("instance state", map[sched.State]string{
	sched.StateLive:        "live",
	sched.StateLeaving:     "leaving",
	sched.StateUnreachable: "unreachable",
	sched.StateGone:        "gone",
})
