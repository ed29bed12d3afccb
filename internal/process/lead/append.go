package lead

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/watch"
)

// minAppendInterval is the least time between two appends of records. Each call
// to the store costs money, and the delay is small against the run time of a
// task.
const minAppendInterval = 20 * time.Millisecond

// appendLoop appends the planner's batches, one at a time. If there is no batch
// within watch.KeepAlive, it appends the term record again as a heartbeat.
func (l *Leader) appendLoop(c context.Context) error {
	timer := time.NewTimer(watch.KeepAlive)
	defer timer.Stop()
	for {
		select {
		case records := <-l.appends:
			sent, err := l.append(c, records)
			if err != nil {
				return l.ended(err)
			}
			l.postUrgent(workAppended, func() { l.planner.Appended(l.Clock.Now(), sent) })
			// Records that arise during the sleep go into the next batch.
			if l.Clock.Sleep(c, minAppendInterval-l.Clock.Now().Sub(sent)) != nil {
				return l.resign()
			}
		case <-timer.C:
			sent, err := l.append(c, []sched.KeyedRecord{{Key: TermKey, Value: l.termRecord}})
			if err != nil {
				return l.ended(err)
			}
			l.postUrgent(workAppended, func() { l.planner.Proven(sent) })
		case d := <-l.holdRequested:
			if t, superseded := l.hold(c, d); superseded {
				return &SupersededError{l.Cell, t}
			}
		case t := <-l.supersededBy:
			return &SupersededError{l.Cell, t}
		case err := <-l.failure:
			return l.ended(err)
		case <-c.Done():
			return l.resign()
		}
		timer.Reset(watch.KeepAlive)
	}
}

// Hold has the planner append nothing for the given time, between two appends, so that
// another instance can append its term. The planner goes on afterwards.
func (l *Leader) Hold(d time.Duration) {
	select {
	case l.holdRequested <- d:
	default:
	}
}

// hold waits for the given time, or until the context ends. It returns earlier with the
// term of another instance that has taken over.
func (l *Leader) hold(c context.Context, d time.Duration) (Term, bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case t := <-l.supersededBy:
		return t, true
	case <-timer.C:
	case <-c.Done():
	}
	return Term{}, false
}

const (
	// attemptTimeout bounds one attempt of an append. A slow store answers after
	// some hundred milliseconds.
	attemptTimeout = 2500 * time.Millisecond
	// maxPendingAttempts bounds the attempts of one append that wait for an
	// answer when a retry is due. Retry may double the number.
	maxPendingAttempts = 6
	// An append without an answer is attempted again, in parallel, after
	// retryFactor times the mean append time, at least minRetryDelay and at
	// most maxRetryDelay. Parallel attempts are safe: they expect the same end
	// of the partition, so at most one of them can succeed.
	retryFactor   = 4
	minRetryDelay = 60 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
	// refusedRetryDelay is the time until the next attempt after one has failed.
	refusedRetryDelay = 60 * time.Millisecond
	// suspectTimeout is the least time that an append may take before OnAppendOverdue is
	// called. From another region an append takes 50 ms.
	suspectTimeout = 120 * time.Millisecond
	// suspectFactor is the same limit in mean append times. lagFactor times the
	// scheduling lag of the process is added to timeouts, since an answer passes
	// through several goroutines, each of which may be delayed.
	suspectFactor = 4
	lagFactor     = 4
	// In the first newTermPeriod of a term the limit is at least
	// newTermSuspectTimeout: the planner took over because it reaches the store,
	// and another takeover would cost its successor the same work again.
	newTermPeriod         = 4 * time.Second
	newTermSuspectTimeout = 600 * time.Millisecond
	// outageTimeout is the least time that an append may take before the planner
	// refuses calls that would wait for the next one; outageFactor is the same
	// limit in mean append times.
	outageTimeout = 400 * time.Millisecond
	outageFactor  = 3
	// meanWeight is the weight of one append in the exponentially weighted moving
	// average of append times.
	meanWeight = 0.2
)

// attemptResult is the result of one attempt of an append.
type attemptResult struct {
	end  sched.Offset
	sent time.Time
	err  error
}

// append adds the records at the end of the partition, with as many attempts as
// that takes, and returns the time at which the successful attempt was sent. The
// error is a *SupersededError if another instance has begun a term, ErrPlannerFailed
// if the planner has panicked, or that of the context when it ends.
func (l *Leader) append(c context.Context, records []sched.KeyedRecord) (time.Time, error) {
	x, cancel := context.WithCancel(context.WithoutCancel(c))
	defer cancel()
	began := l.Clock.Now()
	results := make(chan attemptResult, 2*maxPendingAttempts)
	select {
	case <-l.retryRequested: // was meant for an earlier append
	default:
	}
	l.appendPending.Store(true)
	defer l.appendPending.Store(false)
	pending, failed := 0, false
	// The offset is copied here, since an attempt that starts late must not use
	// the end that this append leaves behind.
	at := l.end
	startAttempt := func() {
		pending++
		go l.attempt(x, at, records, results)
	}
	startAttempt()
	retryTimer := time.NewTimer(l.retryDelay())
	defer retryTimer.Stop()
	for {
		select {
		case o := <-results:
			pending--
			var rival *SupersededError
			switch {
			case o.err == nil:
				l.appended(o, began, failed)
				return o.sent, nil
			case errors.As(o.err, &rival):
				return o.sent, o.err
			case !failed:
				failed = true
				l.Log.Warn("storeLost", zap.Int("records", len(records)), zap.Error(o.err))
			}
			retryTimer.Reset(refusedRetryDelay)
		case <-retryTimer.C:
			if pending < maxPendingAttempts {
				startAttempt()
			}
			retryTimer.Reset(l.retryDelay())
		case <-l.retryRequested:
			if pending < 2*maxPendingAttempts {
				startAttempt()
			}
		case t := <-l.supersededBy:
			return began, &SupersededError{l.Cell, t}
		case err := <-l.failure:
			return began, err
		case <-c.Done():
			return began, c.Err()
		}
		l.checkOverdue(began)
	}
}

