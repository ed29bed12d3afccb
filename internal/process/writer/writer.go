package writer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/parsleybarrow/parsleybarrow/pkg/frame"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// State is what became of an item.
type State int

// States of items.
const (
	// Appended means that the item is in the log at Result.Offset.
	Appended State = iota + 1
	// NotAppended means that the item is not in the log and never will be.
	NotAppended
	// Unknown means that the item may be in the log or still get there.
	Unknown
)

// Result says what became of an item.
type Result struct {
	State  State
	Offset sched.Offset
	// Index is the item's position in its record.
	Index int
	// Err is the reason unless State is Appended.
	Err error
}

// ErrFull reports that the queue has no room for an item.
var ErrFull = errors.New("append queue is full")

// ErrClosed reports that the writer has stopped.
var ErrClosed = errors.New("writer has stopped")

// Defaults of Writer.
const (
	DefaultRate       = 10.0 // appends per second
	DefaultQueueItems = 10_000
	DefaultQueueBytes = 16 << 20
	DefaultBatchItems = 2_000
	DefaultBatchBytes = 512 << 10
	DefaultPatience   = 2 * time.Second
)

// Writer appends items to one stream. Set the exported fields before Run. It
// is safe for use by many goroutines.
type Writer struct {
	Log    sched.Log
	Clock  sched.Clock
	Stream string
	// Name is unique to this writer: no other writer of the stream, of an
	// earlier incarnation either, has it.
	Name string
	// QueueItems and QueueBytes bound what waits. BatchItems and BatchBytes
	// bound one record; a larger item goes alone.
	QueueItems int
	QueueBytes int
	BatchItems int
	BatchBytes int
	// Patience is how long the writer waits for an append with a lost answer
	// to be read back before it reports Unknown and goes on.
	Patience time.Duration
	// Uncertain is called when an answer was lost, if it is set; it should
	// make the tail read soon.
	Uncertain func()

	limiter *rate.Limiter
	wake    chan struct{}
	count   uint64

	mu       sync.Mutex
	queue    []item
	bytes    int
	closed   bool
	inFlight *pending
}

type item struct {
	data []byte
	done func(Result)
}

// pending is the record that is being appended.
type pending struct {
	id    string
	items []item
	// seen gets the offset at which the record was read back.
	seen chan sched.Offset
}

// New returns a writer with the default bounds.
func New(log sched.Log, clock sched.Clock, stream, name string) *Writer {
	w := &Writer{
		Log: log, Clock: clock, Stream: stream, Name: name,
		QueueItems: DefaultQueueItems, QueueBytes: DefaultQueueBytes,
		BatchItems: DefaultBatchItems, BatchBytes: DefaultBatchBytes,
		Patience: DefaultPatience, wake: make(chan struct{}, 1),
		limiter: rate.NewLimiter(DefaultRate, 1),
	}
	return w
}

// slowestRate keeps a mistaken rate of 0 from stopping a writer for good, in
// appends per second.
const slowestRate = 0.01

// SetRate sets the largest number of appends per second. It takes effect with
// the next append.
func (w *Writer) SetRate(perSecond float64) {
	w.limiter.SetLimitAt(w.Clock.Now(), rate.Limit(max(perSecond, slowestRate)))
}

// Enqueue queues an item. It returns ErrFull or ErrClosed, and done is not
// called then; otherwise done is called once, from the goroutine of Run, and
// must not block. The data must not change afterwards.
func (w *Writer) Enqueue(data []byte, done func(Result)) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return ErrClosed
	}
	if len(w.queue) >= w.QueueItems || w.bytes+len(data) > w.QueueBytes {
		return fmt.Errorf("stream %s: %w: %d items, %d bytes", w.Stream, ErrFull, len(w.queue), w.bytes)
	}
	w.queue = append(w.queue, item{data, done})
	w.bytes += len(data)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return nil
}

