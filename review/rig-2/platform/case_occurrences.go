package platform

import (
	"context"
	"fmt"
	"time"
)

const (
	// Of sweepWorkers workers one stands still for stillPeriod.
	sweepWorkers = 10
	stillPeriod  = 5500 * time.Millisecond
	// The submission has sweepOccurrences occurrences of sweepTasks tasks.
	sweepTasks       = 700
	sweepTaskMs      = 1200
	sweepCPU         = 100
	sweepOccurrences = 4
	sweepInterval    = 3 * time.Second
	// finishPeriod is the time after the last occurrence is due in which all must be done.
	finishPeriod = 14 * time.Second
	pollInterval = time.Second
)

// occurrences hands in a submission that runs several times, with tasks that may be
// copied, and has the tasks on one worker stand still during the first ones.
func occurrences(c context.Context, d *deployment, trouble bool) (verdict, error) {
	if err := d.addWorkers(sweepWorkers); err != nil {
		return verdict{}, err
	}
	if err := d.addInstances(c); err != nil {
		return verdict{}, err
	}
	const id = "00000000000000c3"
	first := time.Now().Add(time.Second)
	body := map[string]any{
		"spec": spec(taskSpec{Ms: sweepTaskMs, CPU: sweepCPU, MemMB: 64}), "repeat_count": sweepOccurrences,
		"start_at_ms": first.UnixMilli(), "interval_ms": sweepInterval.Milliseconds(),
		"steps": []any{map[string]any{
			"count": sweepTasks, "cpu": sweepCPU, "mem_mb": 64, "estimated_ms": sweepTaskMs, "speculative": true,
		}},
	}
	if err := d.submit(id, body); err != nil {
		return verdict{}, err
	}
	time.Sleep(time.Until(first) + 300*time.Millisecond)
	if trouble {
		if err := d.still(0, true); err != nil {
			return verdict{}, err
		}
		time.Sleep(stillPeriod)
		if err := d.still(0, false); err != nil {
			return verdict{}, err
		}
	}
	last := first.Add((sweepOccurrences - 1) * sweepInterval)
	for time.Since(last) < finishPeriod && c.Err() == nil {
		if d.state(id) == "completed" {
			return verdict{reason: "the submission is completed"}, nil
		}
		time.Sleep(pollInterval)
	}
	begun, newest := map[int]bool{}, int64(0)
	for _, o := range d.journal.all() {
		if o.kind == "start" {
			begun[o.occurrence] = true
		}
		newest = max(newest, o.ms)
	}
	idle := time.Since(time.UnixMilli(newest))
	return verdict{
		d.state(id) != "completed" && idle > 3*time.Second,
		fmt.Sprintf("submission %s isn't completed; %d of its %d occurrences have begun, and no worker has had anything to do for %v",
			id, len(begun), sweepOccurrences, idle.Round(time.Second)),
	}, nil
}
