package cell

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/hosts"
	"github.com/parsleybarrow/parsleybarrow/pkg/jobs"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Keys of the records of a cell. A prefix is followed by the id of a job.
const (
	// JobPrefix begins the key of a job as it was submitted. The record is
	// deleted with the job's final state, unless the same batch wrote it first.
	JobPrefix = "job/"
	// RunPrefix begins the key of a job's progress. The record is deleted when
	// the job expires.
	RunPrefix = "run/"
	// LearnedKey is the key of the planner's estimates.
	LearnedKey = "learned"
)

const (
	// learnedInterval is the least time between two LearnedKey records.
	learnedInterval = 2 * time.Second
	// recordOverhead is the most that the store adds to the key and the value of a
	// record, in bytes.
	recordOverhead = 8
)

// batch holds what Appended releases when the batch's records are durable.
type batch struct {
	// size is that of the records, in bytes.
	size    int
	replies []Reply
	starts  []placement
	changes []durableChange
	acks    []endAck
}

// durableChange is a job state that becomes durable with a batch.
type durableChange struct {
	job   *job
	state sched.JobState
}

// endAck acknowledges the ends of runs that a worker has listed up to a number
// in one of its lives. After that the worker may forget them.
type endAck struct {
	worker *hosts.Host
	life   int64
	number int64
}

// Place places waiting tasks, unless a batch is being appended. The owner calls it after
// every event, and Flush after it.
func (p *Planner) Place(now time.Time) {
	if p.inFlight == nil {
		p.updateRecovery(now)
		p.placeWaiting(now)
	}
}

// Flush adds one batch of records to the effects. Jobs whose records would make the batch
// larger than Options.BatchLimit are left for the next one. Flush does nothing while an
// earlier batch is being appended.
func (p *Planner) Flush(now time.Time) {
	if p.inFlight != nil {
		return
	}
	p.dropWithdrawn()
	if len(p.dirtyJobs) == 0 && len(p.expiredJobs) == 0 {
		// Ends that changed no job need no record.
		for _, n := range p.unacknowledgedEnds() {
			n.apply(now, p.ackDelay())
		}
		return
	}
	b := &batch{}
	p.recordExpired(b) // first, since a job may be submitted again under the same id
	p.recordJobs(b)
	if len(p.dirtyJobs) == 0 {
		// Every end that was applied is in a record now.
		b.acks = p.unacknowledgedEnds()
	}
	p.recordLearned(now, b)
	p.inFlight = b
}

// recordJobs adds the records of the dirty jobs to the batch, as far as there is space.
func (p *Planner) recordJobs(b *batch) {
	n := 0
	for _, j := range p.dirtyJobs {
		records := p.recordsOf(j)
		if !p.hasSpace(b, records) {
			break
		}
		p.appendRecords(b, records)
		b.release(j)
		n++
	}
	p.dirtyJobs = slices.Delete(p.dirtyJobs, 0, n)
}

// recordExpired deletes the records of expired jobs with the batch, as far as there is
// space.
func (p *Planner) recordExpired(b *batch) {
	n := 0
	for _, id := range p.expiredJobs {
		r := []sched.KeyedRecord{{Key: RunPrefix + string(id)}}
		if !p.hasSpace(b, r) {
			break
		}
		p.appendRecords(b, r)
		n++
	}
	p.expiredJobs = slices.Delete(p.expiredJobs, 0, n)
}

// recordLearned adds the estimates to the batch when they are due, if there is space.
// Estimates that are larger than the store takes aren't recorded.
func (p *Planner) recordLearned(now time.Time, b *batch) {
	if now.Sub(p.learnedRecordedAt) < learnedInterval {
		return
	}
	r := sched.KeyedRecord{Key: LearnedKey, Value: codec.EncodeLearned(p.interference, p.runTimes)}
	limit := p.valueLimit(LearnedKey)
	switch fits := limit == 0 || len(r.Value) <= limit; {
	case !fits:
		p.options.Log.Warn("learnedTooLarge", zap.Int("bytes", len(r.Value)), zap.Int("limit", limit))
	case !p.hasSpace(b, []sched.KeyedRecord{r}):
		return
	default:
		p.appendRecords(b, []sched.KeyedRecord{r})
	}
	p.learnedRecordedAt = now
}

// hasSpace reports whether the records fit into the batch. The records of one job are
// never split, so a batch takes at least those of one.
func (p *Planner) hasSpace(b *batch, records []sched.KeyedRecord) bool {
	size := b.size
	for _, r := range records {
		size += sizeOf(r)
	}
	return b.size == 0 || p.options.BatchLimit == 0 || size <= p.options.BatchLimit
}

// appendRecords adds records to the effects and counts them for the batch.
func (p *Planner) appendRecords(b *batch, records []sched.KeyedRecord) {
	p.effects.Append = append(p.effects.Append, records...)
	for _, r := range records {
		b.size += sizeOf(r)
	}
}

// sizeOf returns the size of a record in the store, in bytes.
func sizeOf(r sched.KeyedRecord) int { return len(r.Key) + len(r.Value) + recordOverhead }

// unacknowledgedEnds returns an acknowledgement for every worker with ends that
// were applied and not acknowledged.
func (p *Planner) unacknowledgedEnds() []endAck {
	var out []endAck
	for _, h := range p.workers {
		if h.AppliedEnd > h.DurableEnd {
			out = append(out, endAck{h, h.NewestIncarnation(), h.AppliedEnd})
		}
	}
	return out
}