// Append queues an item and waits for its result. When the context ends first
// the result is Unknown, since the item stays queued.
func (w *Writer) Append(c context.Context, data []byte) Result {
	result := make(chan Result, 1)
	if err := w.Enqueue(data, func(r Result) { result <- r }); err != nil {
		return Result{State: NotAppended, Err: err}
	}
	select {
	case r := <-result:
		return r
	case <-c.Done():
		return Result{State: Unknown, Err: c.Err()}
	}
}

// Backlog returns the number of queued items, those in flight not included.
func (w *Writer) Backlog() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue)
}

// Idle tells whether nothing is queued or in flight.
func (w *Writer) Idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue) == 0 && w.inFlight == nil
}

// Seen tells the writer that a frame with the given id was read at the given
// offset. It does not block.
func (w *Writer) Seen(id string, at sched.Offset) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inFlight != nil && w.inFlight.id == id {
		select {
		case w.inFlight.seen <- at:
		default: // read twice, the first offset counts
		}
	}
}

// Run appends until the context ends. Items that are still queued then are
// NotAppended. It returns the context's error.
func (w *Writer) Run(c context.Context) error {
	defer w.close()
	for c.Err() == nil {
		select {
		case <-w.wake:
		case <-c.Done():
			return c.Err()
		}
		for w.Backlog() > 0 {
			now := w.Clock.Now()
			if err := w.Clock.Sleep(c, w.limiter.ReserveN(now, 1).DelayFrom(now)); err != nil {
				return err
			}
			w.nextBatch()
			w.complete(w.send(c))
		}
	}
	return c.Err()
}

// nextBatch moves the next batch from the queue into flight.
func (w *Writer) nextBatch() {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, size := 0, 0
	for n < len(w.queue) && n < w.BatchItems {
		size += len(w.queue[n].data)
		if n > 0 && size > w.BatchBytes {
			size -= len(w.queue[n].data)
			break
		}
		n++
	}
	w.count++
	w.inFlight = &pending{
		id:    fmt.Sprintf("%s/%d", w.Name, w.count),
		items: append([]item(nil), w.queue[:n]...),
		seen:  make(chan sched.Offset, 1),
	}
	w.queue = append([]item(nil), w.queue[n:]...)
	w.bytes -= size
}

// send appends the record in flight, once, and finds out what became of it.
func (w *Writer) send(c context.Context) Result {
	f := w.inFlight
	r := frame.Frame{ID: f.id}
	for _, i := range f.items {
		r.Items = append(r.Items, i.data)
	}
	o, err := w.Log.Append(c, w.Stream, frame.Encode(r))
	switch {
	case err == nil:
		return Result{State: Appended, Offset: o}
	case errors.Is(err, sched.ErrUnavailable):
		return Result{State: NotAppended, Err: err}
	}
	if w.Uncertain != nil {
		w.Uncertain()
	}
	wait, cancel := context.WithCancel(c)
	defer cancel()
	found := make(chan sched.Offset, 1)
	go func() {
		defer cancel()
		select {
		case o := <-f.seen:
			found <- o
		case <-wait.Done():
		}
	}()
	_ = w.Clock.Sleep(wait, w.Patience) // ends early when the record is seen
	cancel()
	select {
	case o := <-found:
		return Result{State: Appended, Offset: o}
	case o := <-f.seen:
		return Result{State: Appended, Offset: o}
	default:
		return Result{State: Unknown, Err: err}
	}
}

// complete tells the waiters of the record in flight.
func (w *Writer) complete(r Result) {
	w.mu.Lock()
	f := w.inFlight
	w.inFlight = nil
	w.mu.Unlock()
	for n, i := range f.items {
		one := r
		if r.State == Appended {
			one.Index = n
		}
		i.done(one)
	}
}

func (w *Writer) close() {
	w.mu.Lock()
	rest := w.queue
	w.queue, w.bytes, w.closed = nil, 0, true
	w.mu.Unlock()
	for _, i := range rest {
		i.done(Result{State: NotAppended, Err: ErrClosed})
	}
}
