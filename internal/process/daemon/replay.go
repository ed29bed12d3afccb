package daemon

import (
	"context"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/usage"
)

// replayedStream is a stream that the control actor replays. Its functions run
// in the actor.
type replayedStream struct {
	stream string
	// pause is the time between two reads.
	pause time.Duration
	// alwaysPause keeps the pause even while the log holds more records. Without
	// it, the next page is read at once.
	alwaysPause bool
	// next returns the offset at which the next read begins.
	next func(c *control) sched.Offset
	// limit returns the largest number of records of the next read.
	limit func(c *control) int
	// applyPage applies the page of a read that started at began.
	applyPage func(c *control, now, began time.Time, p sched.Page)
	// skipTrimmed makes the replay continue at earliest, as the log no longer
	// holds the records before it.
	skipTrimmed func(c *control, earliest sched.Offset)
}

const (
	// readTimeout bounds one read of the log.
	readTimeout = 2 * time.Second
	// configPause limits the reads of a burst of configuration changes to less
	// than 8 KB/s per node.
	configPause = time.Second
	usagePause  = 2 * time.Second
	// usagePageLimit is the largest number of usage records of one read.
	usagePageLimit = 500
)

func (d *Daemon) replayedStreams() []replayedStream {
	return []replayedStream{
		{
			stream: sched.ConfigStream, pause: configPause, alwaysPause: true,
			next:        func(c *control) sched.Offset { return c.versions.Next() },
			limit:       func(c *control) int { return c.versions.Limit() },
			applyPage:   applyConfigPage,
			skipTrimmed: func(c *control, earliest sched.Offset) { c.versions.Trimmed(earliest) },
		},
		{
			stream: sched.UsageStream, pause: usagePause,
			next:        func(c *control) sched.Offset { return c.usageOffset + 1 },
			limit:       func(*control) int { return usagePageLimit },
			applyPage:   applyUsagePage,
			skipTrimmed: func(c *control, earliest sched.Offset) { c.usageOffset = earliest - 1 },
		},
	}
}

func applyConfigPage(c *control, now, _ time.Time, p sched.Page) {
	if c.versions.Page(now, p) {
		c.applyConfig(now)
	}
}

func applyUsagePage(c *control, _, _ time.Time, p sched.Page) {
	for _, r := range p.Records {
		c.usageOffset = r.Offset
		// Every reader skips a record that does not decode, so all compute the
		// same totals.
		if entries, _, err := usage.Decode(r.Data); err == nil {
			c.usage.Replay(entries)
		}
	}
}

// followStream reads a stream page by page until the context ends.
func (d *Daemon) followStream(c context.Context, f replayedStream) {
	for c.Err() == nil {
		more := d.readPage(c, f)
		if more && !f.alwaysPause {
			continue
		}
		if d.Clock.Sleep(c, f.pause) != nil {
			return
		}
	}
}

// readPage reads one page, applies it in the control actor and reports whether
// the log holds records after it.
func (d *Daemon) readPage(c context.Context, f replayedStream) bool {
	var from sched.Offset
	var limit int
	if d.callControl(c, func(k *control) { from, limit = f.next(k), f.limit(k) }) != nil {
		return false
	}
	m := pageRead{source: f, began: d.Clock.Now()}
	x, cancel := context.WithTimeout(c, readTimeout)
	m.page, m.err = d.Log.Read(x, f.stream, from, limit)
	cancel()
	if c.Err() != nil {
		return false
	}
	_ = d.callControl(c, func(k *control) { k.handlePage(m) })
	n := len(m.page.Records)
	return n > 0 && m.page.Records[n-1].Offset+1 < m.page.Next
}
