package apply

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/config"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/versn"
)

const (
	// firstRetryPause and longestRetryPause bound the exponential backoff between
	// retries of calls to the log.
	firstRetryPause   = 200 * time.Millisecond
	longestRetryPause = 2 * time.Second
	// waitPollInterval is the time between two queries of the instances' versions.
	waitPollInterval = 500 * time.Millisecond
	// readLimit is the largest number of records of one read. Unlike an
	// instance, a command that runs once needs no small reads to spread its
	// load on the log.
	readLimit = 500
)

// Change is a configuration change that an operator applies. Exported fields are
// set before Run, which is called once.
type Change struct {
	Log   sched.Log
	Clock sched.Clock
	// FetchCopy returns the configuration in force at an instance. It is used if the
	// log holds no snapshot to start from. It may be nil.
	FetchCopy func(context.Context) (sched.ConfigCopy, error)
	// ID identifies the patch; it is a UUID.
	ID string
	// Operator is recorded in the patch as its author.
	Operator string
	// Base is the version that the operator edited; negative means the one in
	// force.
	Base sched.Offset
	// Target is the configuration as it should be after the change.
	Target config.Document
	// DryRun computes the result without an append.
	DryRun bool
	// SearchWholeLog searches the whole log for the id, instead of the part near its
	// end. It is for a repetition after the outcome Unknown.
	SearchWholeLog bool

	replay  *versn.Replay
	backoff *backoff.ExponentialBackOff
	// uncertain is set once the record may have been appended.
	uncertain bool
	// skipped is set if records that may include this one were skipped, so that its
	// absence from the replay proves nothing.
	skipped bool
}

// Run applies the change and returns its result. It retries calls to the log that
// fail until the context ends.
func (a *Change) Run(c context.Context) Result {
	a.replay = versn.New(versn.Options{Decode: codec.DecodeConfig, Whole: a.SearchWholeLog})
	a.backoff = &backoff.ExponentialBackOff{
		InitialInterval: firstRetryPause, Multiplier: 2, MaxInterval: longestRetryPause,
	}
	a.backoff.Reset()
	if err := a.catchUp(c); err != nil {
		return a.unfinishedResult(fmt.Errorf("read the version in force: %w", err))
	}
	entry, r := a.plan()
	if r.Outcome != 0 {
		return r
	}
	data, err := codec.EncodeConfig(entry)
	if err != nil {
		return a.unfinishedResult(err)
	}
	return a.appendAndReadBack(c, data)
}

// plan returns the record to append, or a result with an outcome if there is
// nothing to append.
func (a *Change) plan() (versn.Entry, Result) {
	inForce, current := a.replay.InForce()
	if r, ok := a.replayedResult(true); ok {
		return versn.Entry{}, r
	}
	if a.Base < 0 {
		a.Base = inForce
	}
	base, known := a.replay.Document(a.Base)
	r := Result{ID: a.ID, Base: a.Base, Version: inForce, BaseKnown: known, PatchChanges: config.Diff(base, a.Target)}
	switch {
	case known && a.Base == inForce && len(r.PatchChanges) == 0:
		r.Outcome = Unchanged
	case a.Base != inForce:
		r.Outcome = Conflict
		if known {
			r.ConcurrentChanges = config.Diff(base, current)
		}
	case a.DryRun:
		r.Outcome = Planned
	}
	return versn.Entry{Patch: &versn.Patch{
		ID:       a.ID,
		Base:     a.Base,
		Changes:  config.NewPatch(base, a.Target).Bytes(),
		Hash:     a.Target.Hash(),
		Operator: a.Operator,
	}}, r
}

// appendAndReadBack appends the record and reads it back, and repeats this until the result
// is known or the context ends. A second copy of the record has no effect.
func (a *Change) appendAndReadBack(c context.Context, data []byte) Result {
	for {
		at, err := a.Log.Append(c, sched.ConfigStream, data)
		if err != nil && !errors.Is(err, sched.ErrUnavailable) {
			a.uncertain = true
		}
		if err == nil {
			a.uncertain = true // appended, but possibly behind another change
		}
		if rerr := a.catchUp(c); rerr != nil {
			return a.unfinishedResult(fmt.Errorf("read the record back: %w", rerr))
		}
		if r, ok := a.replayedResult(err != nil); ok {
			return r
		}
		v, _ := a.replay.InForce()
		if v != a.Base && a.skipped {
			return a.unfinishedResult(
				fmt.Errorf("the replay skipped records (log trimmed, or copy used) before it found patch %s", a.ID))
		}
		if v != a.Base {
			// Another change took effect first. The record was not read, and
			// even if it is appended later it no longer fits its base.
			return a.conflictResult(v)
		}
		if err == nil {
			err = fmt.Errorf("the record at offset %d can't be read back", at)
		}
		if werr := a.Clock.Sleep(c, a.backoff.NextBackOff()); werr != nil {
			return a.unfinishedResult(err)
		}
	}
}

