package platform

import (
	"context"
	"fmt"
	"time"
)

const (
	// replicas tasks that last fit on one worker.
	replicas     = 64
	replicaCPU   = 200
	replicaMemMB = 512
	// secondCrash is the time from the first crash to the second one.
	secondCrash = 10500 * time.Millisecond
	// A submission must not wait for heldLimit while there is capacity for it, if these and
	// the calmPart before them are calm.
	heldLimit = 3 * time.Second
	calmPart  = 4 * time.Second
	// Checks of one small task are handed in every smallInterval for smallPeriod.
	smallInterval = 400 * time.Millisecond
	smallPeriod   = 10 * time.Second
	smallMs       = 300
)

// standstill hands in a submission with many tasks that last, and has two workers crash, one
// after the other. Small checks that come after that have to be started in time.
func standstill(c context.Context, d *deployment, trouble bool) (verdict, error) {
	if err := d.addWorkers(crashWorkers); err != nil {
		return verdict{}, err
	}
	if err := d.addInstances(c); err != nil {
		return verdict{}, err
	}
	const id = "00000000000000d4"
	body := map[string]any{"spec": spec(taskSpec{CPU: replicaCPU, MemMB: replicaMemMB, Lasts: true}), "steps": []any{map[string]any{
		"count": replicas, "cpu": replicaCPU, "mem_mb": replicaMemMB, "estimated_ms": 500, "long_running": true, "image": "room",
		"target_ms": 50,
	}}}
	if err := d.submit(id, body); err != nil {
		return verdict{}, err
	}
	for len(running(d, id)) < replicas {
		if c.Err() != nil {
			return verdict{}, c.Err()
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Second)
	noteReplicas(d, id)
	if trouble {
		began := time.Now()
		if err := d.crash(0, crashDown); err != nil {
			return verdict{}, err
		}
		time.Sleep(time.Until(began.Add(secondCrash)))
		noteReplicas(d, id)
		if err := d.crash(crashWorkers/2, crashDown); err != nil {
			return verdict{}, err
		}
	}
	return checks(c, d, time.Now())
}

// noteReplicas notes how many tasks of a submission each worker runs.
func noteReplicas(d *deployment, id string) {
	on := map[string]int{}
	for _, w := range running(d, id) {
		on[w]++
	}
	d.journal.note("driver tasks that last: %v", on)
}

// checks hands in small checks and judges when they began. All is calm from the given time
// on.
func checks(c context.Context, d *deployment, calm time.Time) (verdict, error) {
	body := map[string]any{"spec": spec(taskSpec{Ms: smallMs, CPU: 1000, MemMB: 512}), "steps": []any{map[string]any{
		"count": 1, "cpu": 1000, "mem_mb": 512, "estimated_ms": smallMs,
	}}}
	accepted := map[string]time.Time{}
	for n := 0; time.Since(calm) < smallPeriod && c.Err() == nil; n++ {
		id := fmt.Sprintf("%016x", 0xd50000+n)
		if err := d.submit(id, body); err != nil {
			return verdict{}, err
		}
		accepted[id] = time.Now()
		time.Sleep(smallInterval)
	}
	time.Sleep(heldLimit)
	started := map[string]time.Time{}
	for _, o := range d.journal.all() {
		if _, small := accepted[o.job]; small && o.kind == "start" && started[o.job].IsZero() {
			started[o.job] = time.UnixMilli(o.ms)
		}
	}
	held, longest := 0, time.Duration(0)
	for id, at := range accepted {
		begun, known := started[id]
		if !known {
			begun = time.Now()
		}
		longest = max(longest, begun.Sub(at))
		from := calm.Add(calmPart)
		if at.After(from) {
			from = at
		}
		if begun.Sub(from) > heldLimit {
			held++
		}
	}
	return verdict{held > 0, fmt.Sprintf("%d of %d accepted checks had nothing running for %v or more, which were calm like the %v before; the longest wait was %v",
		held, len(accepted), heldLimit, calmPart, longest.Round(100*time.Millisecond))}, nil
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
