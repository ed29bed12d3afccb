// Package rules compiles one version of the settings for fast lookup by name.
// Rules are immutable, so a request that gets them at its start uses the same
// version until its end.
package rules

import (
	"maps"
	"slices"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Rules is one compiled version of the settings. It is safe for concurrent use.
type Rules struct {
	version  sched.Offset
	limits   sched.LimitSettings
	services map[string]sched.ServiceSettings
	kinds    map[string]sched.TaskKindSettings
	partners map[string]sched.PartnerSettings
	teams    map[string]sched.TeamSettings
	// regions holds the region of each data centre.
	regions map[sched.DataCentre]sched.Region
	centres map[sched.Region][]sched.DataCentre
}

// Compile returns the rules of one version of the settings. It keeps slices of
// the settings, which must not be changed afterwards.
func Compile(s sched.Settings) *Rules {
	r := &Rules{
		version:  s.Version,
		limits:   s.Limits,
		services: make(map[string]sched.ServiceSettings, len(s.Services)),
		kinds:    make(map[string]sched.TaskKindSettings, len(s.TaskKinds)),
		partners: make(map[string]sched.PartnerSettings, len(s.Partners)),
		teams:    make(map[string]sched.TeamSettings, len(s.Teams)),
		regions:  map[sched.DataCentre]sched.Region{},
		centres:  make(map[sched.Region][]sched.DataCentre, len(s.Regions)),
	}
	for _, v := range s.Services {
		r.services[v.Name] = v
	}
	for _, v := range s.TaskKinds {
		r.kinds[v.Name] = v
	}
	for _, v := range s.Partners {
		r.partners[v.Name] = v
	}
	for _, v := range s.Teams {
		r.teams[v.Name] = v
	}
	for _, v := range s.Regions {
		r.centres[v.Name] = v.DataCentres
		for _, d := range v.DataCentres {
			r.regions[d] = v.Name
		}
	}
	return r
}

// Version returns the configuration version of the settings.
func (r *Rules) Version() sched.Offset { return r.version }

// Limits returns the limits of the whole system.
func (r *Rules) Limits() sched.LimitSettings { return r.limits }

// Service returns the settings of a service, false if the name is unknown.
func (r *Rules) Service(name string) (sched.ServiceSettings, bool) {
	s, ok := r.services[name]
	return s, ok
}

// TaskKind returns the settings of a task kind, false if the name is unknown.
func (r *Rules) TaskKind(name string) (sched.TaskKindSettings, bool) {
	k, ok := r.kinds[name]
	return k, ok
}

// Partner returns the settings of a partner, false if the name is unknown.
func (r *Rules) Partner(name string) (sched.PartnerSettings, bool) {
	p, ok := r.partners[name]
	return p, ok
}

// Team returns the settings of a team, false if the name is unknown or the team
// belongs to another partner. A request that names another partner's team must
// not use that team's quota.
func (r *Rules) Team(partner, name string) (sched.TeamSettings, bool) {
	t, ok := r.teams[name]
	if !ok || t.Partner != partner {
		return sched.TeamSettings{}, false
	}
	return t, true
}

// UrgencyShare returns the share of the capacity that is guaranteed to an urgency
// class, 0 for an unknown class.
func (r *Rules) UrgencyShare(u sched.Urgency) float64 {
	if u < sched.UrgencyBackground || u > sched.UrgencyUrgent {
		return 0
	}
	return r.limits.UrgencyShares[u]
}

// Region returns the region of a data centre, empty if no region has it.
func (r *Rules) Region(d sched.DataCentre) sched.Region { return r.regions[d] }

// DataCentres returns the data centres of a region in the order of the
// settings. The caller must not change the slice.
func (r *Rules) DataCentres(n sched.Region) []sched.DataCentre { return r.centres[n] }

// AllDataCentres returns the data centres of all regions, sorted by name.
func (r *Rules) AllDataCentres() []sched.DataCentre {
	return slices.Sorted(maps.Keys(r.regions))
}
