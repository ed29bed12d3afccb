package fleet

import (
	"github.com/parsleybarrow/parsleybarrow/pkg/member"
	"github.com/parsleybarrow/parsleybarrow/pkg/quota"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Look is what one instance knows.
type Look struct {
	Self    sched.Member
	Version sched.Offset
	Ready   bool
	View    *member.View
	Parts   []quota.Part
}

// Looks returns what every instance knows now.
func (s *Sim) Looks() []Look {
	var all []Look
	for _, n := range s.nodes {
		v := n.table.View()
		number, _ := n.replay.InForce()
		all = append(all, Look{
			Self: n.self, Version: number, Ready: n.replay.Ready(s.now), View: v,
			Parts: n.book.Parts(s.now, v.EntryCount(), v.MaxEntryCount()),
		})
	}
	return all
}

// Newest returns the newest version of the log.
func (s *Sim) Newest() sched.Offset { return sched.Offset(len(s.stream)) }

// Apply appends n changes.
func (s *Sim) Apply(n int) { s.change(n) }
