package logsvc

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Retention bounds what a stream holds. Zero fields mean no bound.
type Retention struct {
	Records int
	Age     time.Duration
}

// Faults says what goes wrong. The probabilities are per call, 0 to 1.
type Faults struct {
	// Outage refuses every call with ErrUnavailable.
	Outage bool
	// Silent leaves every call without an answer until its context ends.
	// Nothing takes effect.
	Silent bool
	// Slow delays the answer of a call by SlowBy.
	Slow   float64
	SlowBy time.Duration
	// LostAnswer loses the answer of an append that took effect.
	LostAnswer float64
	// LateEffect fails an append that then takes effect LateBy later.
	LateEffect float64
	LateBy     time.Duration
}

// Service is the log in memory. It is safe for use by many goroutines.
type Service struct {
	clock sched.Clock

	mu        sync.Mutex
	random    *rand.Rand
	retention Retention
	faults    Faults
	streams   map[string]*stream
	late      []lateAppend
	totals    Counts
}

type stream struct {
	records []record
	next    sched.Offset
	counts  StreamCounts
}

type record struct {
	sched.Record
	at time.Time
}

type lateAppend struct {
	due    time.Time
	stream string
	data   []byte
}

var _ sched.Log = (*Service)(nil)

// New returns an empty log without faults.
func New(clock sched.Clock, seed uint64, r Retention) *Service {
	return &Service{
		clock:     clock,
		random:    rand.New(rand.NewPCG(seed, 1)),
		retention: r,
		streams:   map[string]*stream{},
	}
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the faults in force.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetRetention replaces the retention.
func (s *Service) SetRetention(r Retention) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retention = r
}

// Append implements sched.Log.
func (s *Service) Append(c context.Context, name string, data []byte) (sched.Offset, error) {
	data = slices.Clone(data)
	s.mu.Lock()
	f := s.faults
	if f.Outage {
		s.totals.Refused++
		s.mu.Unlock()
		return 0, sched.ErrUnavailable
	}
	if f.Silent {
		s.mu.Unlock()
		<-c.Done()
		return 0, sched.ErrUncertain
	}
	wait := s.slowness(f)
	now := s.clock.Now()
	s.settle(now)
	if s.random.Float64() < f.LateEffect {
		s.late = append(s.late, lateAppend{now.Add(f.LateBy), name, data})
		s.totals.LateEffects++
		s.mu.Unlock()
		return 0, sched.ErrUncertain
	}
	o := s.add(name, data, now)
	lost := s.random.Float64() < f.LostAnswer
	if lost {
		s.totals.LostAnswers++
	}
	s.mu.Unlock()
	if err := s.clock.Sleep(c, wait); err != nil || lost {
		return 0, sched.ErrUncertain
	}
	return o, nil
}

// Read implements sched.Log.
func (s *Service) Read(c context.Context, name string, from sched.Offset, limit int) (sched.Page, error) {
	s.mu.Lock()
	f := s.faults
	wait := s.slowness(f)
	s.mu.Unlock()
	if f.Silent {
		<-c.Done()
	}
	if err := s.clock.Sleep(c, wait); err != nil || f.Outage {
		return sched.Page{}, sched.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle(s.clock.Now())
	s.totals.Reads++
	return s.page(name, max(from, 1), limit)
}

func (s *Service) page(name string, from sched.Offset, limit int) (sched.Page, error) {
	st, ok := s.streams[name]
	if !ok {
		return sched.Page{Earliest: 1, Next: 1}, nil
	}
	p := sched.Page{Earliest: st.next - sched.Offset(len(st.records)), Next: st.next}
	if from < p.Earliest {
		return sched.Page{}, &sched.TrimmedError{Stream: name, From: from, Earliest: p.Earliest}
	}
	if from >= p.Next || limit <= 0 {
		return p, nil
	}
	rest := st.records[from-p.Earliest:]
	for _, r := range rest[:min(limit, len(rest))] {
		p.Records = append(p.Records, sched.Record{Offset: r.Offset, Data: slices.Clone(r.Data)})
	}
	return p, nil
}

// slowness draws the delay of one call.
func (s *Service) slowness(f Faults) time.Duration {
	if s.random.Float64() < f.Slow {
		return f.SlowBy
	}
	return 0
}

// settle brings the streams to the given time: late appends take effect, and
// what exceeds the retention is dropped.
func (s *Service) settle(now time.Time) {
	s.late = slices.DeleteFunc(s.late, func(l lateAppend) bool {
		if l.due.After(now) {
			return false
		}
		s.add(l.stream, l.data, l.due)
		return true
	})
	for _, st := range s.streams {
		st.trim(s.retention, now)
	}
}

func (s *Service) add(name string, data []byte, at time.Time) sched.Offset {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{next: 1}
		s.streams[name] = st
	}
	o := st.next
	st.next++
	st.records = append(st.records, record{sched.Record{Offset: o, Data: data}, at})
	st.trim(s.retention, at)
	s.count(st, len(data), at)
	return o
}

func (st *stream) trim(r Retention, now time.Time) {
	drop := 0
	if r.Records > 0 {
		drop = max(0, len(st.records)-r.Records)
	}
	for r.Age > 0 && drop < len(st.records) && now.Sub(st.records[drop].at) > r.Age {
		drop++
	}
	// The slice is not copied on every call, append reallocates it in time.
	st.records = st.records[drop:]
}
