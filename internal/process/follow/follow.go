package follow

import (
	"context"
	"errors"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/stall"
)

const (
	// callTimeout bounds the wait for the first data of a read, in addition to the
	// time for which the store may wait for new records.
	callTimeout = 1200 * time.Millisecond
	// idleTimeout bounds the wait for further data of a read. It is several round
	// trips between regions over a full link.
	idleTimeout = 900 * time.Millisecond
	// transferTimeout bounds the transfer of the data of one read. After a restart of
	// all instances those of the other region read the same records over one link at
	// the same time: 20 reads of 400 KB take a second of 60 Mbit/s.
	transferTimeout = 10 * time.Second
	// retryDelay is the time between a failed read and the next one.
	retryDelay = 150 * time.Millisecond
)

// Follower passes on the records of one partition. Exported fields are set before
// the first call. It isn't safe for concurrent use.
type Follower struct {
	Store     sched.Store
	Partition sched.Partition
	Clock     sched.Clock
	// Wait is how long a read waits for new records at the store.
	Wait time.Duration
	// ReadInterval is the time between the end of a read and the next one. It bounds the
	// rate of reads.
	ReadInterval time.Duration
	// OnFullRead is called with the newest record of every key, OnAppended with the records
	// appended since. Whole is called first, and again if records have expired
	// before they were read.
	OnFullRead func(records []sched.KeyedRecord)
	OnAppended func(records []sched.KeyedRecord)
	// OnRead is called after each successful read, and after the functions above. It may be
	// nil.
	OnRead func()
	// OnError is called by Run with the error of every failed read, and with nil
	// after the first read that succeeds again. It may be nil.
	OnError func(err error)

	offset sched.Offset // where the next read begins
	loaded bool         // Whole has been called
	failed bool         // the last read failed
	// failures counts the failed reads in a row, and sent is when the newest read that has
	// succeeded was sent.
	failures int
	sent     time.Time
}

// Run follows the partition until the context ends.
func (f *Follower) Run(c context.Context) {
	for c.Err() == nil {
		err := f.Step(c)
		pause := f.ReadInterval
		if err != nil {
			pause = retryDelay
		}
		if c.Err() == nil {
			f.report(err)
		}
		if f.Clock.Sleep(c, pause) != nil {
			return
		}
	}
}

func (f *Follower) report(err error) {
	if f.OnError != nil && (err != nil || f.failed) {
		f.OnError(err)
	}
	f.failed = err != nil
}

// Step makes one read: of the whole partition the first time and when records have
// expired, else of the records appended since.
func (f *Follower) Step(c context.Context) error {
	if !f.loaded {
		return f.ReadWhole(c)
	}
	sent := f.Clock.Now()
	b, err := f.readAppended(c)
	var trimmed *sched.TrimmedError
	if errors.As(err, &trimmed) {
		return f.ReadWhole(c)
	}
	if err != nil {
		f.failures++
		return err
	}
	f.sent, f.failures = sent, 0
	f.offset += sched.Offset(len(b.Records))
	if len(b.Records) > 0 {
		f.OnAppended(b.Records)
	}
	f.succeeded()
	return nil
}

// readAppended reads the records appended since the last read. After a read that failed it
// doesn't wait for new ones, and its timeouts are attemptTimeouts in turn: a store that has
// just recovered may never answer the calls from before.
func (f *Follower) readAppended(c context.Context) (sched.Batch, error) {
	wait, timeout := f.Wait, f.Wait+callTimeout
	if f.failures > 0 {
		wait, timeout = 0, attemptTimeouts[(f.failures-1)%len(attemptTimeouts)]
	}
	x, cancel := readLimits(timeout).Context(c)
	defer cancel()
	return f.Store.Read(x, f.Partition, f.offset, wait)
}

// succeeded calls OnRead.
func (f *Follower) succeeded() {
	if f.OnRead != nil {
		f.OnRead()
	}
}

// ReadWhole reads the newest record of every key and calls OnFullRead. The pages aren't a
// snapshot, so the next read begins at the end of the partition as of the first
// page; some records are then passed on twice.
func (f *Follower) ReadWhole(c context.Context) error {
	sent := f.Clock.Now()
	records, end, err := Newest(c, f.Store, f.Partition)
	if err != nil {
		f.failures++
		return err
	}
	f.offset, f.sent, f.loaded, f.failures = end, sent, true, 0
	f.OnFullRead(records)
	f.succeeded()
	return nil
}

// Offset returns the offset at which the next read begins.
func (f *Follower) Offset() sched.Offset { return f.offset }

// Sent returns when the newest read that has succeeded was sent. Its result holds at least
// what was appended before.
func (f *Follower) Sent() time.Time { return f.sent }

// Newest returns the newest record of every key of a partition, and the end of the
// partition as of the first page.
func Newest(c context.Context, s sched.Store, p sched.Partition) ([]sched.KeyedRecord, sched.Offset, error) {
	var all []sched.KeyedRecord
	var end sched.Offset
	after := ""
	for first := true; ; first = false {
		page, err := ReadWithRetry(c, func(x context.Context) (sched.NewestPage, error) { return s.Newest(x, p, after) })
		if err != nil {
			return nil, 0, err
		}
		if first {
			end = page.End
		}
		all = append(all, page.Records...)
		if !page.More || len(page.Records) == 0 {
			return all, end, nil
		}
		after = page.Records[len(page.Records)-1].Key
	}
}

// readLimits returns the limits of a read whose first data must arrive within the given
// time.
func readLimits(first time.Duration) stall.Limits {
	return stall.Limits{First: first, Idle: idleTimeout, Total: first + transferTimeout}
}

// attemptTimeouts bounds the wait for the first data of the attempts of a read. A store
// that has just recovered may never answer earlier calls, so the first attempt is short.
// A slow store needs the last timeout.
var attemptTimeouts = []time.Duration{300 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond}

// ReadWithRetry makes a read and repeats it, with a longer timeout, after an attempt that
// timed out. It gives up after the last of attemptTimeouts. A read that makes progress isn't
// aborted, since the next one would transfer the same data again.
func ReadWithRetry[T any](c context.Context, read func(context.Context) (T, error)) (T, error) {
	var t T
	var err error
	for _, d := range attemptTimeouts {
		x, cancel := readLimits(d).Context(c)
		t, err = read(x)
		timedOut := x.Err() != nil
		cancel()
		if err == nil || !timedOut || c.Err() != nil {
			break
		}
	}
	return t, err
}
