// Package rendez assigns responsibilities to instances by rendezvous hashing.
//
// Instances that know the same candidates come to the same assignment without
// an election. When a candidate leaves, only its own responsibilities move;
// when one joins, only those move that it takes over. Instances with different
// candidates may disagree for a while, so two holders of one responsibility at
// a time may waste work but must not break anything.
package rendez

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Key identifies a responsibility or, for TaskKey, a task that needs a data
// centre.
type Key string

// PlannerKey returns the key of the planning of a data centre's tasks.
func PlannerKey(d sched.DataCentre) Key { return Key("planner/" + d) }

// SnapshotWriterKey returns the key of the writing of a stream's snapshots.
func SnapshotWriterKey(stream string) Key { return Key("snapshot/" + stream) }

// TaskKey returns the key that assigns a task to a data centre with
// Key.DataCentre.
func TaskKey(t sched.TaskID) Key { return Key("task/" + t) }

// DataCentre returns the data centre to which the key is assigned, or false if
// there are no candidates. Adding a data centre moves only the keys that are
// assigned to the new one.
func (k Key) DataCentre(candidates []sched.DataCentre) (sched.DataCentre, bool) {
	names := make([]sched.InstanceID, len(candidates))
	for i, c := range candidates {
		names[i] = sched.InstanceID(c)
	}
	owner, found := k.Owner(names)
	return sched.DataCentre(owner), found
}

// Owner returns the candidate to which the key is assigned, or false if there
// are no candidates.
func (k Key) Owner(candidates []sched.InstanceID) (sched.InstanceID, bool) {
	var best sched.InstanceID
	var bestWeight uint64
	found := false
	for _, c := range candidates {
		w := k.weight(c)
		if !found || w > bestWeight || w == bestWeight && c < best {
			best, bestWeight, found = c, w, true
		}
	}
	return best, found
}

// Rank returns the candidates in the order in which they take over the key: the
// owner first, then the owner without it, and so on.
func (k Key) Rank(candidates []sched.InstanceID) []sched.InstanceID {
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b sched.InstanceID) int {
		return cmp.Or(cmp.Compare(k.weight(b), k.weight(a)), cmp.Compare(a, b))
	})
	return ranked
}

// weight returns the hash of key and candidate. The separator is a byte that
// occurs in neither of them.
func (k Key) weight(c sched.InstanceID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(k))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(c))
	return d.Sum64()
}
