package member

import (
	"cmp"
	"slices"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// View is the membership at one moment. It is immutable and safe for concurrent
// use.
type View struct {
	all []sched.Member
	// byID maps an id to the index in all.
	byID           map[sched.InstanceID]int
	byGroup        map[groupKey][]sched.Member
	candidates     map[sched.DataCentre][]sched.InstanceID
	dataCentres    []sched.DataCentre
	entryCount     int
	largestEntries int
}

// groupKey identifies the instances that Members returns together.
type groupKey struct {
	dataCentre sched.DataCentre
	role       sched.Role
	service    string
}

// View returns the current view. Calls return the same value until the
// membership changes.
func (t *Table) View() *View {
	if !t.dirty && t.view != nil && t.view.largestEntries == t.largestEntries {
		return t.view
	}
	v := &View{
		byID:           make(map[sched.InstanceID]int, len(t.entries)),
		byGroup:        map[groupKey][]sched.Member{},
		candidates:     map[sched.DataCentre][]sched.InstanceID{},
		largestEntries: t.largestEntries,
	}
	for _, e := range t.entries {
		v.all = append(v.all, e.member)
	}
	slices.SortFunc(v.all, func(a, b sched.Member) int { return cmp.Compare(a.ID, b.ID) })
	for i, m := range v.all {
		v.byID[m.ID] = i
		p := groupKey{m.DataCentre, m.Role, m.Service}
		v.byGroup[p] = append(v.byGroup[p], m)
		if !slices.Contains(v.dataCentres, m.DataCentre) {
			v.dataCentres = append(v.dataCentres, m.DataCentre)
		}
		if m.Role != sched.RoleEntry {
			continue
		}
		if m.State == sched.StateLive || m.State == sched.StateUnreachable {
			v.entryCount++
		}
		if t.entries[m.ID].eligible {
			v.candidates[m.DataCentre] = append(v.candidates[m.DataCentre], m.ID)
		}
	}
	slices.Sort(v.dataCentres)
	t.view, t.dirty = v, false
	return v
}

// Members returns the instances of a data centre with a role, in order of their
// ids and in any state. The service is the empty string except for backend
// servers. The caller must not change the slice.
func (v *View) Members(d sched.DataCentre, r sched.Role, service string) []sched.Member {
	return v.byGroup[groupKey{d, r, service}]
}

// All returns every instance in order of the ids. The caller must not change
// the slice.
func (v *View) All() []sched.Member { return v.all }

// Find returns the instance with the id, and false if it is unknown.
func (v *View) Find(id sched.InstanceID) (sched.Member, bool) {
	i, ok := v.byID[id]
	if !ok {
		return sched.Member{}, false
	}
	return v.all[i], true
}

// DataCentres returns the data centres in order of their names. The caller must
// not change the slice.
func (v *View) DataCentres() []sched.DataCentre { return v.dataCentres }

// Candidates returns the entry instances of a data centre that can hold
// responsibilities, in order of their ids. Instances enter and leave this list
// with hysteresis, except that leaving and gone ones are removed at once. The
// caller must not change the slice.
func (v *View) Candidates(d sched.DataCentre) []sched.InstanceID { return v.candidates[d] }

// AllCandidates returns the candidates of every data centre, in order of the
// data centres and ids.
func (v *View) AllCandidates() []sched.InstanceID {
	var all []sched.InstanceID
	for _, d := range v.dataCentres {
		all = append(all, v.candidates[d]...)
	}
	return all
}

// EntryCount returns the number of entry instances that may admit requests, which
// are the live and the unreachable ones.
func (v *View) EntryCount() int { return v.entryCount }

// MaxEntryCount returns the largest number of entry instances that were not
// gone at any one time.
func (v *View) MaxEntryCount() int { return v.largestEntries }
