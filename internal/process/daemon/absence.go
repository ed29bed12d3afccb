package daemon

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// absence records since when entry instances have been missing from the
// platform's list. It counts only successful reads of the list, so an outage of
// the list makes no instance absent.
type absence struct {
	// firstRead and lastRead are the times of the first and the latest
	// successful read.
	firstRead, lastRead time.Time
	// listed holds the instances that the latest read showed.
	listed map[sched.InstanceID]bool
	// since holds, for each instance that was listed before, the time of the
	// first read that no longer showed it.
	since map[sched.InstanceID]time.Time
}

// recordRead takes the entry instances that a successful read at now showed.
func (a *absence) recordRead(now time.Time, listed map[sched.InstanceID]bool) {
	if a.firstRead.IsZero() {
		a.firstRead = now
		a.since = map[sched.InstanceID]time.Time{}
	}
	for id := range a.listed {
		if !listed[id] {
			a.since[id] = now
		}
	}
	for id := range listed {
		delete(a.since, id)
	}
	a.listed, a.lastRead = listed, now
}

// missingLongerThan reports whether the instance has been missing from every
// read over a period longer than d. An instance that was never listed counts as
// missing since the first read.
func (a *absence) missingLongerThan(id sched.InstanceID, d time.Duration) bool {
	if a.firstRead.IsZero() || a.listed[id] {
		return false
	}
	since, known := a.since[id]
	if !known {
		since = a.firstRead
	}
	return a.lastRead.Sub(since) > d
}
