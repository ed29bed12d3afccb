package cli

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/budget"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	users "github.com/parsleybarrow/parsleybarrow/platform"
)

// requestLimits are the flags that replace limits on clients' requests. With 0 a limit
// follows from the machine's.
type requestLimits struct {
	CallerMemory      int           `default:"0" min:"0" max:"1048576" help:"Memory for callers' connections and requests together, in MB; 0 for a fifth of the machine's."`
	PeerMemory        int           `default:"0" min:"0" max:"1048576" help:"Memory for connections and requests of other instances together, in MB; 0 for a seventh of the machine's."`
	CallerConnections int           `default:"0" min:"0" max:"1000000" help:"Connections of callers; 0 for what the machine's memory and descriptors allow."`
	PeerConnections   int           `default:"0" min:"0" max:"1000000" help:"Connections of other instances; 0 for what the machine's memory and descriptors allow."`
	HeaderLines       int           `default:"5500" min:"100" max:"100000" help:"Header lines of a request."`
	BodyStall         time.Duration `default:"10s" min:"1s" max:"5m" help:"Time without progress after which a body or an answer is given up."`
	BodyRate          int           `default:"4096" min:"0" max:"1048576" help:"Least average rate of a body that takes longer than that, in bytes a second."`
}

// of returns the limits for a machine. The error is an exit error if they don't fit
// each other or the machine.
func (x requestLimits) of(m users.MachineSettings) (budget.Limits, error) {
	l := budget.Of(m.Memory, m.Descriptors)
	l.HeaderLines, l.Stall, l.Rate = x.HeaderLines, x.BodyStall, int64(x.BodyRate)
	shares := []struct {
		use                 string
		share               *budget.Share
		memory, connections int
	}{
		{"caller", &l.Callers, x.CallerMemory, x.CallerConnections},
		{"peer", &l.Peers, x.PeerMemory, x.PeerConnections},
	}
	for _, s := range shares {
		if s.memory > 0 {
			s.share.Bytes = int64(s.memory) << 20
		}
		if s.connections > 0 {
			s.share.Connections = s.connections
		}
		if need := int64(s.share.Connections) * budget.ConnectionCost; need > s.share.Bytes {
			return l, failf(sched.ExitSetting, "--%s-connections: %d need %d MB, --%s-memory gives %d",
				s.use, s.share.Connections, need>>20, s.use, s.share.Bytes>>20)
		}
	}
	if sum := l.Callers.Bytes + l.Peers.Bytes; m.Memory > 0 && sum > m.Memory/2 {
		return l, failf(sched.ExitSetting, "--caller-memory and --peer-memory: %d MB together, at most half of the machine's %d are taken",
			sum>>20, m.Memory>>20)
	}
	return l, nil
}
