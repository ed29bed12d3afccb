package platform

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	adviceWorkers = 8
	// A submission must not wait for heldLimit while there is capacity for it, if these and
	// the calmPart before them are calm.
	heldLimit = 3 * time.Second
	calmPart  = 4 * time.Second
	// Checks are handed in at checkRate a second for checkPeriod, at burstFactor times that
	// from burstStart on for burstPeriod.
	checkRate   = 2.0
	checkPeriod = 30 * time.Second
	burstFactor = 2.6
	burstStart  = 8 * time.Second
	burstPeriod = 4 * time.Second
	// checkMs is how long a check takes.
	checkMs = 400
	// checkFinish is the time after the end of the traffic in which all checks must be done.
	checkFinish = 14 * time.Second
)

// advice hands in small checks in a queue whose steps need advice, at a steady rate that the
// advice service bears, with one burst. After the traffic all of them have to be done.
func advice(c context.Context, d *deployment, trouble bool) (verdict, error) {
	if err := d.addWorkers(adviceWorkers); err != nil {
		return verdict{}, err
	}
	if err := d.addInstances(c); err != nil {
		return verdict{}, err
	}
	body := map[string]any{"spec": spec(taskSpec{Ms: checkMs, CPU: 1000, MemMB: 512, Advised: true}), "steps": []any{
		map[string]any{"count": 2, "cpu": 1000, "mem_mb": 512, "estimated_ms": checkMs},
	}}
	var mu sync.Mutex
	var accepted []string
	var callers sync.WaitGroup
	began := time.Now()
	for n := 0; time.Since(began) < checkPeriod && c.Err() == nil; n++ {
		callers.Go(func() {
			id := fmt.Sprintf("%016x", 0xe50000+n)
			if err := d.submitTo(advised, id, body); err != nil {
				d.journal.note("driver %v", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			accepted = append(accepted, id)
		})
		rate := checkRate
		if at := time.Since(began); trouble && at >= burstStart && at < burstStart+burstPeriod {
			rate *= burstFactor
		}
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	callers.Wait()
	d.journal.note("driver end of the traffic, %d accepted", len(accepted))
	time.Sleep(checkFinish)
	started, newest := map[string]bool{}, int64(0)
	for _, o := range d.journal.all() {
		if o.kind == "start" {
			started[o.job] = true
		}
		newest = max(newest, o.ms)
	}
	idle := time.Since(time.UnixMilli(newest))
	missing := 0
	for _, id := range accepted {
		if !started[id] && d.stateOf(advised, id) != "completed" {
			missing++
		}
	}
	return verdict{missing > 0 && idle > heldLimit, fmt.Sprintf(
		"%d of %d accepted submissions have never had a run %v after the end of the traffic; the workers have been idle for %v",
		missing, len(accepted), checkFinish, idle.Round(100*time.Millisecond))}, nil
}
