package relay

import (
	"math"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/wire/pb"
)

// Load is how busy an instance is.
type Load struct {
	// Busy is the share of its processor time in use, 0 if unknown.
	Busy float64
	// Wait is the longest time that a message of a planner there has waited in the last
	// second.
	Wait time.Duration
	// Leaving is set while the instance drains.
	Leaving bool
}

const percent = 100

func (l Load) message() *pb.RelayLoad {
	// 0 stands for an unknown share.
	return &pb.RelayLoad{Busy: uint32(math.Ceil(percent * l.Busy)), Wait: uint32(l.Wait.Milliseconds()), Leaving: l.Leaving}
}

func loadOf(m *pb.RelayLoad) Load {
	return Load{
		Busy: float64(m.GetBusy()) / percent, Wait: time.Duration(m.GetWait()) * time.Millisecond, Leaving: m.GetLeaving(),
	}
}
