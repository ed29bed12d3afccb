package hosts

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/share"
)

const (
	// minClockRate is the rate of the slowest clock of a worker. The platform's
	// protocol allows it to be 2% slow.
	minClockRate = 0.98
	// bumpBits is the number of low bits of a fencing token that hold the bump
	// count. An offset of 32 bits and the count together stay below 2^53, up to
	// which JSON readers agree on whole numbers.
	bumpBits = 20
	// leaseMargin is the time by which a lease stays below the limit.
	leaseMargin = 50 * time.Millisecond
	// lapseTime is how long a worker may take to notice that its lease has lapsed and to end
	// its runs. In a play of the emulated site a run went on for 5 ms.
	lapseTime = 150 * time.Millisecond
)

// Key identifies a run of a task.
type Key struct {
	Task sched.TaskRef
	Run  sched.RunNumber
}

// clockReading is a reading of a worker's clock, taken between two times of the
// planner's clock.
type clockReading struct {
	worker         sched.WorkerClock
	sent, received time.Time
}

// Host is the state of one worker. It isn't safe for concurrent use.
type Host struct {
	// Worker is the newest entry of the platform's list. Only its ID is set if
	// the list has not had the worker yet.
	sched.Worker
	// Listed is set while the platform's list has the worker.
	Listed bool
	// ListedAt is when the entry last changed or was removed.
	ListedAt time.Time
	// LeavingIncarnation is the newest one whose last entry was draining, 0 if none.
	LeavingIncarnation int64
	// RunsKnown is set once an exchange under the present token and life has listed
	// the runs on the worker.
	RunsKnown bool
	// MoreEnds is set while the newest report lists as many ends as a worker lists at a
	// time. Runs that it doesn't list may then have ended.
	MoreEnds bool
	// UnknownSince is when a report first left open what runs on the worker, zero while it is
	// known. UnknownLogged is set once that was logged.
	UnknownSince  time.Time
	UnknownLogged bool
	// Strays is the number of runs that the newest report lists and Slots doesn't
	// have. What they need isn't known.
	Strays int
	// GivenUp holds the runs that were given up with their lease, until an answer shows
	// how they ended. The last one was added at GivenUpAt.
	GivenUp   map[Key]*Slot
	GivenUpAt time.Time
	// Failures counts the calls in a row that the worker didn't answer or refused
	// as unhealthy.
	Failures int
	// AnsweredAt is when the worker last answered. SilentSince is the earliest time at
	// which it may have stopped after that, SilentBy the latest, both zero while it
	// answers.
	AnsweredAt, SilentSince, SilentBy time.Time
	// ExchangeInFlight is set while an exchange is in flight. NextExchangeAt is when the next one is
	// due.
	ExchangeInFlight bool
	NextExchangeAt   time.Time
	// AppliedEnd is the number of the newest end that was applied, DurableEnd that of the
	// newest one that is durable, and AckedEnd that of the newest one that was
	// acknowledged to the worker.
	AppliedEnd, DurableEnd, AckedEnd int64
	// NoRoomUntil is until when nothing is placed on the worker, since it refused a
	// start for lack of room.
	NoRoomUntil time.Time
	// RunsCheckedAt is when the runs were last checked for what is due by time alone.
	RunsCheckedAt time.Time
	// StragglerCheckedAt is when the worker was last checked for stragglers.
	StragglerCheckedAt time.Time

	// Slots holds the runs that are or may be on the worker. Add and Remove
	// change it.
	Slots map[Key]*Slot
	// Used is what the slots take from the worker's capacity.
	Used sched.Resources
	// Version rises with every change of the slots, and with each call of Touch.
	Version int
	// Gains rises with every change that may give room to fillers, and is above 0.
	Gains int
	// Place is the worker's place in the list of its planner.
	Place int

	// suspects counts the slots of suspects.
	suspects int
	bumps    int64
	// listedToken is the highest token under which the newest life has listed its runs.
	listedToken  sched.FencingToken
	lastReading  clockReading
	leaseEnd     time.Time
	life         int64
	endedFillers []endedFiller
	fillers      fillerMemory
}

// New returns a worker without runs. Leases that earlier planners granted to it
// have ended at leaseEnd; bumps is the count that its token starts with.
func New(w sched.Worker, leaseEnd time.Time, bumps int64) *Host {
	return &Host{Worker: w, Slots: map[Key]*Slot{}, leaseEnd: leaseEnd, life: w.Incarnation, bumps: bumps, Gains: 1}
}

// Token returns the fencing token for the next order: the given term in the upper
// bits and the bump count in the lower ones.
func (h *Host) Token(term sched.Offset) sched.FencingToken {
	return sched.FencingToken(int64(term)<<bumpBits | h.bumps)
}

// Bump raises the token, so that every earlier order of this planner is void once
// the worker has seen the next one. The count stops at the largest value of its
// part of the token, after a million bumps.
func (h *Host) Bump() { h.bumps = min(h.bumps+1, 1<<bumpBits-1) }

