package platform

import (
	"context"
	"fmt"
	"time"
)

const (
	// restartTasks tasks that last fit on one worker.
	restartTasks = 100
	restartCPU   = 150
	restartMemMB = 512
	// awayLimit is the time after its last run from which on a lasting task must not wait
	// for longer than heldLimit while there is capacity for it.
	awayLimit = 6 * time.Second
	heldLimit = 3 * time.Second
)

// restarts hands in a submission with many tasks that last, and has the worker crash once
// that runs most of them. All have to be at work again in time.
func restarts(c context.Context, d *deployment, trouble bool) (verdict, error) {
	if err := d.addWorkers(crashWorkers); err != nil {
		return verdict{}, err
	}
	if err := d.addInstances(c); err != nil {
		return verdict{}, err
	}
	const id = "00000000000000d4"
	body := map[string]any{"spec": spec(taskSpec{CPU: restartCPU, MemMB: restartMemMB, Lasts: true}), "steps": []any{map[string]any{
		"count": restartTasks, "cpu": restartCPU, "mem_mb": restartMemMB, "estimated_ms": 500, "long_running": true, "image": "room",
		"target_ms": 50,
	}}}
	if err := d.submit(id, body); err != nil {
		return verdict{}, err
	}
	for len(running(d, id)) < restartTasks {
		if c.Err() != nil {
			return verdict{}, c.Err()
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Second)
	on := map[string]int{}
	for _, w := range running(d, id) {
		on[w]++
	}
	d.journal.note("driver tasks on workers: %v", on)
	crashed := time.Now()
	if trouble {
		if err := d.crash(0, crashDown); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(time.Until(crashed.Add(awayLimit)))
	most := restartTasks
	for time.Since(crashed) < awayLimit+heldLimit+200*time.Millisecond {
		most = min(most, restartTasks-len(running(d, id)))
		time.Sleep(50 * time.Millisecond)
	}
	return verdict{most > 0, fmt.Sprintf("%d of %d tasks that last didn't run for %v, from %v after their last run on", most, restartTasks, heldLimit, awayLimit)}, nil
}

// running returns the worker of each task of a submission that has a run now.
func running(d *deployment, job string) map[string]string {
	out := map[string]string{}
	for _, o := range d.journal.all() {
		switch {
		case o.kind == "crash":
			for t, w := range out {
				if w == o.worker {
					delete(out, t)
				}
			}
		case o.job != job:
		case o.kind == "start":
			out[o.task] = o.worker
		case o.kind == "end" && out[o.task] == o.worker:
			delete(out, o.task)
		}
	}
	return out
}
