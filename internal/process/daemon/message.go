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
// shares follow changes of demand over seconds.
const sampleInterval = time.Second

// tick lets the time-dependent parts of the control state advance. It is posted
// every tickInterval.
type tick struct{}

func (tick) apply(c *control) {
	now := c.daemon.Clock.Now()
	c.table.Tick(now)
	if now.Sub(c.sampledAt) >= sampleInterval {
		c.sampledAt = now
		c.quota.Sample(now, c.daemon.quotas.Counts())
		c.updateQuotas(now)
		c.usage.Observe(c.daemon.ID, c.daemon.Incarnation, c.daemon.proxy.AnsweredTotals())
	}
	c.tickPlanner(now)
	c.publishView(now)
}

// updateQuotas sets this instance's share of each team's quota in the gate.
func (c *control) updateQuotas(now time.Time) {
	v := c.table.View()
	c.daemon.quotas.Set(now, c.quota.Parts(now, v.EntryCount(), v.MaxEntryCount()))
}

// listPolled is the result of one poll of the platform's list.
type listPolled struct {
	members []sched.Member
	err     error
}

func (m listPolled) apply(c *control) {
	now := c.daemon.Clock.Now()
	if up := m.err == nil; up != c.listUp {
		c.listUp = up
		kinds := map[bool]sched.EventKind{true: event.KindListBack, false: event.KindListLost}
		c.daemon.recordChange(kinds[up], "")
	}
	if m.err == nil {
		c.table.ApplyList(now, m.members)
		c.recordList(now, m.members)
		c.listSeen = true
	}
	c.publishView(now)
}

// drainBegun makes the instance leave. done is closed once the view shows it.
type drainBegun struct{ done chan struct{} }

func (m drainBegun) apply(c *control) {
	now := c.daemon.Clock.Now()
	c.leaving = true
	c.table.MarkSelfLeaving(now)
	c.publishView(now)
	close(m.done)
}

// pageRead is the result of one read of a replayed stream.
type pageRead struct {
	source replayedStream
	page   sched.Page
	began  time.Time
	err    error
}

// handlePage applies a page, or continues behind trimmed records.
func (c *control) handlePage(m pageRead) {
	now := c.daemon.Clock.Now()
	c.updateLogState(m.source.stream, m.began, m.err, now)
	var trimmed *sched.TrimmedError
	switch {
	case m.err == nil:
		c.daemon.metrics.records.Add(len(m.page.Records))
		m.source.applyPage(c, now, m.began, m.page)
	case errors.As(m.err, &trimmed):
		m.source.skipTrimmed(c, trimmed.Earliest)
	default:
		// updateLogState has recorded the failure; the next read is the retry.
	}
	c.publishView(now)
}

// updateLogState records whether the log answered a read that started at began,
// and reports when the log becomes available or unavailable. A TrimmedError is
// an answer.
func (c *control) updateLogState(stream string, began time.Time, err error, now time.Time) {
	var trimmed *sched.TrimmedError
	up := err == nil || errors.As(err, &trimmed)
	if up {
		c.logReadAt = began
		c.versions.LogReached(now)
	}
	if up == c.logUp {
		return
	}
	c.logUp = up
	if up {
		c.daemon.recordChange(event.KindLogBack, "")
		return
	}
	c.daemon.recordChange(event.KindLogLost, err.Error(), zap.String("stream", stream))
}

// applyConfig puts the newest configuration version in force for the request
// path, the quotas and the planner.
func (c *control) applyConfig(now time.Time) {
	version, doc := c.versions.InForce()
	s := doc.Settings(version)
	c.settings, c.rules = &s, rules.Compile(s)
	c.daemon.gate.SetShares(admit.SharesFromSettings(&s))
	c.quota.SetTeams(s.Teams)
	c.updateQuotas(now)
	c.configurePlanner(now)
	c.publishView(now)
	v := c.daemon.view.Load()
	c.updateRoutes(v)
	c.daemon.events.Add(sched.Event{Kind: event.KindVersionInForce, Version: version})
	c.daemon.Logger.Info(string(event.KindVersionInForce), zap.Int64("version", int64(version)))
}
