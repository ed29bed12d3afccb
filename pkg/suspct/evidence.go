package suspct

import (
	"math"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// The evidence against a worker is a one-sided cumulative sum (CUSUM) of the
// log likelihood ratios of its ends, "every task fails" against "tasks fail as
// often as on other workers". The sum is clamped at zero, so that a long run of
// successes does not hide a worker that starts to fail.
const (
	// brokenFailureRate is the probability that a broken worker fails a task.
	brokenFailureRate = 0.95
	// minFailureRate and maxFailureRate bound the estimated failure probability
	// on other workers, so that no single end decides.
	minFailureRate = 0.02
	maxFailureRate = 0.9
	// priorFailures and priorEnds are the prior counts of a kind, added to the
	// observed ones.
	priorFailures = 0.4
	priorEnds     = 2.0
	// suspectThreshold is the evidence above which a worker is suspected. It is
	// reached by two failures of a task kind that never fails elsewhere, or by
	// four failures in a row of a kind that no other worker has run.
	suspectThreshold = 6.0
	// clearThreshold is the evidence below which a suspicion ends without probes.
	clearThreshold = 2.0
	// endsKept bounds the number of ends stored per worker.
	endsKept = 16
	// maxFailuresPerWorker bounds the failures that one worker adds to the
	// counts of a kind, so that a broken worker doesn't make the kind look
	// broken.
	maxFailuresPerWorker = 3
	// failureRateAfterOne and failureRateAfterMore are the least failure rates
	// assumed for a task that has failed on one other worker or on several: the
	// task itself probably fails on every worker.
	failureRateAfterOne  = 0.5
	failureRateAfterMore = 0.9
)

// attemptEnd is the result of an attempt of a task on a worker.
type attemptEnd struct {
	task   sched.TaskID
	kind   string
	failed bool
	at     time.Time
}

// addEnd appends an end and removes an earlier one of the same task.
func (w *worker) addEnd(e attemptEnd) {
	for n := range w.ends {
		if w.ends[n].task == e.task {
			w.ends = append(w.ends[:n], w.ends[n+1:]...)
			break
		}
	}
	w.ends = append(w.ends, e)
	if len(w.ends) > endsKept {
		w.ends = w.ends[1:]
	}
}

// kind counts the ends of the attempts of one task kind, per worker and in
// total.
type kind struct {
	workers map[sched.InstanceID]*endCounts
	total   endCounts
}

// endCounts holds the number of ends, and how many of them are failures.
type endCounts struct {
	failures  float64
	ends      float64
	lastEndAt time.Time
}

// addEnd counts an end of the kind on worker w.
func (k *kind) addEnd(w sched.InstanceID, failed bool, now time.Time) {
	own := k.workers[w]
	if own == nil {
		own = &endCounts{}
		k.workers[w] = own
	}
	own.lastEndAt = now
	if !failed {
		own.ends++
		k.total.ends++
		// A success drops one failure of a worker at the limit, so that a later
		// failure counts again.
		if own.failures > 0 && own.failures >= maxFailuresPerWorker {
			own.failures--
			k.total.failures--
			own.ends--
			k.total.ends--
		}
		return
	}
	if own.failures < maxFailuresPerWorker {
		own.failures++
		own.ends++
		k.total.failures++
		k.total.ends++
	}
}

// expire drops the counts of workers whose last end is before old. It halves
// the successes of the other workers, so that old successes don't hide a
// change. It reports whether the kind has no counts left.
func (k *kind) expire(old time.Time) bool {
	k.total = endCounts{}
	for id, t := range k.workers {
		if t.lastEndAt.Before(old) {
			delete(k.workers, id)
			continue
		}
		t.ends = t.failures + (t.ends-t.failures)/2
		k.total.failures += t.failures
		k.total.ends += t.ends
	}
	return len(k.workers) == 0
}

// rateElsewhere estimates the failure rate of the kind on workers other than w.
func (k *kind) rateElsewhere(w sched.InstanceID) float64 {
	t := k.total
	if own := k.workers[w]; own != nil {
		t.failures -= own.failures
		t.ends -= own.ends
	}
	return (t.failures + priorFailures) / (t.ends + priorEnds)
}

// expectedFailureRate estimates the probability that the task of an end fails
// on a working worker.
func (j *Detector) expectedFailureRate(id sched.InstanceID, e attemptEnd) float64 {
	rate := j.kind(e.kind).rateElsewhere(id)
	if t := j.tasks[e.task]; t != nil {
		others := len(t.failedOn)
		if t.failedOn[id] {
			others--
		}
		switch {
		case t.done:
			rate = minFailureRate
		case others == 1:
			rate = max(rate, failureRateAfterOne)
		case others > 1:
			rate = max(rate, failureRateAfterMore)
		}
	}
	return min(max(rate, minFailureRate), maxFailureRate)
}

// evidence returns the current value of the cumulative sum for a worker.
func (j *Detector) evidence(id sched.InstanceID, w *worker, now time.Time) float64 {
	sum := 0.0
	for _, e := range w.ends {
		if now.Sub(e.at) > j.pauses.Retention {
			continue
		}
		r := j.expectedFailureRate(id, e)
		if e.failed {
			sum += math.Log(brokenFailureRate / r)
		} else {
			sum += math.Log((1 - brokenFailureRate) / (1 - r))
		}
		sum = max(sum, 0)
	}
	return sum
}
