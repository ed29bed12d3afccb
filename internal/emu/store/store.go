package store

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Store holds the records of all partitions in memory. Exported fields are set
// before the first call. It is safe for concurrent use.
type Store struct {
	// Retention is the retention time of the history. With 0 it never expires.
	Retention time.Duration
	// MaxRecordBytes limits the size of one record, and MaxAppendBytes that of one
	// append. With 0 the platform's default limits apply.
	MaxRecordBytes, MaxAppendBytes int

	mu         sync.Mutex
	partitions map[sched.Partition]*partition
	appends    int64
	bytesAdded int64
}

// partition holds the records from the offset first on, and the newest record of
// each key.
type partition struct {
	first   sched.Offset
	records []storedRecord
	newest  map[string]sched.KeyedRecord
	// appended is closed by the next append and then replaced.
	appended chan struct{}
}

type storedRecord struct {
	sched.KeyedRecord
	appendedAt time.Time
}

const (
	// pageItems and pageBytes limit a page of the newest records. The record that
	// exceeds pageBytes is still part of the page.
	pageItems = 500
	pageBytes = 1 << 20
	// readBytes limits one read. The record that exceeds it is still returned.
	readBytes = 1 << 20
	// defaultRecordBytes and defaultCallBytes are the platform's limits.
	defaultRecordBytes = 256 << 10
	defaultCallBytes   = 2 << 20
)

// ErrTooLarge reports an append that exceeds a size limit. No record was added.
var ErrTooLarge = errors.New("records exceed the size limits of the store")

func (s *Store) partition(p sched.Partition) *partition {
	if s.partitions == nil {
		s.partitions = map[sched.Partition]*partition{}
	}
	x := s.partitions[p]
	if x == nil {
		x = &partition{newest: map[string]sched.KeyedRecord{}, appended: make(chan struct{})}
		s.partitions[p] = x
	}
	return x
}

func (p *partition) end() sched.Offset { return p.first + sched.Offset(len(p.records)) }

// expire removes records older than keep from the history.
func (p *partition) expire(now time.Time, keep time.Duration) {
	n := 0
	for keep > 0 && n < len(p.records) && now.Sub(p.records[n].appendedAt) > keep {
		n++
	}
	p.records = slices.Delete(p.records, 0, n)
	p.first += sched.Offset(n)
}

// Append adds records if the partition ends at the given offset, or
// unconditionally if that is sched.AnyEnd, and returns the new end. With another
// end it returns a *sched.EndError. A record without a value deletes its key.
func (s *Store) Append(
	now time.Time, at sched.Partition, offset sched.Offset, records []sched.KeyedRecord,
) (sched.Offset, error) {
	if err := s.checkSize(records); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(at)
	p.expire(now, s.Retention)
	if offset != sched.AnyEnd && offset != p.end() {
		return 0, &sched.EndError{Partition: at, Expected: offset, End: p.end()}
	}
	for _, r := range records {
		r.Offset = p.end()
		r.Value = slices.Clone(r.Value)
		p.records = append(p.records, storedRecord{r, now})
		if len(r.Value) == 0 {
			delete(p.newest, r.Key)
		} else {
			p.newest[r.Key] = r
		}
		s.bytesAdded += int64(len(r.Key) + len(r.Value))
	}
	s.appends++
	close(p.appended)
	p.appended = make(chan struct{})
	return p.end(), nil
}

func (s *Store) checkSize(records []sched.KeyedRecord) error {
	sum := 0
	for _, r := range records {
		n := len(r.Key) + len(r.Value)
		if n > cmp.Or(s.MaxRecordBytes, defaultRecordBytes) {
			return fmt.Errorf("%w: %w: record %s has %d bytes", sched.ErrUnavailable, ErrTooLarge, r.Key, n)
		}
		sum += n
	}
	if sum > cmp.Or(s.MaxAppendBytes, defaultCallBytes) {
		return fmt.Errorf("%w: %w: append of %d bytes", sched.ErrUnavailable, ErrTooLarge, sum)
	}
	return nil
}

// Read returns records from the given offset on, and a channel that is closed by
// the next append to the partition. It returns a *sched.TrimmedError if the
// offset lies before the history.
func (s *Store) Read(now time.Time, at sched.Partition, from sched.Offset) (sched.Batch, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(at)
	p.expire(now, s.Retention)
	if from < p.first {
		return sched.Batch{}, nil, &sched.TrimmedError{Stream: at.Topic, From: from, Earliest: p.first}
	}
	b := sched.Batch{End: p.end()}
	size := 0
	for k := from - p.first; k < sched.Offset(len(p.records)) && size < readBytes; k++ {
		r := p.records[k].KeyedRecord
		size += len(r.Key) + len(r.Value)
		b.Records = append(b.Records, r)
	}
	return b, p.appended, nil
}

// Newest returns the newest records of the keys that sort after the given one,
// as one page. More is set if further keys follow.
func (s *Store) Newest(now time.Time, at sched.Partition, after string) sched.NewestPage {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(at)
	p.expire(now, s.Retention)
	page := sched.NewestPage{End: p.end()}
	size := 0
	for _, k := range slices.Sorted(maps.Keys(p.newest)) {
		if k <= after && after != "" {
			continue
		}
		if len(page.Records) == pageItems || size > pageBytes {
			page.More = true
			break
		}
		r := p.newest[k]
		size += len(r.Key) + len(r.Value)
		page.Records = append(page.Records, r)
	}
	return page
}

// TrimHistory removes the history of a partition. The newest record of each key
// stays.
func (s *Store) TrimHistory(at sched.Partition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(at)
	p.first, p.records = p.end(), nil
}

// Counts returns the number of successful appends and the bytes of keys and
// values that they added.
func (s *Store) Counts() (appends, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends, s.bytesAdded
}
