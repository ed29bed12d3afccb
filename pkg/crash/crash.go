package crash

import "time"

const (
	// StartWindow is the time after its start in which a task that crashes workers
	// is expected to do so. It also covers the delay until the crash is noticed.
	StartWindow = 400 * time.Millisecond
	// SoundAge is the age of a run from which on its task is taken to be sound: a
	// task that crashes its worker later than that costs little per start.
	SoundAge = 10 * time.Second
	// maxCrashes is the number of crashes after which a task is given up whatever
	// ran beside it.
	maxCrashes = 4
)

// Run is a run that was on a worker when it crashed. The members of a gang on one
// worker count as one run.
type Run struct {
	// Age is the time from the start of the run to the crash, or the least that
	// it can have been if AgeKnown isn't set.
	Age      time.Duration
	AgeKnown bool
	// Started is set if the run is known to have started. The answer to its start
	// order may have been lost, or the order may have come too late.
	Started bool
	// Suspect is set if the task was a suspect before, and Crashes is the number of
	// crashes that counted against it. In UnsureCrashes of them its run wasn't known to
	// have started.
	Suspect                bool
	Crashes, UnsureCrashes int
}

// Verdict says what a crash means for the task of one run.
type Verdict struct {
	// Suspect is set if the task may have crashed the worker.
	Suspect bool
	// Counts is set if the crash counts against the task: its run was on the worker.
	Counts bool
	// GiveUp is set if the task must not start again.
	GiveUp bool
}

// Judge returns a verdict for each run that was on a worker when it crashed. The
// suspects are the runs that had started just before the crash, or else all that
// aren't known to be sound, and besides the only one that was a suspect before. A crash
// at the same time as those of other workers has a cause outside, unless a run had just
// started.
//
// If a planner has taken over before it reached the worker, it doesn't know when the
// crash was and which runs had started. Then each run that may have started just
// before counts, since its task would otherwise be started without end by planners that
// end too.
//
// Any other run that isn't known to have started counts as started if nothing else
// explains the crash. A single crash never gives a task up, since the tasks that started
// just before it share the suspicion. The caller separates suspects, so that a second
// crash tells which one it was.
func Judge(runs []Run, simultaneous bool) []Verdict {
	fresh, unanswered, inherited, started, suspects := 0, 0, 0, 0, 0
	for _, r := range runs {
		switch {
		case r.fresh() && r.Started:
			fresh++
		case r.fresh():
			unanswered++
		case r.inherited():
			inherited++
		}
		if r.Started {
			started++
		}
		if r.Suspect {
			suspects++
		}
	}
	handedOver := inherited > 0 && started+unanswered == 0
	out := make([]Verdict, len(runs))
	for k, r := range runs {
		sole := len(runs) == 1 || r.Suspect && suspects == 1
		switch {
		case r.Suspect && sole:
			out[k].Suspect = r.Age < SoundAge
		case fresh+unanswered > 0:
			out[k].Suspect = r.fresh()
		case handedOver:
			out[k].Suspect = r.inherited()
		case !simultaneous:
			out[k].Suspect = r.Age < SoundAge
		}
		explained := r.fresh() && fresh == 0 && unanswered == 1 || !r.AgeKnown && sole || handedOver && r.inherited()
		if out[k].Suspect && (r.Started || explained && !simultaneous) {
			out[k].Counts, out[k].GiveUp = true, r.givenUp(r.Crashes+1, fresh, sole)
		}
	}
	return out
}

// Explained reports whether one of the runs on a worker is likely to have crashed it: one
// is known to have just started, or one was the only suspect.
func Explained(runs []Run) bool {
	suspects := 0
	for _, r := range runs {
		if r.fresh() && r.Started {
			return true
		}
		if r.Suspect && r.Started && r.Age < SoundAge {
			suspects++
		}
	}
	return suspects == 1
}

// fresh reports whether the run had started just before the crash.
func (r Run) fresh() bool { return r.AgeKnown && r.Age < StartWindow }

// inherited reports whether the run of an earlier planner may have started just before
// the crash.
func (r Run) inherited() bool { return !r.Started && !r.AgeKnown && r.Age < StartWindow }

// givenUp reports whether the task of a suspect is to be given up after its
// crashes, given the number of fresh runs that are known to have started, and whether
// no other suspect was on the worker. Two crashes are enough only if the task is known to
// have run in both, three if in one of them.
func (r Run) givenUp(crashes, fresh int, sole bool) bool {
	sure := crashes - r.UnsureCrashes
	if !r.Started {
		sure--
	}
	switch crashes {
	case 1:
		return false
	case 2:
		return sure == crashes && r.fresh() && fresh == 1
	case 3:
		return sure > 0 && (r.fresh() || sole)
	}
	return crashes >= maxCrashes
}
