package logsvc

import (
	"maps"
	"time"
)

// StreamCounts holds the totals of one stream. Bytes is the size of all appended
// records.
type StreamCounts struct {
	Appends int64 `json:"appends"`
	Bytes   int64 `json:"bytes"`
	// PeakPerSecond is the largest number of appends in one second of the clock.
	PeakPerSecond int64 `json:"peakPerSecond"`

	currentSecond  int64 // Unix time of the latest append
	currentAppends int64 // appends in currentSecond
}

// Counts holds the totals of the log, counted at the log itself and independent
// of its callers. Refused counts appends refused by an outage, LostAnswers and
// LateEffects count appends by the faults of these names.
type Counts struct {
	Appends       int64                   `json:"appends"`
	Bytes         int64                   `json:"bytes"`
	PeakPerSecond int64                   `json:"peakPerSecond"`
	Reads         int64                   `json:"reads"`
	Refused       int64                   `json:"refused"`
	LostAnswers   int64                   `json:"lostAnswers"`
	LateEffects   int64                   `json:"lateEffects"`
	Streams       map[string]StreamCounts `json:"streams"`
	// Seconds holds the number of appends in each second that had any, by Unix
	// time. Seconds older than secondsKept are dropped once there are more than
	// secondsKept entries.
	Seconds map[int64]int64 `json:"-"`
}

// secondsKept bounds the memory of a long run. One hour is enough for a soak test.
const secondsKept = 3600

// Counts returns a copy of the counts.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceTo(s.clock.Now())
	c := s.totals
	c.Seconds = maps.Clone(c.Seconds)
	c.Streams = make(map[string]StreamCounts, len(s.streams))
	for name, st := range s.streams {
		c.Streams[name] = st.counts
	}
	return c
}

// countAppend adds one append of the given size to the totals. The caller holds
// s.mu.
func (s *Service) countAppend(st *stream, size int, at time.Time) {
	second := at.Unix()
	if st.counts.currentSecond != second {
		st.counts.currentSecond, st.counts.currentAppends = second, 0
	}
	st.counts.currentAppends++
	st.counts.Appends++
	st.counts.Bytes += int64(size)
	st.counts.PeakPerSecond = max(st.counts.PeakPerSecond, st.counts.currentAppends)
	if s.totals.Seconds == nil {
		s.totals.Seconds = map[int64]int64{}
	}
	s.totals.Seconds[second]++
	if len(s.totals.Seconds) > secondsKept {
		maps.DeleteFunc(s.totals.Seconds, func(at, _ int64) bool { return at < second-secondsKept })
	}
	s.totals.Appends++
	s.totals.Bytes += int64(size)
	s.totals.PeakPerSecond = max(s.totals.PeakPerSecond, s.totals.Seconds[second])
}
