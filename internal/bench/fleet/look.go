package fleet

import (
	"github.com/parsleybarrow/parsleybarrow/pkg/member"
	"github.com/parsleybarrow/parsleybarrow/pkg/quota"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// InstanceView is a snapshot of one instance's configuration version, membership view
// and parts of the quotas.
type InstanceView struct {
	Self    sched.Member
	Version sched.Offset
	Ready   bool
	View    *member.View
	Parts   []quota.Part
}

// InstanceViews returns the snapshots of all instances at the current time.
func (s *Sim) InstanceViews() []InstanceView {
	var all []InstanceView
	for _, n := range s.nodes {
		v := n.table.View()
		number, _ := n.replay.InForce()
		all = append(all, InstanceView{
			Self: n.self, Version: number, Ready: n.replay.Ready(s.now), View: v,
			Parts: n.quotas.Parts(s.now, v.EntryCount(), v.MaxEntryCount()),
		})
	}
	return all
}

// NewestVersion returns the newest configuration version in the log.
func (s *Sim) NewestVersion() sched.Offset { return sched.Offset(len(s.stream)) }

// AppendChanges appends n configuration patches to the log.
func (s *Sim) AppendChanges(n int) { s.appendChanges(n) }
