package logsvc

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Retention limits the number and age of the records in a stream. A field of 0
// means no limit.
type Retention struct {
	Records int
	Age     time.Duration
}

// Faults configures the failures of the log. Slow, LostAnswer and LateEffect are
// probabilities per call, from 0 to 1.
type Faults struct {
	// Outage refuses every call with sched.ErrUnavailable.
	Outage bool
	// Silent leaves every call without an answer until its context ends. No
	// append takes effect.
	Silent bool
	// Slow is the probability that the answer of a call is delayed by SlowBy.
	Slow   float64
	SlowBy time.Duration
	// LostAnswer is the probability that an append takes effect and its answer
	// is lost.
	LostAnswer float64
	// LateEffect is the probability that an append returns
	// sched.ErrUncertain and takes effect LateBy later.
	LateEffect float64
	LateBy     time.Duration
}

// Service is the append-only log in memory. It is safe for use by many goroutines.
type Service struct {
	clock sched.Clock

	mu          sync.Mutex
	random      *rand.Rand
	retention   Retention
	faults      Faults
	streams     map[string]*stream
	lateAppends []lateAppend
	totals      Counts
}

type stream struct {
	records []record
	next    sched.Offset
	counts  StreamCounts
}

type record struct {
	sched.Record
	appendedAt time.Time
}

// lateAppend is an append that takes effect at due.
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

// SetFaults replaces the fault configuration. Late appends that were drawn before
// still take effect.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the fault configuration in force.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetRetention replaces the retention limits, also for records in the log.
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
	wait := s.drawDelay(f)
	now := s.clock.Now()
	s.advanceTo(now)
	if s.random.Float64() < f.LateEffect {
		s.lateAppends = append(s.lateAppends, lateAppend{now.Add(f.LateBy), name, data})
		s.totals.LateEffects++
		s.mu.Unlock()
		return 0, sched.ErrUncertain
	}
	o := s.appendRecord(name, data, now)
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
	wait := s.drawDelay(f)
	s.mu.Unlock()
	if f.Silent {
		<-c.Done()
	}
	if err := s.clock.Sleep(c, wait); err != nil || f.Outage {
		return sched.Page{}, sched.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceTo(s.clock.Now())
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

// drawDelay returns the delay of one call, drawn with the probability Slow.
func (s *Service) drawDelay(f Faults) time.Duration {
	if s.random.Float64() < f.Slow {
		return f.SlowBy
	}
	return 0
}

// advanceTo brings the streams to the given time: late appends that are due take
// effect, and records beyond the retention limits are dropped. The caller holds
// s.mu.
func (s *Service) advanceTo(now time.Time) {
	s.lateAppends = slices.DeleteFunc(s.lateAppends, func(l lateAppend) bool {
		if l.due.After(now) {
			return false
		}
		s.appendRecord(l.stream, l.data, l.due)
		return true
	})
	for _, st := range s.streams {
		st.trim(s.retention, now)
	}
}

func (s *Service) appendRecord(name string, data []byte, at time.Time) sched.Offset {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{next: 1}
		s.streams[name] = st
	}
	o := st.next
	st.next++
	st.records = append(st.records, record{sched.Record{Offset: o, Data: data}, at})
	st.trim(s.retention, at)
	s.countAppend(st, len(data), at)
	return o
}

func (st *stream) trim(r Retention, now time.Time) {
	drop := 0
	if r.Records > 0 {
		drop = max(0, len(st.records)-r.Records)
	}
	for r.Age > 0 && drop < len(st.records) && now.Sub(st.records[drop].appendedAt) > r.Age {
		drop++
	}
	// Dropped records stay in the backing array until append reallocates it.
	// Copying the slice on every call would cost more.
	st.records = st.records[drop:]
}
