package logsvc

import (
	"maps"
	"time"
)

// StreamCounts is what the log saw of one stream.
type StreamCounts struct {
	Appends int64 `json:"appends"`
	Bytes   int64 `json:"bytes"`
	// PeakPerSecond is the largest number of appends in one second.
	PeakPerSecond int64 `json:"peakPerSecond"`

	second  int64
	current int64
}

// Counts is what the log itself counted, independent of its callers.
type Counts struct {
	Appends       int64                   `json:"appends"`
	Bytes         int64                   `json:"bytes"`
	PeakPerSecond int64                   `json:"peakPerSecond"`
	Reads         int64                   `json:"reads"`
	Refused       int64                   `json:"refused"`
	LostAnswers   int64                   `json:"lostAnswers"`
	LateEffects   int64                   `json:"lateEffects"`
	Streams       map[string]StreamCounts `json:"streams"`
	// Seconds holds the appends of each of the last secondsKept seconds that
	// had any, by Unix time.
	Seconds map[int64]int64 `json:"-"`
}

// secondsKept bounds the memory of a long run; one hour covers a soak.
const secondsKept = 3600

// Counts returns a copy of the counts.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle(s.clock.Now())
	c := s.totals
	c.Seconds = maps.Clone(c.Seconds)
	c.Streams = make(map[string]StreamCounts, len(s.streams))
	for name, st := range s.streams {
		c.Streams[name] = st.counts
	}
	return c
}

func (s *Service) count(st *stream, size int, at time.Time) {
	second := at.Unix()
	if st.counts.second != second {
		st.counts.second, st.counts.current = second, 0
	}
	st.counts.current++
	st.counts.Appends++
	st.counts.Bytes += int64(size)
	st.counts.PeakPerSecond = max(st.counts.PeakPerSecond, st.counts.current)
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
