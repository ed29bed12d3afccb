package daemon

import (
	"context"
	"fmt"
	"net/http"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/pkg/event"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// DrainError is returned by Daemon.Run if requests were still running when the
// drain timeout ended.
type DrainError struct{ Err error }

// Error implements error.
func (e *DrainError) Error() string { return fmt.Sprintf("drain: %v", e.Err) }

// Unwrap returns the cause.
func (e *DrainError) Unwrap() error { return e.Err }

// drain takes the instance out of service in this order: it turns not ready and
// tells its peers; it accepts requests for another DrainDelay; it lets running
// requests finish within the drain timeout; it flushes claims, ends its
// planner's term and appends its usage; it sends the final totals to its peers
// and shuts the servers down. It returns a *DrainError if requests were cut.
func (d *Daemon) drain(servers []*http.Server) error {
	c, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	d.post(drainBegun{done})
	select {
	case <-done:
	case <-d.killed:
		return nil
	}
	d.recordChange(event.KindDraining, "")
	d.sendHeartbeats(c, allPeers)
	_ = d.Clock.Sleep(c, d.DrainDelay)
	timeout := max(d.view.Load().limits().DrainTimeout, flushTimeout)
	x, stop := context.WithTimeout(c, timeout)
	err := d.proxy.Drain(x)
	stop()
	f, stop := context.WithTimeout(c, flushTimeout)
	defer stop()
	_ = d.claims.Flush(f)
	d.endTerm(f)
	_ = d.appendUsage(f, false)
	// The last heartbeat carries the final totals to the peers in case the log
	// is unavailable.
	d.sendHeartbeatsAndWait(f)
	for _, s := range servers {
		_ = shutdown(s, flushTimeout)
	}
	d.recordChange(event.KindStopped, "")
	if err != nil {
		d.Logger.Warn("requests cut", zap.Error(err))
		return &DrainError{err}
	}
	return nil
}

// allPeers returns every other entry instance that may be alive and whose
// address is known.
func allPeers(k *control) []sched.Member {
	var out []sched.Member
	for _, m := range k.table.View().All() {
		if m.Role == sched.RoleEntry && m.ID != k.daemon.ID && m.State != sched.StateGone && m.Address != "" {
			out = append(out, m)
		}
	}
	return out
}

// sendHeartbeatsAndWait sends a heartbeat to every peer and waits until each
// has answered or failed.
func (d *Daemon) sendHeartbeatsAndWait(c context.Context) {
	var to []sched.Member
	var heartbeats []sched.Heartbeat
	err := d.callControl(c, func(k *control) {
		for _, m := range allPeers(k) {
			to, heartbeats = append(to, m), append(heartbeats, k.heartbeat(m.ID, m.DataCentre))
		}
	})
	if err != nil {
		return // the control actor did not fill in the heartbeats
	}
	done := make(chan struct{}, len(to))
	for n := range to {
		go func() {
			d.exchangeHeartbeat(c, to[n], heartbeats[n])
			done <- struct{}{}
		}()
	}
	for range to {
		<-done
	}
}
