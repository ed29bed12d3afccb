package daemon

import (
	"context"
	"fmt"
	"net/http"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/pkg/event"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// DrainError reports requests that were cut when the drain timeout ended.
type DrainError struct{ Err error }

// Error implements error.
func (e *DrainError) Error() string { return fmt.Sprintf("drain: %v", e.Err) }

// Unwrap returns the cause.
func (e *DrainError) Unwrap() error { return e.Err }

// drain leaves: readiness turns false, the peers are told, requests are taken
// for DrainDelay more, running requests finish, the planner's term ends, and
// usage is flushed.
func (d *Daemon) drain(servers []*http.Server) error {
	c, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	d.post(leave{done})
	select {
	case <-done:
	case <-d.killed:
		return nil
	}
	d.change(event.KindDraining, "")
	d.beat(c, allPeers)
	_ = d.Clock.Sleep(c, d.DrainDelay)
	timeout := max(d.view.Load().limits().DrainTimeout, flushTime)
	x, stop := context.WithTimeout(c, timeout)
	err := d.proxy.Drain(x)
	stop()
	f, stop := context.WithTimeout(c, flushTime)
	defer stop()
	_ = d.claims.Flush(f)
	d.endTerm(f)
	_ = d.appendUsage(f, false)
	// The last heartbeat carries the final totals in case the log is away.
	d.beatAndWait(f)
	for _, s := range servers {
		_ = shutdown(s, flushTime)
	}
	d.change(event.KindStopped, "")
	if err != nil {
		d.Logger.Warn("requests cut", zap.Error(err))
		return &DrainError{err}
	}
	return nil
}

// allPeers chooses every other entry instance that may be alive.
func allPeers(k *control) []sched.Member {
	var out []sched.Member
	for _, m := range k.table.View().All() {
		if m.Role == sched.RoleEntry && m.ID != k.d.ID && m.State != sched.StateGone && m.Address != "" {
			out = append(out, m)
		}
	}
	return out
}

// beatAndWait sends a heartbeat to every peer and waits for the answers.
func (d *Daemon) beatAndWait(c context.Context) {
	var to []sched.Member
	var beats []sched.Heartbeat
	err := d.ask(c, func(k *control) {
		for _, m := range allPeers(k) {
			to, beats = append(to, m), append(beats, k.heartbeat(m.ID, m.DataCentre))
		}
	})
	if err != nil {
		return // the actor may still be about to fill in the heartbeats
	}
	done := make(chan struct{}, len(to))
	for n := range to {
		go func() {
			d.exchange(c, to[n], beats[n])
			done <- struct{}{}
		}()
	}
	for range to {
		<-done
	}
}
