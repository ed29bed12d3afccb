package fleet

import (
	"github.com/parsleybarrow/parsleybarrow/pkg/member"
	"github.com/parsleybarrow/parsleybarrow/pkg/quota"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Look is a snapshot of one instance's configuration version, membership view
// and parts of the quotas.
type Look struct {
	Self    sched.Member
	Version sched.Offset
	Ready   bool
	View    *member.View
	Parts   []quota.Part
}

// Looks returns the snapshots of all instances at the current time.
func (s *Sim) Looks() []Look {
	var all []Look
	for _, n := range s.nodes {
		v := n.table.View()
		number, _ := n.replay.InForce()
		all = append(all, Look{
			Self: n.self, Version: number, Ready: n.replay.Ready(s.now), View: v,
			Parts: n.quotas.Parts(s.now, v.EntryCount(), v.MaxEntryCount()),
		})
	}
	return all
}

// Newest returns the newest configuration version in the log.
func (s *Sim) Newest() sched.Offset { return sched.Offset(len(s.stream)) }

// Apply appends n configuration patches to the log.
func (s *Sim) Apply(n int) { s.appendChanges(n) }
