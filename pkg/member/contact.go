package member

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// ContactInterval is the time between two calls of Contacts.
const ContactInterval = time.Second

// bothCallSilence is the time since the last contact after which this instance
// also calls a peer that is the caller of their pair. It is below
// DefaultSilence, so that one lost call doesn't make a peer unreachable. These
// calls are made in every second interval only, since a peer behind a network
// partition would otherwise cost twice the bytes.
const bothCallSilence = 1500 * time.Millisecond

// Contacts returns the entry instances with which this instance exchanges
// heartbeats now. It must be called once per ContactInterval. Inside the data
// centre only one instance of each pair calls, since an exchange informs both.
// Outside the data centre it is one instance per interval, in pseudo-random
// order.
func (t *Table) Contacts(now time.Time) []sched.Member {
	self := t.options.Self
	even := now.UnixNano()/int64(ContactInterval)%2 == 0
	var contacts, outside []sched.Member
	for _, m := range t.View().All() {
		if m.Role != sched.RoleEntry || m.ID == self.ID || m.State == sched.StateGone || m.Address == "" {
			continue
		}
		if m.DataCentre != self.DataCentre {
			outside = append(outside, m)
			continue
		}
		e := t.entries[m.ID]
		if isCaller(self.ID, m.ID) || even && now.Sub(e.heardAt) > bothCallSilence {
			contacts = append(contacts, m)
		}
	}
	if len(outside) > 0 {
		contacts = append(contacts, outside[rotation(self.ID, now)%uint64(len(outside))])
	}
	return contacts
}

// isCaller reports whether a is the instance of the pair that calls. The result
// depends only on the two ids, so that both instances agree on it.
func isCaller(a, b sched.InstanceID) bool {
	low, high := min(a, b), max(a, b)
	return (xxhash.Sum64String(string(low)+"\x00"+string(high))&1 == 0) == (a == low)
}

// rotation returns a hash of the instance and the interval, so that instances
// contact different peers and each contacts different ones over time.
func rotation(id sched.InstanceID, now time.Time) uint64 {
	var slot [8]byte
	binary.BigEndian.PutUint64(slot[:], uint64(now.UnixNano()/int64(ContactInterval)))
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(id))
	_, _ = d.Write(slot[:])
	return d.Sum64()
}