// conflictResult returns the conflict for a record that was not read back while
// another version came into force.
func (a *Change) conflictResult(inForce sched.Offset) Result {
	base, known := a.replay.Document(a.Base)
	_, current := a.replay.InForce()
	r := Result{
		Outcome: Conflict, ID: a.ID, Base: a.Base, Version: inForce, BaseKnown: known,
		PatchChanges: config.Diff(base, a.Target),
	}
	if known {
		r.ConcurrentChanges = config.Diff(base, current)
	}
	return r
}

// replayedResult returns the result of the record, and false if the replay has not read
// it. An accepted record counts as AcceptedEarlier if unacknowledged is set.
func (a *Change) replayedResult(unacknowledged bool) (Result, bool) {
	n := a.replay.Answer(a.ID)
	r := Result{
		ID: a.ID, Base: n.Base, Version: n.Offset, PatchChanges: n.PatchChanges, ConcurrentChanges: n.ConcurrentChanges, BaseKnown: n.BaseKnown,
	}
	switch n.Verdict {
	case versn.Accepted:
		r.Outcome = Accepted
		if unacknowledged {
			r.Outcome = AcceptedEarlier
		}
	case versn.Conflict:
		r.Outcome = Conflict
		r.Version, _ = a.replay.InForce()
	case versn.Invalid:
		r.Outcome = NotApplied
		r.Reason = fmt.Errorf("record %d doesn't fit its base, version %d", n.Offset, n.Base)
	case versn.NotSeen:
		return Result{}, false
	}
	return r, true
}

// unfinishedResult returns the result of an apply that stops without a verdict from the log:
// Unknown if the record may have been appended, else NotApplied.
func (a *Change) unfinishedResult(reason error) Result {
	r := Result{Outcome: NotApplied, ID: a.ID, Base: a.Base, Reason: reason}
	if a.uncertain {
		r.Outcome = Unknown
	}
	if a.replay != nil {
		r.Version, _ = a.replay.InForce()
	}
	return r
}

// catchUp replays the configuration stream to its end. It retries failed reads
// with backoff until the context ends. If the log holds no usable snapshot, it
// continues from a copy of an instance's configuration.
func (a *Change) catchUp(c context.Context) error {
	for {
		p, err := a.Log.Read(c, sched.ConfigStream, a.replay.Next(), readLimit)
		var trimmed *sched.TrimmedError
		switch {
		case err == nil:
			a.backoff.Reset()
			before := a.replay.Next()
			a.replay.Page(a.Clock.Now(), p)
			if a.replay.CaughtUp() {
				return nil
			}
			if a.replay.Next() != before {
				continue
			}
			// The end of the stream is reached, but the replay lacks records and
			// no snapshot has replaced them.
			err = errors.New("the configuration stream holds no usable snapshot")
			if a.continueFromCopy(c) {
				continue
			}
		case errors.As(err, &trimmed) && trimmed.Earliest > a.replay.Next():
			a.replay.Trimmed(trimmed.Earliest)
			a.skipped = a.skipped || a.uncertain
			continue
		}
		if werr := a.Clock.Sleep(c, a.backoff.NextBackOff()); werr != nil {
			return err
		}
	}
}

// continueFromCopy makes the replay continue from an instance's configuration. It reports
// whether that succeeded.
func (a *Change) continueFromCopy(c context.Context) bool {
	if a.FetchCopy == nil {
		return false
	}
	v, err := a.FetchCopy(c)
	a.skipped = a.skipped || a.uncertain
	return err == nil && a.replay.TakeCopy(v)
}

// WaitForVersion calls ask until every instance reports version v or a newer one. It does
// not wait for instances that are leaving or gone; it does wait for unreachable
// ones, as they may still serve requests. If the context ends first, it returns
// the reports with an older version, and an error if the last call of ask
// failed.
func WaitForVersion(
	c context.Context, clock sched.Clock, v sched.Offset, ask func(context.Context) ([]InstanceVersion, error),
) ([]InstanceVersion, error) {
	var late []InstanceVersion
	for {
		reports, err := ask(c)
		if err != nil {
			err = fmt.Errorf("ask the instances for their versions: %w", err)
		} else {
			late = behind(reports, v)
		}
		if err == nil && len(late) == 0 && len(reports) > 0 {
			return nil, nil
		}
		if clock.Sleep(c, waitPollInterval) != nil {
			return late, err
		}
	}
}

// behind returns the reports with a version older than v, without instances that
// are leaving or gone.
func behind(reports []InstanceVersion, v sched.Offset) []InstanceVersion {
	var late []InstanceVersion
	for _, r := range reports {
		if r.State != sched.StateGone && r.State != sched.StateLeaving && r.Version < v {
			late = append(late, r)
		}
	}
	return late
}
