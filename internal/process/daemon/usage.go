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
	// usageOthers is the number of intervals after which any other instance
	// appends what the responsible one has not covered.
	usageOthers = 6
	// usageFullPart is the part of the log's retention after which a record
	// repeats all totals.
	usageFullPart = 4
	appendTime    = 2 * time.Second
)

// usageOwner is the responsibility for the stream usage.
const usageOwner rendez.Key = "usage"

// usageLoop appends the running totals.
func (d *Daemon) usageLoop(c context.Context) {
	fullAt := d.Clock.Now()
	for turn := 1; d.Clock.Sleep(c, usageInterval) == nil; turn++ {
		owner, ok := usageOwner.Owner(d.view.Load().candidates())
		if (!ok || owner != d.ID) && turn%usageOthers != 0 {
			continue
		}
		full := owner == d.ID && d.Clock.Now().Sub(fullAt) > d.LogRetention/usageFullPart
		if d.appendUsage(c, full) == nil && full {
			fullAt = d.Clock.Now()
		}
	}
}

func (v *view) candidates() []sched.InstanceID {
	if v.members == nil {
		return nil
	}
	return v.members.AllCandidates()
}

// appendUsage appends the totals that no record covers yet, or all of them. A
// lost acknowledgement needs no care: the largest total wins, so a repeat
// changes nothing.
func (d *Daemon) appendUsage(c context.Context, full bool) error {
	var entries []usage.Entry
	err := d.ask(c, func(k *control) {
		k.usage.Observe(d.ID, d.Incarnation, d.proxy.Totals())
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

// append adds one record whose repetition does no harm.
func (d *Daemon) append(c context.Context, stream string, data []byte) error {
	x, cancel := context.WithTimeout(c, appendTime)
	defer cancel()
	_, err := d.Log.Append(x, stream, data)
	d.meters.appends[appendResult(err)].Inc()
	return err
}