// Bumps returns the bump count of the token.
func (h *Host) Bumps() int64 { return h.bumps }

// Grant returns the end of the lease for the next order by the worker's clock, 0
// if that clock isn't known. The lease lasts for limit, less a margin, from now on.
// LeaseEnd is moved to when such a lease has ended by the slowest clock.
func (h *Host) Grant(now time.Time, limit time.Duration) sched.WorkerClock {
	if h.lastReading.received.IsZero() {
		return 0
	}
	span := now.Sub(h.lastReading.sent) + limit - leaseMargin
	end := h.lastReading.received.Add(time.Duration(float64(span)/minClockRate) + lapseTime)
	if end.After(h.leaseEnd) {
		h.leaseEnd = end
	}
	return h.lastReading.worker + sched.WorkerClock(span)
}

// LeaseEnd returns when every lease granted so far has ended by the slowest clock.
func (h *Host) LeaseEnd() time.Time { return h.leaseEnd }

// unansweredLimit is the age from which on a start order without an answer may have gone to
// another incarnation than the newest known one. Answers take a round trip between regions.
const unansweredLimit = 150 * time.Millisecond

// Acknowledgement returns the number of the newest end to acknowledge with an exchange now,
// 0 if there is none. Numbers of ends begin again with each incarnation, so that an
// acknowledgement that reaches a later incarnation would make it forget ends that it has
// never listed. Such ends are of runs whose start orders had no answer and may still be
// carried out. Therefore nothing is acknowledged while there are such orders or the worker
// doesn't answer, nor is an acknowledgement repeated. An order is void once the newest life
// has listed its runs under a higher token. Its run may yet be missing from a full list, and
// the ends behind that are listed only after an acknowledgement.
func (h *Host) Acknowledgement(now time.Time) int64 {
	if h.DurableEnd <= h.AckedEnd || h.Failures > 0 {
		return 0
	}
	for _, s := range h.Slots {
		switch {
		case s.Phase == Unsure && s.Token >= h.listedToken:
			return 0
		case s.Phase == Ordered && now.Sub(s.OrderedAt) >= unansweredLimit:
			return 0
		}
	}
	return h.DurableEnd
}

// Reported notes that the newest life has listed its runs in answer to an order with the
// given token. More is set if it may have more ends than it lists.
func (h *Host) Reported(token sched.FencingToken, more bool) {
	h.listedToken, h.MoreEnds = max(h.listedToken, token), more
}

// AllKnown reports whether the planner knows all runs and ends on the worker.
func (h *Host) AllKnown() bool { return h.RunsKnown && !h.MoreEnds && h.Strays == 0 }

// Answered notes an answer of the worker. The answer of a new life counts only once the
// runs of the earlier one are settled.
func (h *Host) Answered(at time.Time) {
	h.AnsweredAt, h.SilentSince, h.SilentBy = at, time.Time{}, time.Time{}
}

// Silent notes that the worker stopped answering at some time from since to by, and
// reports whether that changes SilentSince.
func (h *Host) Silent(since, by time.Time) bool {
	if h.SilentBy.IsZero() || by.Before(h.SilentBy) {
		h.SilentBy = by
	}
	if since.Before(h.AnsweredAt) {
		since = h.AnsweredAt
	}
	if !h.SilentSince.IsZero() && !since.Before(h.SilentSince) {
		return false
	}
	h.SilentSince = since
	return true
}

// Read takes the worker's clock and life from an answer that was sent and received
// at the given times. It returns false if the answer is of an earlier life and is
// to be ignored. If the answer is of a later life, that life begins.
func (h *Host) Read(a sched.OrderAnswer, sent, received time.Time) bool {
	if a.Incarnation != 0 && a.Incarnation < h.life {
		return false
	}
	if a.Incarnation > h.life {
		h.BeginIncarnation(a.Incarnation)
	}
	if a.Clock > 0 && a.Clock >= h.lastReading.worker {
		h.lastReading = clockReading{a.Clock, sent, received}
	}
	return true
}

// NewestIncarnation returns the newest known life of the worker.
func (h *Host) NewestIncarnation() int64 { return h.life }

// EntryCurrent reports whether the entry of the list is of the newest known life, or
// doesn't say of which it is. A later life may have another capacity and other labels.
func (h *Host) EntryCurrent() bool { return h.Incarnation == 0 || h.Incarnation >= h.life }

// BeginIncarnation begins a new life of the worker. Its clock and the numbers of its ends
// start again, and it has seen no token. The token is raised and runs become
// unsure, since any order may have reached the new life until the next exchange
// lists its runs.
func (h *Host) BeginIncarnation(life int64) {
	h.life = life
	h.lastReading = clockReading{}
	h.AppliedEnd, h.DurableEnd, h.AckedEnd = 0, 0, 0
	h.RunsKnown, h.MoreEnds, h.listedToken = false, false, 0
	h.Bump()
	for _, s := range h.Slots {
		if s.Phase != Recorded {
			s.Phase = Unsure
		}
	}
}