// apply sends the acknowledgement with the next exchange, which is due after the delay.
// It has no effect if the worker has begun another life meanwhile.
func (n endAck) apply(now time.Time, delay time.Duration) {
	if n.worker.NewestIncarnation() == n.life && n.number > n.worker.DurableEnd {
		n.worker.DurableEnd = n.number
		n.worker.NextExchangeAt = now.Add(delay)
	}
}

// ackDelay returns how long an acknowledgement waits for other ends of its worker, which keeps
// listing them until then.
func (p *Planner) ackDelay() time.Duration { return min(p.delay, maxExchangePause) }

// recordsOf returns the records of a dirty job. One without a value deletes the key.
func (p *Planner) recordsOf(j *job) []sched.KeyedRecord {
	var out []sched.KeyedRecord
	if j.unrecorded {
		out = append(out, sched.KeyedRecord{Key: JobPrefix + string(j.ID), Value: codec.EncodeJob(j.Job.Job)})
	}
	if j.State.Final() && !j.durableState.Final() && !j.unrecorded {
		out = append(out, sched.KeyedRecord{Key: JobPrefix + string(j.ID)})
	}
	key := RunPrefix + string(j.ID)
	return append(out, sched.KeyedRecord{Key: key, Value: codec.EncodeProgress(j.Job, p.valueLimit(key))})
}

// valueLimit returns the size of the largest value that the store takes under the key,
// in bytes, 0 if there is no limit.
func (p *Planner) valueLimit(key string) int {
	if p.options.RecordLimit == 0 {
		return 0
	}
	return max(1, p.options.RecordLimit-len(key)-recordOverhead)
}

// release adds to the batch what a job whose records it has releases with them.
func (b *batch) release(j *job) {
	j.dirty, j.unrecorded = false, false
	b.replies = append(b.replies, j.pendingReplies...)
	b.starts = append(b.starts, j.pendingStarts...)
	b.changes = append(b.changes, durableChange{j, j.State})
	j.pendingReplies, j.pendingStarts = nil, nil
}

// Appended tells the planner that the batch in flight, sent at the given time,
// is durable. It releases the replies, acknowledgements and start orders that
// waited for the batch.
func (p *Planner) Appended(now, sent time.Time) {
	b := p.inFlight
	p.inFlight = nil
	p.Proven(sent)
	for _, s := range b.changes {
		p.publish(now, s)
	}
	p.effects.Replies = append(p.effects.Replies, b.replies...)
	for _, n := range b.acks {
		n.apply(now, p.ackDelay())
	}
	for _, s := range b.starts {
		p.sendStart(now, s)
	}
}

// Proven tells the planner that no other planner had taken over at the given
// time. It also ends an outage of the store, and releases the replies that
// needed such a proof.
func (p *Planner) Proven(at time.Time) {
	p.outageRetryAfter = 0
	if at.After(p.provenAt) {
		p.provenAt = at
	}
	rest := p.unprovenReplies[:0]
	for _, u := range p.unprovenReplies {
		if u.since.After(at) {
			rest = append(rest, u)
			continue
		}
		p.effects.Replies = append(p.effects.Replies, u.reply)
	}
	p.unprovenReplies = rest
}

// publish makes a durable state visible to State. Runs of a job that has ended
// are stopped.
func (p *Planner) publish(now time.Time, s durableChange) {
	j := s.job
	if j.durableState.Final() {
		return
	}
	j.durableState = s.state
	if !s.state.Final() {
		return
	}
	p.finalJobs = append(p.finalJobs, j)
	p.stopJob(now, j)
}

// resumeCheckpoint returns the checkpoint that a run resumes from, empty if
// there is none. That of a gang is kept with its first member.
func (p *Planner) resumeCheckpoint(j *job, r sched.TaskRef, t *jobs.Task) sched.CheckpointID {
	if j.Steps[r.Step].Gang {
		r.Index = 0
		t = j.Task(r)
	}
	return t.Checkpoint
}

// sendStart orders the start of a run whose placement is durable. If no order
// may be sent, no lease be granted, the ticket has ended meanwhile, or the worker can't take
// the run any more, the run is given up and the task waits again.
func (p *Planner) sendStart(now time.Time, s placement) {
	h := p.workers[s.worker]
	if h == nil {
		return
	}
	slot := h.Slots[s.key]
	j := p.jobs[s.key.Task.Job]
	if slot == nil || slot.Phase != hosts.Recorded || slot.Stopping {
		return
	}
	lease := h.Grant(now, p.options.LeaseLimit)
	if j == nil || j.State.Final() || lease == 0 || !p.mayStart(h, slot, j.Queue.Service) || !p.mayOrder(now) ||
		!p.permitted(now, j, stepRefOf(s.key.Task), h) {
		p.loseRun(now, h, slot, "notSent")
		return
	}
	slot.Phase, slot.Token, slot.OrderedAt = hosts.Ordered, h.Token(p.options.Term), now
	t := j.Task(s.key.Task)
	p.stats.Starts++
	p.effects.Starts = append(p.effects.Starts, StartCall{Worker: h.Worker, Order: sched.StartOrder{
		Task: s.key.Task, Run: s.key.Run, Payload: j.Payload, Lease: lease, Token: slot.Token,
		Checkpoint: p.resumeCheckpoint(j, s.key.Task, t), Ticket: p.ticketFor(s.key.Task, h),
	}})
}

// mayStart reports whether a placed run of a job of the service may start on its worker:
// the worker is in service for it as at the placement, its capacity isn't exceeded, and
// starts aren't held.
func (p *Planner) mayStart(h *hosts.Host, s *hosts.Slot, service string) bool {
	return s.Incarnation == h.NewestIncarnation() && p.takes(h, service, s.Step) && !h.Over() && !p.startsHeld()
}
