package rules_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/version/rules"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against a request that uses the quota of another partner's team, and
// against a name of one kind of settings that is found as another kind.
func TestLookUp(t *testing.T) {
	i := is.New(t)
	r := rules.Compile(sched.Settings{
		Version:  9,
		Regions:  []sched.RegionSettings{{Name: "luzon", DataCentres: []sched.DataCentre{"quezon-a", "pasig-b"}}},
		Services: []sched.ServiceSettings{{Name: "simdesk", Slots: 8}},
		Partners: []sched.PartnerSettings{{Name: "p"}, {Name: "q"}},
		Teams:    []sched.TeamSettings{{Name: "t", Partner: "p", Requests: 5}},
	})
	team, ok := r.Team("p", "t")
	i.True(ok)
	i.Equal(team.Requests, 5.0)
	_, ok = r.Team("q", "t")
	i.True(!ok)
	_, ok = r.Service("t")
	i.True(!ok)
	i.Equal(r.Region("pasig-b"), sched.Region("luzon"))
	i.Equal(r.Region("cebu-a"), sched.Region(""))
	i.Equal(r.UrgencyShare(sched.UrgencyUrgent+1), 0.0)
}
