package cli

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	users "github.com/parsleybarrow/parsleybarrow/platform"
)

// Guards against flags that promise more memory than the machine has, or more connections
// than their memory holds.
func TestRequestLimitsFitTheMachine(t *testing.T) {
	i := is.New(t)
	m := users.MachineSettings{Memory: 160 << 20, Descriptors: 4100}
	l, err := requestLimits{CallerMemory: 40, CallerConnections: 300}.of(m)
	i.NoErr(err)
	i.Equal(l.Callers.Bytes, int64(40<<20))
	i.Equal(l.Callers.Connections, 300)
	for _, x := range []requestLimits{{CallerMemory: 70}, {PeerMemory: 60}, {CallerConnections: 1000}, {PeerMemory: 1}} {
		_, err := x.of(m)
		var exit *ExitError
		i.True(errors.As(err, &exit))
		i.Equal(exit.Code, sched.ExitSetting)
	}
}
