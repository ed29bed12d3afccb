package busy

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// Meter sums up the work of one thread since the last Take. It isn't safe for concurrent
// use.
type Meter struct {
	works       map[string]Work
	busy        time.Duration
	longestWait time.Duration
	since       time.Time
}

// Work is the work of one kind in a period. Time includes the time in which the thread was
// ready to run and had no processor.
type Work struct {
	Kind  string
	Count int64
	Time  time.Duration
}

// Report is what a thread has done in a period.
type Report struct {
	Period time.Duration
	// Busy is the time in which it handled messages, LongestWait the longest time that
	// a message waited before it was handled.
	Busy, LongestWait time.Duration
	// Works holds each kind of work that was done, the one that took the longest first.
	Works []Work
}

// Share returns the part of the period in which the thread was busy, 0 for an empty period.
func (r Report) Share() float64 {
	if r.Period <= 0 {
		return 0
	}
	return float64(r.Busy) / float64(r.Period)
}

// New returns a meter whose first period begins now.
func New(now time.Time) *Meter { return &Meter{works: map[string]Work{}, since: now} }

// Add counts work of a kind and the time that it took.
func (m *Meter) Add(kind string, took time.Duration) {
	w := m.works[kind]
	m.works[kind] = Work{kind, w.Count + 1, w.Time + took}
	m.busy += took
}

// Waited records how long a message has waited.
func (m *Meter) Waited(d time.Duration) { m.longestWait = max(m.longestWait, d) }

// Age returns the time since the period began.
func (m *Meter) Age(now time.Time) time.Duration { return now.Sub(m.since) }

// Take returns what was done in the period that ends now, and begins the next one.
func (m *Meter) Take(now time.Time) Report {
	r := Report{Period: m.Age(now), Busy: m.busy, LongestWait: m.longestWait}
	for _, w := range m.works {
		r.Works = append(r.Works, w)
	}
	slices.SortFunc(r.Works, func(a, b Work) int { return cmp.Or(cmp.Compare(b.Time, a.Time), cmp.Compare(a.Kind, b.Kind)) })
	*m = *New(now)
	return r
}

// ProcessorTime returns the processor time that this process has used so far, in user and
// in system mode.
func ProcessorTime() (time.Duration, error) {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0, fmt.Errorf("read the processor time of this process: %w", err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}
