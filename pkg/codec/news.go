package codec

import (
	"github.com/parsleybarrow/parsleybarrow/internal/wire/pb"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// NewsToWire converts the configuration changes in a heartbeat to their message.
// It returns nil if there are none; the field then takes no bytes in the
// heartbeat.
func NewsToWire(n sched.ConfigNews) *pb.ConfigNews {
	if len(n.Steps) == 0 {
		return nil
	}
	w := &pb.ConfigNews{AsOf: int64(n.AsOf)}
	for _, s := range n.Steps {
		w.Steps = append(w.Steps, &pb.ConfigStep{
			Base: int64(s.Base), Version: int64(s.Version), Changes: s.Changes, Hash: s.Hash[:],
		})
	}
	return w
}

// NewsFromWire converts the message back. If one step is malformed, it returns an
// empty value, because the steps after it could not be applied.
func NewsFromWire(w *pb.ConfigNews) sched.ConfigNews {
	n := sched.ConfigNews{AsOf: sched.Offset(w.GetAsOf())}
	for _, s := range w.GetSteps() {
		step := sched.ConfigStep{
			Base: sched.Offset(s.GetBase()), Version: sched.Offset(s.GetVersion()), Changes: s.GetChanges(),
		}
		if len(s.GetHash()) != len(step.Hash) {
			return sched.ConfigNews{}
		}
		copy(step.Hash[:], s.GetHash())
		n.Steps = append(n.Steps, step)
	}
	return n
}
