package roster

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Service is the list of instances in memory. It is safe for use by many goroutines.
type Service struct {
	clock sched.Clock

	mu      sync.Mutex
	lag     time.Duration
	outage  bool
	members map[sched.InstanceID]sched.Member
	pending []change // in order of change.at; not shown yet
}

// change is an addition, a replacement or a removal of one instance.
type change struct {
	at      time.Time
	member  sched.Member
	removed bool
}

var _ sched.Roster = (*Service)(nil)

// New returns an empty list that shows changes after the given lag.
func New(clock sched.Clock, lag time.Duration) *Service {
	return &Service{clock: clock, lag: lag, members: map[sched.InstanceID]sched.Member{}}
}

// SetLag replaces the lag, also for pending changes that the old lag still hides.
func (s *Service) SetLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyDueChanges()
	s.lag = d
}

// SetOutage switches an outage on or off, during which Members returns
// sched.ErrUnavailable.
func (s *Service) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
}

// Put adds an instance or replaces its entry, after the lag. Its state is live or
// leaving.
func (s *Service) Put(m sched.Member) { s.enqueue(change{member: m}) }

// Remove takes an instance off the list after the lag.
func (s *Service) Remove(id sched.InstanceID) {
	s.enqueue(change{member: sched.Member{ID: id}, removed: true})
}

// PutNow adds an instance or replaces its entry without the lag. Pending changes
// of the instance still take effect later.
func (s *Service) PutNow(m sched.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members[m.ID] = m
}

// Members implements sched.Roster. The result is sorted by id.
func (s *Service) Members(c context.Context) ([]sched.Member, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage || c.Err() != nil {
		return nil, sched.ErrUnavailable
	}
	s.applyDueChanges()
	list := make([]sched.Member, 0, len(s.members))
	for _, m := range s.members {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b sched.Member) int { return cmp.Compare(a.ID, b.ID) })
	return list, nil
}

func (s *Service) enqueue(c change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.at = s.clock.Now()
	s.pending = append(s.pending, c)
}

// applyDueChanges applies the pending changes that are at least as old as the
// lag. The caller holds s.mu.
func (s *Service) applyDueChanges() {
	now := s.clock.Now()
	for len(s.pending) > 0 && !s.pending[0].at.Add(s.lag).After(now) {
		c := s.pending[0]
		s.pending = s.pending[1:]
		if c.removed {
			delete(s.members, c.member.ID)
		} else {
			s.members[c.member.ID] = c.member
		}
	}
}
