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
	// maxBatchEntries is the largest number of entries of one record.
	maxBatchEntries = 200
	// appendPause is the time between two appends to one stream. With it, 9
	// instances use 45 of the 120 appends per second for task records.
	appendPause = 200 * time.Millisecond
	// maxWaitingEntries bounds the entries that wait for their append, to 50
	// records.
	maxWaitingEntries = 50 * maxBatchEntries
	// readBackPause and readBackTries bound the search for a record whose
	// acknowledgement was lost. Several tries are needed because an append may
	// take effect late.
	readBackPause = 100 * time.Millisecond
	readBackTries = 10
)

// appenderSerialBase is the serial number before that of an appender's first
// record. It keeps them apart from those of the planner, which writes under the
// same id and counts from 1.
const appenderSerialBase = 1 << 32

// taskAppender appends the entries of submissions, cancellations and
// declarations to one task stream, in batches of many entries per record.
type taskAppender struct {
	daemon *Daemon
	stream string
	// serial is the serial number of the newest record.
	serial uint64

	// mu guards waiting and running.
	mu      sync.Mutex
	waiting []submission
	// running is set while a goroutine executes appendWaiting. Only that one
	// uses serial and searchFrom.
	running bool
	// searchFrom is where the search for an unacknowledged record begins: no
	// record that is still to be written can have a smaller offset.
	searchFrom sched.Offset
}

// submission is an entry that waits for its append; done receives the result.
type submission struct {
	entry sched.TaskEntry
	done  chan error
}

// submit appends an entry to the task stream of a data centre and returns nil
// once the log has confirmed it. A *refusal or an error that wraps
// sched.ErrUnavailable means that the entry was not appended; with any other
// error, such as sched.ErrUncertain, this is unknown.
func (d *Daemon) submit(c context.Context, centre sched.DataCentre, e sched.TaskEntry) error {
	v, _ := d.taskAppenders.LoadOrStore(centre, &taskAppender{
		daemon: d, stream: sched.TaskStreamPrefix + string(centre), serial: appenderSerialBase,
	})
	a := v.(*taskAppender)
	x := submission{e, make(chan error, 1)}
	a.mu.Lock()
	if len(a.waiting) >= maxWaitingEntries {
		a.mu.Unlock()
		return refuse(sched.CodeOverloaded, "%d entries wait for %s", maxWaitingEntries, a.stream)
	}
	a.waiting = append(a.waiting, x)
	if !a.running {
		a.running = true
		go a.appendWaiting()
	}
	a.mu.Unlock()
	select {
	case err := <-x.done:
		return err
	case <-c.Done():
		return fmt.Errorf("append to %s: %w", a.stream, sched.ErrUncertain)
	}
}

// appendWaiting appends the waiting entries batch by batch and returns when none
// is left.
func (a *taskAppender) appendWaiting() {
	for {
		a.mu.Lock()
		n := min(len(a.waiting), maxBatchEntries)
		batch := a.waiting[:n:n]
		a.waiting = a.waiting[n:]
		a.running = n > 0
		a.mu.Unlock()
		if n == 0 {
			return
		}
		err := a.appendBatch(batch)
		for _, x := range batch {
			x.done <- err
		}
		_ = a.daemon.Clock.Sleep(context.Background(), appendPause)
	}
}

// appendBatch appends one record with the entries of a batch. If the append's
// acknowledgement is lost, it reads the stream back to find the record.
func (a *taskAppender) appendBatch(batch []submission) error {
	a.serial++
	r := sched.TaskRecord{
		Writer: a.daemon.ID, Incarnation: a.daemon.Incarnation, Serial: a.serial, At: a.daemon.Clock.Now(),
	}
	for _, x := range batch {
		r.Entries = append(r.Entries, x.entry)
	}
	data, err := codec.EncodeTaskRecord(r)
	if err != nil {
		return fmt.Errorf("%w: %w", sched.ErrUnavailable, err)
	}
	if err := a.findEnd(); err != nil {
		return err
	}
	c, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	at, err := a.daemon.Log.Append(c, a.stream, data)
	a.daemon.metrics.appends[appendResultLabel(err)].Inc()
	if err == nil {
		a.searchFrom = max(a.searchFrom, at+1)
		return nil
	}
	if errors.Is(err, sched.ErrUnavailable) {
		return err
	}
	return a.readBack(r.Serial)
}

// findEnd reads the end of the stream before the first append, so that the
// search for an unacknowledged record can begin there.
func (a *taskAppender) findEnd() error {
	if a.searchFrom > 0 {
		return nil
	}
	c, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	p, err := a.daemon.Log.Read(c, a.stream, 1, 1)
	var trimmed *sched.TrimmedError
	if errors.As(err, &trimmed) {
		p, err = a.daemon.Log.Read(c, a.stream, trimmed.Earliest, 1)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", sched.ErrUnavailable, err)
	}
	a.searchFrom = p.Next
	return nil
}

// readBack searches the stream for the appender's record with the serial number.
// It returns an error that wraps sched.ErrUncertain if it does not find the
// record.
func (a *taskAppender) readBack(serial uint64) error {
	from := a.searchFrom
	for range readBackTries {
		c, cancel := context.WithTimeout(context.Background(), readTimeout)
		p, err := a.daemon.Log.Read(c, a.stream, from, taskPageLimit)
		cancel()
		if err == nil {
			for _, r := range p.Records {
				from = r.Offset + 1
				if a.isOwn(r.Data, serial) {
					a.searchFrom = from
					return nil
				}
			}
			if from < p.Next {
				continue
			}
		}
		_ = a.daemon.Clock.Sleep(context.Background(), readBackPause)
	}
	return fmt.Errorf("append to %s was not confirmed: %w", a.stream, sched.ErrUncertain)
}

func (a *taskAppender) isOwn(data []byte, serial uint64) bool {
	r, err := codec.DecodeTaskRecord(data)
	return err == nil && r.Writer == a.daemon.ID && r.Incarnation == a.daemon.Incarnation && r.Serial == serial
}
