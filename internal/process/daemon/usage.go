package daemon

import (
	"context"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/rendez"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/usage"
)

const (
	// usageInterval is the time between two appends of the responsible
	// instance.
	usageInterval = 5 * time.Second
	// usageFallbackTurns is the number of intervals between two appends of any
	// other instance. Those cover totals that the responsible instance has not.
	usageFallbackTurns = 6
	// usageFullPerRetention is how often per retention of the log the
	// responsible instance appends a record with all totals, so that totals
	// that no longer change are not trimmed.
	usageFullPerRetention = 4
	// appendTimeout bounds one append to the log.
	appendTimeout = 2 * time.Second
)

// usageOwnerKey is the key that selects the instance responsible for the usage
// stream.
const usageOwnerKey rendez.Key = "usage"

// usageLoop appends the running totals until the context ends.
func (d *Daemon) usageLoop(c context.Context) {
	fullAt := d.Clock.Now()
	for turn := 1; d.Clock.Sleep(c, usageInterval) == nil; turn++ {
		owner, ok := usageOwnerKey.Owner(d.view.Load().candidates())
		if (!ok || owner != d.ID) && turn%usageFallbackTurns != 0 {
			continue
		}
		full := owner == d.ID && d.Clock.Now().Sub(fullAt) > d.LogRetention/usageFullPerRetention
		if d.appendUsage(c, full) == nil && full {
			fullAt = d.Clock.Now()
		}
	}
}

// candidates returns the instances that may hold a responsibility.
func (v *view) candidates() []sched.InstanceID {
	if v.members == nil {
		return nil
	}
	return v.members.AllCandidates()
}

// appendUsage appends the totals that no record covers yet, or all totals if
// full is set. After a lost acknowledgement the same totals may be appended
// again: replay keeps the largest total, so the append is idempotent.
func (d *Daemon) appendUsage(c context.Context, full bool) error {
	var entries []usage.RunningTotal
	err := d.callControl(c, func(k *control) {
		k.usage.Observe(d.ID, d.Incarnation, d.proxy.AnsweredTotals())
		entries = k.usage.Pending()
		if full {
			entries = k.usage.All()
		}
	})
	if err != nil || len(entries) == 0 {
		return err
	}
	data, err := usage.Encode(d.ID, full, entries)
	if err != nil {
		return err
	}
	return d.append(c, sched.UsageStream, data)
}

// append appends one record. It does not read the stream back after a lost
// acknowledgement, so the record must be harmless if it is appended twice.
func (d *Daemon) append(c context.Context, stream string, data []byte) error {
	x, cancel := context.WithTimeout(c, appendTimeout)
	defer cancel()
	_, err := d.Log.Append(x, stream, data)
	d.metrics.appends[appendResultLabel(err)].Inc()
	return err
}
