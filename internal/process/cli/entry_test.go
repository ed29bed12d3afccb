package cli

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	users "github.com/parsleybarrow/parsleybarrow/platform"
)

// Guards against a part of the platform that an entry instance calls but doesn't
// have: without an advisor the first queue with advice ended the planner.
func TestAnEntryInstanceHasAllPartsOfThePlatform(t *testing.T) {
	i := is.New(t)
	const local = "127.0.0.1:0"
	e, err := (&entryCmd{}).entry(zap.NewNop(), users.Settings{
		ID: "e1", IP: "127.0.0.1", Front: local, Ready: local, Control: local, Store: local, Advice: "127.0.0.1:1",
	})
	i.NoErr(err)
	defer func() {
		for _, l := range []interface{ Close() error }{e.CallerListener, e.BalancerListener, e.PeerListener, e.MetricsListener} {
			i.NoErr(l.Close())
		}
	}()
	i.True(e.Store != nil)
	i.True(e.Registry != nil)
	i.True(e.Runner != nil)
	i.True(e.Advisor != nil)
}
