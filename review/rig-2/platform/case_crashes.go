package platform

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// crashWorkers is the number of workers; one of them crashes at a time, which
	// one is up to crashSeed and not to what runs there.
	crashWorkers  = 8
	crashSeed     = 1
	crashInterval = 2500 * time.Millisecond
	crashDown     = 1500 * time.Millisecond
	crashPeriod   = 85 * time.Second
	calmPeriod    = 30 * time.Second
	pollInterval  = time.Second
)

// crashes hands in a submission that lasts and a sweep, and has the workers crash one
// at a time, whatever runs on them. Neither may be shown as failed while none of its
// runs has ended as failed.
func crashes(c context.Context, d *deployment, trouble bool) (verdict, error) {
	if err := d.addWorkers(crashWorkers); err != nil {
		return verdict{}, err
	}
	if err := d.addInstances(c); err != nil {
		return verdict{}, err
	}
	room := map[string]any{"spec": spec(taskSpec{CPU: 3200, MemMB: 6400, Lasts: true}), "steps": []any{map[string]any{
		"count": 4, "cpu": 3200, "mem_mb": 6400, "estimated_ms": 500, "long_running": true, "image": "room", "target_ms": 50,
		"anti_affinity": 1,
	}}}
	sweep := map[string]any{"spec": spec(taskSpec{Ms: 25000, CPU: 1800, MemMB: 3200}), "steps": []any{map[string]any{
		"count": 8, "cpu": 1800, "mem_mb": 3200, "estimated_ms": 25000, "checkpointable": true,
	}}}
	bodies := map[string]any{"00000000000000a1": room, "00000000000000b2": sweep}
	for id, b := range bodies {
		if err := d.submit(id, b); err != nil {
			return verdict{}, err
		}
	}
	period := calmPeriod
	if trouble {
		period = crashPeriod
		go func() {
			r := rand.New(rand.NewPCG(crashSeed, 0))
			for c.Err() == nil {
				time.Sleep(crashInterval - crashDown)
				if err := d.crash(r.IntN(crashWorkers), crashDown); err != nil {
					return
				}
			}
		}()
	}
	for began := time.Now(); time.Since(began) < period && c.Err() == nil; time.Sleep(pollInterval) {
		for id := range bodies {
			if s := d.state(id); s == "failed" || s == "cancelled" {
				return verdict{endsOf(d, id, "failed") == 0, fmt.Sprintf(
					"submission %s is shown as %s; %d of its runs have ended as failed, its queue allows %d for each task",
					id, s, endsOf(d, id, "failed"), maxAttempts)}, nil
			}
		}
	}
	return verdict{reason: "no submission was shown as failed"}, nil
}

// endsOf counts the runs of a submission that have ended so.
func endsOf(d *deployment, job, how string) int {
	n := 0
	for _, o := range d.journal.all() {
		if o.kind == "end" && o.job == job && o.how == how {
			n++
		}
	}
	return n
}
