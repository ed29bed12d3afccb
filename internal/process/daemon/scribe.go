package daemon

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// scribeBatch bounds the entries of one record.
	scribeBatch = 200
	// scribePause spaces the appends of one stream: with 9 instances this is
	// 45 of the 120 appends a second for task records.
	scribePause = 200 * time.Millisecond
	// maxWaiting bounds the entries that wait for their append, 50 batches.
	maxWaiting = 50 * scribeBatch
	// readBackPause and readBackTries bound the search for a record whose
	// acknowledgement was lost. An append may take effect late.
	readBackPause = 100 * time.Millisecond
	readBackTries = 10
)

// scribeSerials is where a scribe begins to number its records, far from the
// planner, which numbers those of the same writer from 1 on.
const scribeSerials = 1 << 32

// scribe appends the entries of callers to one task stream, many per record.
type scribe struct {
	d      *Daemon
	stream string
	serial uint64

	mu      sync.Mutex
	waiting []submission
	running bool
	// end is an offset before which no record of the scribe that is being
	// written can be.
	end sched.Offset
}

type submission struct {
	entry sched.TaskEntry
	done  chan error
}

// submit appends an entry to the task stream of a data centre and returns nil
// once it is confirmed, an error that is sched.ErrUnavailable if it was not
// appended, and any other error if that is unknown.
func (d *Daemon) submit(c context.Context, centre sched.DataCentre, e sched.TaskEntry) error {
	v, _ := d.scribes.LoadOrStore(centre, &scribe{
		d: d, stream: sched.TaskStreamPrefix + string(centre), serial: scribeSerials,
	})
	s := v.(*scribe)
	x := submission{e, make(chan error, 1)}
	s.mu.Lock()
	if len(s.waiting) >= maxWaiting {
		s.mu.Unlock()
		return refuse(sched.CodeOverloaded, "%d entries wait for %s", maxWaiting, s.stream)
	}
	s.waiting = append(s.waiting, x)
	if !s.running {
		s.running = true
		go s.run()
	}
	s.mu.Unlock()
	select {
	case err := <-x.done:
		return err
	case <-c.Done():
		return fmt.Errorf("append to %s: %w", s.stream, sched.ErrUncertain)
	}
}

// run appends what is waiting and ends when nothing is.
func (s *scribe) run() {
	for {
		s.mu.Lock()
		n := min(len(s.waiting), scribeBatch)
		batch := s.waiting[:n:n]
		s.waiting = s.waiting[n:]
		s.running = n > 0
		s.mu.Unlock()
		if n == 0 {
			return
		}
		err := s.write(batch)
		for _, x := range batch {
			x.done <- err
		}
		_ = s.d.Clock.Sleep(context.Background(), scribePause)
	}
}

func (s *scribe) write(batch []submission) error {
	s.serial++
	r := sched.TaskRecord{
		Writer: s.d.ID, Incarnation: s.d.Incarnation, Serial: s.serial, At: s.d.Clock.Now(),
	}
	for _, x := range batch {
		r.Entries = append(r.Entries, x.entry)
	}
	data, err := codec.EncodeTaskRecord(r)
	if err != nil {
		return fmt.Errorf("%w: %w", sched.ErrUnavailable, err)
	}
	if err := s.findEnd(); err != nil {
		return err
	}
	c, cancel := context.WithTimeout(context.Background(), appendTime)
	defer cancel()
	at, err := s.d.Log.Append(c, s.stream, data)
	s.d.meters.appends[appendResult(err)].Inc()
	if err == nil {
		s.end = max(s.end, at+1)
		return nil
	}
	if errors.Is(err, sched.ErrUnavailable) {
		return err
	}
	return s.readBack(r.Serial)
}

// findEnd learns the end of the stream once, so that a lost record is looked
// for only behind it.
func (s *scribe) findEnd() error {
	if s.end > 0 {
		return nil
	}
	c, cancel := context.WithTimeout(context.Background(), readTime)
	defer cancel()
	p, err := s.d.Log.Read(c, s.stream, 1, 1)
	var trimmed *sched.TrimmedError
	if errors.As(err, &trimmed) {
		p, err = s.d.Log.Read(c, s.stream, trimmed.Earliest, 1)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", sched.ErrUnavailable, err)
	}
	s.end = p.Next
	return nil
}

// readBack looks for the record with the serial number.
func (s *scribe) readBack(serial uint64) error {
	from := s.end
	for range readBackTries {
		c, cancel := context.WithTimeout(context.Background(), readTime)
		p, err := s.d.Log.Read(c, s.stream, from, taskLimit)
		cancel()
		if err == nil {
			for _, r := range p.Records {
				from = r.Offset + 1
				if s.isOwn(r.Data, serial) {
					s.end = from
					return nil
				}
			}
			if from < p.Next {
				continue
			}
		}
		_ = s.d.Clock.Sleep(context.Background(), readBackPause)
	}
	return fmt.Errorf("append to %s was not confirmed: %w", s.stream, sched.ErrUncertain)
}

func (s *scribe) isOwn(data []byte, serial uint64) bool {
	r, err := codec.DecodeTaskRecord(data)
	return err == nil && r.Writer == s.d.ID && r.Incarnation == s.d.Incarnation && r.Serial == serial
}
