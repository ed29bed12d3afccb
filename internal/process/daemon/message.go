package daemon

import (
	"errors"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/version/rules"
	"github.com/parsleybarrow/parsleybarrow/pkg/admit"
	"github.com/parsleybarrow/parsleybarrow/pkg/event"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"

	"go.uber.org/zap"
)

// sampleInterval is the time between two samples of the teams' demand. Quota
// parts follow demand over seconds.
const sampleInterval = time.Second

// tick moves the control state on with the time.
type tick struct{}

func (tick) apply(c *control) {
	now := c.d.Clock.Now()
	c.table.Tick(now)
	if now.Sub(c.sampled) >= sampleInterval {
		c.sampled = now
		c.quota.Sample(now, c.d.quotas.Counts())
		c.quotaParts(now)
		c.usage.Observe(c.d.ID, c.d.Incarnation, c.d.proxy.Totals())
	}
	c.planTick(now)
	c.publish(now)
}

func (c *control) quotaParts(now time.Time) {
	v := c.table.View()
	c.d.quotas.Set(now, c.quota.Parts(now, v.Entries(), v.LargestEntries()))
}

// listed is the result of one poll of the platform's list.
type listed struct {
	members []sched.Member
	err     error
}

func (m listed) apply(c *control) {
	now := c.d.Clock.Now()
	if up := m.err == nil; up != c.listUp {
		c.listUp = up
		kinds := map[bool]sched.EventKind{true: event.KindListBack, false: event.KindListLost}
		c.d.change(kinds[up], "")
	}
	if m.err == nil {
		c.table.List(now, m.members)
		c.listRead(now, m.members)
		c.listSeen = true
	}
	c.publish(now)
}

// leave is the start of the drain.
type leave struct{ done chan struct{} }

func (m leave) apply(c *control) {
	now := c.d.Clock.Now()
	c.leaving = true
	c.table.Leave(now)
	c.publish(now)
	close(m.done)
}

// paged is the result of one read of a stream.
type paged struct {
	feed  feed
	page  sched.Page
	began time.Time
	err   error
}

func (c *control) took(m paged) {
	now := c.d.Clock.Now()
	c.logState(m.feed.stream, m.began, m.err, now)
	var trimmed *sched.TrimmedError
	switch {
	case m.err == nil:
		c.d.meters.records.Add(len(m.page.Records))
		m.feed.page(c, now, m.began, m.page)
	case errors.As(m.err, &trimmed):
		m.feed.trimmed(c, trimmed.Earliest)
	default:
		// The next read tries again; logState has noted the failure.
	}
	c.publish(now)
}

// logState follows whether the log answers. A trimmed read is an answer.
func (c *control) logState(stream string, began time.Time, err error, now time.Time) {
	var trimmed *sched.TrimmedError
	up := err == nil || errors.As(err, &trimmed)
	if up {
		c.logAt = began
		c.versions.LogReached(now)
	}
	if up == c.logUp {
		return
	}
	c.logUp = up
	if up {
		c.d.change(event.KindLogBack, "")
		return
	}
	c.d.change(event.KindLogLost, err.Error(), zap.String("stream", stream))
}

// configured puts a new version in force for traffic.
func (c *control) configured(now time.Time) {
	version, doc := c.versions.InForce()
	s := doc.Settings(version)
	c.settings, c.rules = &s, rules.Compile(s)
	c.d.gate.SetShares(admit.SharesOf(&s))
	c.quota.SetTeams(s.Teams)
	c.quotaParts(now)
	c.planSettings(now)
	c.publish(now)
	v := c.d.view.Load()
	c.route(v)
	c.d.events.Add(sched.Event{Kind: event.KindVersionInForce, Version: version})
	c.d.Logger.Info(string(event.KindVersionInForce), zap.Int64("version", int64(version)))
}
