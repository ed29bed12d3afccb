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
	// firstPause and longestPause bound the pause between tries of the log.
	firstPause   = 200 * time.Millisecond
	longestPause = 2 * time.Second
	// waitPause is the time between two questions for the versions of the
	// instances.
	waitPause = 500 * time.Millisecond
	// readLimit is the number of records per read: a command at a terminal
	// needn't spread its reads as an instance does.
	readLimit = 500
)

// Change is one change that an operator applies. Exported fields are set
// before Run.
type Change struct {
	Log   sched.Log
	Clock sched.Clock
	// Copy returns an instance's configuration in force, for a log that
	// no longer holds a snapshot. It may be nil.
	Copy func(context.Context) (sched.ConfigCopy, error)
	// ID identifies the patch; a UUID.
	ID       string
	Operator string
	// Base is the version that the operator worked from; negative means the
	// one in force.
	Base   sched.Offset
	Target config.Document
	DryRun bool
	// Resume looks for the id in all that the log holds, instead of near its
	// end. It is for an apply whose outcome was unknown.
	Resume bool

	replay *versn.Replay
	pauses *backoff.ExponentialBackOff
	// uncertain is set once a record may have been added, and gap if records
	// were skipped after that.
	uncertain bool
	gap       bool
}

// Run applies the change. It tries until the context ends.
func (a *Change) Run(c context.Context) Result {
	a.replay = versn.New(versn.Options{Decode: codec.DecodeConfig, Whole: a.Resume})
	a.pauses = &backoff.ExponentialBackOff{
		InitialInterval: firstPause, Multiplier: 2, MaxInterval: longestPause,
	}
	a.pauses.Reset()
	if err := a.catchUp(c); err != nil {
		return a.ended(fmt.Errorf("read the version in force: %w", err))
	}
	entry, r := a.plan()
	if r.Outcome != 0 {
		return r
	}
	data, err := codec.EncodeConfig(entry)
	if err != nil {
		return a.ended(err)
	}
	return a.append(c, data)
}

// plan makes the record, or a result if there is nothing to append.
func (a *Change) plan() (versn.Entry, Result) {
	inForce, current := a.replay.InForce()
	if r, ok := a.answer(true); ok {
		return versn.Entry{}, r
	}
	if a.Base < 0 {
		a.Base = inForce
	}
	base, known := a.replay.Document(a.Base)
	r := Result{ID: a.ID, Base: a.Base, Version: inForce, BaseKnown: known, Mine: config.Diff(base, a.Target)}
	switch {
	case known && a.Base == inForce && len(r.Mine) == 0:
		r.Outcome = Unchanged
	case a.Base != inForce:
		r.Outcome = Conflict
		if known {
			r.Theirs = config.Diff(base, current)
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

// append adds the record until it is read back or the context ends.
func (a *Change) append(c context.Context, data []byte) Result {
	for {
		at, err := a.Log.Append(c, sched.ConfigStream, data)
		if err != nil && !errors.Is(err, sched.ErrUnavailable) {
			a.uncertain = true
		}
		if err == nil {
			a.uncertain = true // added, but maybe after another change
		}
		if rerr := a.catchUp(c); rerr != nil {
			return a.ended(fmt.Errorf("read the record back: %w", rerr))
		}
		if r, ok := a.answer(err != nil); ok {
			return r
		}
		v, _ := a.replay.InForce()
		if v != a.Base && a.gap {
			return a.ended(errors.New("the log was trimmed before the record could be read back"))
		}
		if v != a.Base {
			// The record was not read, and can't be valid any more.
			return a.overtaken(v)
		}
		if err == nil {
			err = fmt.Errorf("the record at offset %d can't be read back", at)
		}
		if werr := a.Clock.Sleep(c, a.pauses.NextBackOff()); werr != nil {
			return a.ended(err)
		}
	}
}

// overtaken reports a conflict for a record that has not been read back.
func (a *Change) overtaken(inForce sched.Offset) Result {
	base, known := a.replay.Document(a.Base)
	_, current := a.replay.InForce()
	r := Result{
		Outcome: Conflict, ID: a.ID, Base: a.Base, Version: inForce, BaseKnown: known,
		Mine: config.Diff(base, a.Target),
	}
	if known {
		r.Theirs = config.Diff(base, current)
	}
	return r
}

// answer returns the result if the record has been read.
func (a *Change) answer(unacknowledged bool) (Result, bool) {
	n := a.replay.Answer(a.ID)
	r := Result{
		ID: a.ID, Base: n.Base, Version: n.Offset, Mine: n.Mine, Theirs: n.Theirs, BaseKnown: n.BaseKnown,
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
		r.Reason = fmt.Errorf("record %d doesn't fit its base", n.Offset)
	case versn.NotSeen:
		return Result{}, false
	}
	return r, true
}

// ended is the result when the context ends or the log fails for good.
func (a *Change) ended(reason error) Result {
	r := Result{Outcome: NotApplied, ID: a.ID, Base: a.Base, Reason: reason}
	if a.uncertain {
		r.Outcome = Unknown
	}
	if a.replay != nil {
		r.Version, _ = a.replay.InForce()
	}
	return r
}

// catchUp reads the stream to its end. It repeats failed reads until the
// context ends.
func (a *Change) catchUp(c context.Context) error {
	for {
		p, err := a.Log.Read(c, sched.ConfigStream, a.replay.Next(), readLimit)
		var trimmed *sched.TrimmedError
		switch {
		case err == nil:
			a.pauses.Reset()
			before := a.replay.Next()
			a.replay.Page(a.Clock.Now(), p)
			if a.replay.CaughtUp() {
				return nil
			}
			if a.replay.Next() != before {
				continue
			}
			// The end is reached, but no snapshot continues what is missing.
			err = errors.New("the log holds no snapshot that can be used")
			if a.copy(c) {
				continue
			}
		case errors.As(err, &trimmed) && trimmed.Earliest > a.replay.Next():
			a.replay.Trimmed(trimmed.Earliest)
			a.gap = a.gap || a.uncertain
			continue
		}
		if werr := a.Clock.Sleep(c, a.pauses.NextBackOff()); werr != nil {
			return err
		}
	}
}

// copy continues from an instance's configuration.
func (a *Change) copy(c context.Context) bool {
	if a.Copy == nil {
		return false
	}
	v, err := a.Copy(c)
	a.gap = a.gap || a.uncertain
	return err == nil && a.replay.TakeCopy(v)
}

// Wait asks for the versions until every live instance reports at least the
// given one. When the context ends it returns the reports that are behind, and
// an error if the newest question failed.
// Unreachable instances count as live: they may still serve.
func Wait(c context.Context, clock sched.Clock, v sched.Offset, ask func(context.Context) ([]Report, error)) ([]Report, error) {
	var late []Report
	for {
		reports, err := ask(c)
		if err != nil {
			err = fmt.Errorf("ask for the versions: %w", err)
		} else {
			late = behind(reports, v)
		}
		if err == nil && len(late) == 0 && len(reports) > 0 {
			return nil, nil
		}
		if clock.Sleep(c, waitPause) != nil {
			return late, err
		}
	}
}

func behind(reports []Report, v sched.Offset) []Report {
	var late []Report
	for _, r := range reports {
		if r.State != sched.StateGone && r.State != sched.StateLeaving && r.Version < v {
			late = append(late, r)
		}
	}
	return late
}
