package roster

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Service is the list in memory. It is safe for use by many goroutines.
type Service struct {
	clock sched.Clock

	mu      sync.Mutex
	lag     time.Duration
	outage  bool
	members map[sched.InstanceID]sched.Member
	pending []change // in order of time
}

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

// SetLag replaces the lag, also for changes that are not shown yet.
func (s *Service) SetLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle()
	s.lag = d
}

// SetOutage switches refusals of every call on or off.
func (s *Service) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
}

// Put adds an instance or replaces what is known of it. Its state is live or
// leaving.
func (s *Service) Put(m sched.Member) { s.record(change{member: m}) }

// Remove takes an instance off the list.
func (s *Service) Remove(id sched.InstanceID) {
	s.record(change{member: sched.Member{ID: id}, removed: true})
}

// PutNow adds an instance without a lag, for the state at the start of a run.
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
	s.settle()
	list := make([]sched.Member, 0, len(s.members))
	for _, m := range s.members {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b sched.Member) int { return cmp.Compare(a.ID, b.ID) })
	return list, nil
}

func (s *Service) record(c change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.at = s.clock.Now()
	s.pending = append(s.pending, c)
}

// settle shows the changes that are older than the lag.
func (s *Service) settle() {
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
