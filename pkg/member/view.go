package member

import (
	"cmp"
	"slices"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// View is the membership at one moment. It is immutable.
type View struct {
	all     []sched.Member
	byID    map[sched.InstanceID]int
	byPlace map[place][]sched.Member
	steady  map[sched.DataCentre][]sched.InstanceID
	centres []sched.DataCentre
	entries int
	largest int
}

type place struct {
	centre  sched.DataCentre
	role    sched.Role
	service string
}

// View returns the current view. It is the same value until something
// changes.
func (t *Table) View() *View {
	if !t.dirty && t.view != nil && t.view.largest == t.largest {
		return t.view
	}
	v := &View{
		byID:    make(map[sched.InstanceID]int, len(t.entries)),
		byPlace: map[place][]sched.Member{},
		steady:  map[sched.DataCentre][]sched.InstanceID{},
		largest: t.largest,
	}
	for _, e := range t.entries {
		v.all = append(v.all, e.member)
	}
	slices.SortFunc(v.all, func(a, b sched.Member) int { return cmp.Compare(a.ID, b.ID) })
	for i, m := range v.all {
		v.byID[m.ID] = i
		p := place{m.DataCentre, m.Role, m.Service}
		v.byPlace[p] = append(v.byPlace[p], m)
		if !slices.Contains(v.centres, m.DataCentre) {
			v.centres = append(v.centres, m.DataCentre)
		}
		if m.Role != sched.RoleEntry {
			continue
		}
		if m.State == sched.StateLive || m.State == sched.StateUnreachable {
			v.entries++
		}
		if t.entries[m.ID].steady {
			v.steady[m.DataCentre] = append(v.steady[m.DataCentre], m.ID)
		}
	}
	slices.Sort(v.centres)
	t.view, t.dirty = v, false
	return v
}

// Members returns the instances of a data centre with a role in order of
// their ids, whatever their state. The service is set for backend servers
// only. The caller must not change the slice.
func (v *View) Members(d sched.DataCentre, r sched.Role, service string) []sched.Member {
	return v.byPlace[place{d, r, service}]
}

// All returns every instance in order of the ids. The caller must not change
// the slice.
func (v *View) All() []sched.Member { return v.all }

// Find returns the instance with the id.
func (v *View) Find(id sched.InstanceID) (sched.Member, bool) {
	i, ok := v.byID[id]
	if !ok {
		return sched.Member{}, false
	}
	return v.all[i], true
}

// DataCentres returns the data centres in order of their names.
func (v *View) DataCentres() []sched.DataCentre { return v.centres }

// Candidates returns the entry instances of a data centre that can hold
// responsibilities: live ones, with hysteresis.
func (v *View) Candidates(d sched.DataCentre) []sched.InstanceID { return v.steady[d] }

// AllCandidates returns the candidates of every data centre.
func (v *View) AllCandidates() []sched.InstanceID {
	var all []sched.InstanceID
	for _, d := range v.centres {
		all = append(all, v.steady[d]...)
	}
	return all
}

// Entries returns the number of entry instances that may admit requests: those
// that are neither leaving nor gone.
func (v *View) Entries() int { return v.entries }

// LargestEntries returns the largest number of entry instances that were not
// gone at any one time.
func (v *View) LargestEntries() int { return v.largest }