// Add puts a run on the worker.
func (h *Host) Add(s *Slot) {
	h.Slots[s.Key] = s
	if s.Suspect {
		h.suspects++
	}
	h.Used = h.Used.Plus(s.Step.Counted())
	h.Version++
}

// Remove takes a run off the worker and returns it, nil if it isn't there.
func (h *Host) Remove(k Key) *Slot {
	s := h.Slots[k]
	if s == nil {
		return nil
	}
	delete(h.Slots, k)
	if s.Suspect {
		h.suspects--
	}
	h.Used = h.Used.Minus(s.Step.Counted())
	h.Touch()
	return s
}

// FillerMix returns the share of the worker's processors that its fillers would use at
// full pace, by image. Fillers that are being stopped don't count, nor do crowded ones,
// which yield to the others.
func (h *Host) FillerMix() share.Mix {
	x := share.Mix{}
	for _, s := range h.Slots {
		if s.Step.Filler && !s.Stopping && !s.Crowded {
			x[s.Step.Image] += h.ProcessorShare(s.Step.Needs.Processors)
		}
	}
	return x
}

// ProcessorShare returns an amount of processors as a share of the worker's.
func (h *Host) ProcessorShare(processors int64) float64 {
	return float64(processors) / float64(max(1, h.Capacity.Processors))
}

// reportPeriod is the time before a report that the figures in it cover.
const reportPeriod = 500 * time.Millisecond

// RecentFillerMix returns the share of the worker's processors that its fillers used in the
// period of the report received now, by image. Fillers that ended within the
// period count for the part of it in which they ran.
func (h *Host) RecentFillerMix(now time.Time) share.Mix {
	x := share.Mix{}
	for _, s := range h.Slots {
		if s.Step.Filler && s.Phase == Started && s.ReportedAt.Equal(now) {
			x[s.Step.Image] += h.ProcessorShare(s.Figure)
		}
	}
	kept := h.endedFillers[:0]
	for _, e := range h.endedFillers {
		left := 1 - now.Sub(e.endedAt).Seconds()/reportPeriod.Seconds()
		if left > 0 {
			x[e.image] += left * e.share
			kept = append(kept, e)
		}
	}
	h.endedFillers = kept
	return x
}

// Ended notes the end of a run, so that RecentFillerMix counts it if it was a filler.
func (h *Host) Ended(now time.Time, s *Slot) {
	if s.Step.Filler && s.Figure > 0 {
		h.endedFillers = append(h.endedFillers, endedFiller{s.Step.Image, h.ProcessorShare(s.Figure), now})
	}
}

// endedFiller is a filler that ended within the last report period. Share is the
// share of the worker's processors that it used.
type endedFiller struct {
	image   string
	share   float64
	endedAt time.Time
}

// HasSuspects reports whether a suspect of a crash is on the worker.
func (h *Host) HasSuspects() bool { return h.suspects > 0 }

// Restarted reports whether the worker has begun another incarnation than that on
// which the run is.
func (h *Host) Restarted(s *Slot) bool { return s.Incarnation > 0 && h.life > s.Incarnation }

// Left reports whether the incarnation on which the run is was about to leave.
func (h *Host) Left(s *Slot) bool {
	if s.Incarnation == 0 {
		return h.Draining
	}
	return s.Incarnation == h.LeavingIncarnation
}

// SetLeaving takes from a new entry of the list whether its incarnation is about to
// leave.
func (h *Host) SetLeaving(w sched.Worker) {
	switch {
	case w.Draining:
		h.LeavingIncarnation = w.Incarnation
	case w.Incarnation == h.LeavingIncarnation:
		h.LeavingIncarnation = 0
	}
}

// Touch raises Version, for a change that may give room.
func (h *Host) Touch() {
	h.Version++
	h.Gains++
}

// Serving returns the started tasks on the worker that serve users.
func (h *Host) Serving() []*share.Serving {
	var out []*share.Serving
	for _, s := range h.Slots {
		if s.Serving != nil && s.Phase == Started {
			out = append(out, s.Serving)
		}
	}
	return out
}

// Shared reports whether the worker has both filler and serving tasks.
func (h *Host) Shared() bool {
	filler, serving := false, false
	for _, s := range h.Slots {
		filler = filler || s.Step.Filler
		serving = serving || s.Serving != nil
	}
	return filler && serving
}

// Free returns the capacity that isn't used. It is negative where the capacity has
// shrunk below what is used.
func (h *Host) Free() sched.Resources { return h.Capacity.Minus(h.Used) }

// Over reports whether the slots take more than the capacity.
func (h *Host) Over() bool { return !sched.Resources{}.Fits(h.Free()) }
