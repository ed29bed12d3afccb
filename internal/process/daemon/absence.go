package daemon

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// absence tells since when entry instances have been missing from the
// platform's list. Times are those of reads that showed it: an outage of the
// list makes nobody absent.
type absence struct {
	// first and last are the first and the latest successful read.
	first, last time.Time
	listed      map[sched.InstanceID]bool
	since       map[sched.InstanceID]time.Time
}

func (a *absence) read(now time.Time, listed map[sched.InstanceID]bool) {
	if a.first.IsZero() {
		a.first = now
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
	a.listed, a.last = listed, now
}

// longerThan tells whether the instance was missing from all reads of at least
// the given time. An instance that was never listed has been missing since the
// first read.
func (a *absence) longerThan(id sched.InstanceID, d time.Duration) bool {
	if a.first.IsZero() || a.listed[id] {
		return false
	}
	since, known := a.since[id]
	if !known {
		since = a.first
	}
	return a.last.Sub(since) > d
}
