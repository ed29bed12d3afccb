package platform

import (
	"context"
	"fmt"
	"time"
)

const (
	outageWorkers = 4
	// The store loses its answers for losePeriod and is silent then, until outagePeriod has
	// passed. That is longer than it keeps its history.
	losePeriod   = 600 * time.Millisecond
	outagePeriod = history + 6*time.Second
	// askPeriod is how long each instance is asked for states, from contact after the
	// outage on.
	askPeriod = 12 * time.Second
)

// outage has the store be down for a while, and asks each instance for submissions after
// that. Every instance that says it is ready has to know their states.
func outage(c context.Context, d *deployment, trouble bool) (verdict, error) {
	if err := d.addWorkers(outageWorkers); err != nil {
		return verdict{}, err
	}
	if err := d.addInstances(c); err != nil {
		return verdict{}, err
	}
	body := func(ms int64) map[string]any {
		return map[string]any{"spec": spec(taskSpec{Ms: ms, CPU: 1000, MemMB: 512}), "steps": []any{
			map[string]any{"count": 2, "cpu": 1000, "mem_mb": 512, "estimated_ms": ms},
		}}
	}
	const before, after = "00000000000000f6", "00000000000000f7"
	if err := d.submit(before, body(3000)); err != nil {
		return verdict{}, err
	}
	time.Sleep(time.Second)
	if trouble {
		d.journal.note("driver the store loses its answers")
		d.store.mode.Store(losing)
		time.Sleep(losePeriod)
		d.journal.note("driver the store is down")
		d.store.mode.Store(silent)
		time.Sleep(outagePeriod - losePeriod)
		d.store.mode.Store(answering)
		d.journal.note("driver the store is back")
	}
	time.Sleep(2 * contact)
	if err := d.submit(after, body(500)); err != nil {
		return verdict{}, err
	}
	time.Sleep(contact)
	wrong := map[string]int{}
	asked := 0
	for began := time.Now(); time.Since(began) < askPeriod && c.Err() == nil; time.Sleep(pollInterval) {
		asked++
		for _, i := range d.instances {
			if !d.isReady(c, i) {
				continue
			}
			for _, id := range []string{before, after} {
				if s := d.stateAt(i, id); s != "completed" {
					d.journal.note("driver %s says of %s: %q", i.name, id, s)
					wrong[i.name+" on "+id]++
				}
			}
		}
	}
	for what, n := range wrong {
		if n == asked {
			return verdict{true, fmt.Sprintf("%s: not once in %v the state that the others give (%v)", what, askPeriod, wrong)}, nil
		}
	}
	return verdict{reason: "every instance knows the states"}, nil
}
