package member

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// ContactInterval is the time between two calls of Contacts.
const ContactInterval = time.Second

// bothCallAfter is the silence after which a peer is called although it is its
// turn to call. It is below DefaultSilence, so that one lost call doesn't make
// a peer unreachable. These calls come every second interval only, as a peer
// behind a cut would else take twice the bytes.
const bothCallAfter = 1500 * time.Millisecond

// Contacts returns the entry instances to exchange heartbeats with now. It is
// to be called once per ContactInterval. Inside the data centre one side of
// each pair calls, as an exchange informs both; outside it is one instance per
// call, another one each time.
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
		if calls(self.ID, m.ID) || even && now.Sub(e.heardAt) > bothCallAfter {
			contacts = append(contacts, m)
		}
	}
	if len(outside) > 0 {
		contacts = append(contacts, outside[pick(self.ID, now)%uint64(len(outside))])
	}
	return contacts
}

// calls tells whether a is the one of the pair that calls. It doesn't depend
// on who else is known.
func calls(a, b sched.InstanceID) bool {
	low, high := min(a, b), max(a, b)
	return (xxhash.Sum64String(string(low)+"\x00"+string(high))&1 == 0) == (a == low)
}

// pick returns a number that differs between instances and between intervals.
func pick(id sched.InstanceID, now time.Time) uint64 {
	var slot [8]byte
	binary.BigEndian.PutUint64(slot[:], uint64(now.UnixNano()/int64(ContactInterval)))
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(id))
	_, _ = d.Write(slot[:])
	return d.Sum64()
}
