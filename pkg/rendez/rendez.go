// Package rendez chooses who is responsible for what by rendezvous hashing.
//
// Every instance that knows the same candidates comes to the same choice. When
// a candidate leaves, only its own responsibilities move; when one joins, only
// those move that it takes over. Nobody is elected: the responsibilities are
// such that two holders at a time waste work but break nothing.
package rendez

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Key names a responsibility.
type Key string

// Planner is the responsibility of planning the tasks of a data centre.
func Planner(d sched.DataCentre) Key { return Key("planner/" + d) }

// SnapshotWriter is the responsibility of writing the snapshots of a stream.
func SnapshotWriter(stream string) Key { return Key("snapshot/" + stream) }

// TaskHome is the choice of a data centre for a task.
func TaskHome(t sched.TaskID) Key { return Key("task/" + t) }

// DataCentre returns the data centre that the key falls to, or false if there
// is none. Adding a data centre moves only the keys that fall to it.
func (k Key) DataCentre(candidates []sched.DataCentre) (sched.DataCentre, bool) {
	names := make([]sched.InstanceID, len(candidates))
	for i, c := range candidates {
		names[i] = sched.InstanceID(c)
	}
	owner, found := k.Owner(names)
	return sched.DataCentre(owner), found
}

// Owner returns the candidate that is responsible for the key, or false if
// there is none.
func (k Key) Owner(candidates []sched.InstanceID) (sched.InstanceID, bool) {
	var best sched.InstanceID
	var most uint64
	found := false
	for _, c := range candidates {
		w := k.weight(c)
		if !found || w > most || w == most && c < best {
			best, most, found = c, w, true
		}
	}
	return best, found
}

// Rank returns the candidates in the order in which they take over the key.
func (k Key) Rank(candidates []sched.InstanceID) []sched.InstanceID {
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b sched.InstanceID) int {
		return cmp.Or(cmp.Compare(k.weight(b), k.weight(a)), cmp.Compare(a, b))
	})
	return ranked
}

// weight hashes key and candidate with a separator that is in neither.
func (k Key) weight(c sched.InstanceID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(k))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(c))
	return d.Sum64()
}