// Waiting reports whether an append is in progress that has not succeeded yet.
func (l *Leader) Waiting() bool { return l.appendPending.Load() }

// RetryAppend requests an immediate further attempt of the append in progress, if any.
func (l *Leader) RetryAppend() {
	select {
	case l.retryRequested <- struct{}{}:
	default:
	}
}

// retryDelay is the time after which an append without an answer is attempted
// again.
func (l *Leader) retryDelay() time.Duration {
	return min(max(retryFactor*l.meanAppendTime, minRetryDelay), maxRetryDelay)
}

// appended updates the state of the term after a successful append.
func (l *Leader) appended(o attemptResult, began time.Time, failed bool) {
	now := l.Clock.Now()
	l.meanAppendTime += time.Duration(meanWeight * float64(now.Sub(began)-l.meanAppendTime))
	if failed {
		l.Log.Info("storeBack", zap.Duration("after", now.Sub(began)))
	}
	l.end = o.end
	l.provenAt.Store(o.sent.UnixNano())
}

// attempt sends one append and passes its result on. If the partition ends
// elsewhere, it checks whether an earlier attempt or another instance caused that.
func (l *Leader) attempt(c context.Context, at sched.Offset, records []sched.KeyedRecord, results chan<- attemptResult) {
	x, cancel := context.WithTimeout(c, attemptTimeout)
	defer cancel()
	sent := l.Clock.Now()
	end, err := l.Store.Append(x, Partition(l.Cell), at, records)
	var moved *sched.EndError
	if errors.As(err, &moved) {
		end, err = l.checkOffset(x, at, records)
	}
	results <- attemptResult{end, sent, err}
}

// checkOverdue acts on an append that takes too long: the planner is told to
// refuse calls that can't be recorded in time, and OnAppendOverdue is called, so that an
// instance that reaches the store can take over.
func (l *Leader) checkOverdue(since time.Time) {
	span := l.Clock.Now().Sub(since)
	if span >= max(outageTimeout, outageFactor*l.meanAppendTime) {
		l.postUrgent(workAppended, func() { l.planner.StoreUnavailable(span) })
	}
	if span < l.suspectAfter() || l.OnAppendOverdue == nil || !l.suspecting.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer l.suspecting.Store(false)
		l.OnAppendOverdue()
	}()
}

// suspectAfter is how long an append may take before the planner suspects that
// it no longer reaches the store.
func (l *Leader) suspectAfter() time.Duration {
	d := max(suspectTimeout, suspectFactor*l.meanAppendTime) + lagFactor*l.lag.recent()
	if l.Clock.Now().Sub(l.begunAt) < newTermPeriod {
		return max(d, newTermSuspectTimeout)
	}
	return d
}

// checkOffset reads the record at the offset of a failed append. If it is the
// first of the records, an earlier attempt has succeeded, and the new end is
// returned. Otherwise it should be the term record of another instance, and the
// error is a *SupersededError.
func (l *Leader) checkOffset(c context.Context, at sched.Offset, records []sched.KeyedRecord) (sched.Offset, error) {
	b, err := l.Store.Read(c, Partition(l.Cell), at, 0)
	if err != nil {
		return 0, err
	}
	if len(b.Records) == 0 {
		return 0, sched.ErrUnavailable
	}
	first := b.Records[0]
	if first.Key == records[0].Key && string(first.Value) == string(records[0].Value) {
		return at + sched.Offset(len(records)), nil
	}
	t, err := decodeTerm(first)
	if err != nil || first.Key != TermKey {
		l.Log.Error("foreignRecord", zap.String("key", first.Key), zap.Int64("offset", int64(at)))
	}
	return 0, &SupersededError{l.Cell, t}
}

// ended resigns if the planner has failed, and returns the error that ends the term.
func (l *Leader) ended(err error) error {
	if !errors.Is(err, ErrPlannerFailed) {
		return err
	}
	return errors.Join(err, l.resign())
}

// resignTimeout bounds the last append of a planner that stops.
const resignTimeout = 500 * time.Millisecond

// resign appends a record that ends the term, so that the next planner can begin
// without waiting. The attempt is made only once: a failure delays the takeover.
func (l *Leader) resign() error {
	t := l.Term
	t.Ended = true
	value, err := t.encode()
	if err != nil {
		return err
	}
	x, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	if _, err := l.Store.Append(x, Partition(l.Cell), l.end, []sched.KeyedRecord{{Key: TermKey, Value: value}}); err != nil {
		l.Log.Warn("resignFailed", zap.Error(err))
	}
	return nil
}
