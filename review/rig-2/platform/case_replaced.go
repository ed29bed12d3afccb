package platform

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"time"
)

const (
	// replacedMachines is the number of machines that were in the deployment once and have
	// been removed for good since, replacedAtOnce of them at a time.
	replacedMachines = 60
	replacedAtOnce   = 6
	// stepMs is how long a task of the two steps takes.
	stepMs = 1500
	// longestWait bounds the wait for the second step.
	longestWait = 45 * time.Second
)

// replaced has machines come and go for good, and then removes the one that plans, for good
// too. A submission that is under way has to go on in time.
func replaced(c context.Context, d *deployment, trouble bool) (verdict, error) {
	if err := d.addWorkers(adviceWorkers); err != nil {
		return verdict{}, err
	}
	if err := d.addInstances(c); err != nil {
		return verdict{}, err
	}
	if trouble {
		for n := 0; n < replacedMachines && c.Err() == nil; n += replacedAtOnce {
			if err := d.comeAndGo(c, instances+n); err != nil {
				return verdict{}, err
			}
		}
		time.Sleep(contact)
	}
	const id = "00000000000000c9"
	step := map[string]any{"count": 4, "cpu": 1000, "mem_mb": 512, "estimated_ms": stepMs}
	second := map[string]any{"count": 4, "cpu": 1000, "mem_mb": 512, "estimated_ms": stepMs, "depends_on": []int{0}}
	task := taskSpec{Ms: stepMs, CPU: 1000, MemMB: 512}
	if err := d.submit(id, map[string]any{"spec": spec(task, task), "steps": []any{step, second}}); err != nil {
		return verdict{}, err
	}
	time.Sleep(500 * time.Millisecond)
	planner := d.planner()
	if planner == nil {
		return verdict{}, fmt.Errorf("no planner is on record")
	}
	planner.kill()
	gone := time.Now()
	d.journal.note("driver %s, which plans, is removed for good", planner.name)
	for !d.began(id, 1) && time.Since(gone) < longestWait && c.Err() == nil {
		time.Sleep(tick)
	}
	wait := time.Since(gone)
	d.journal.note("driver second step after %v", wait)
	return verdict{wait > calmPart+heldLimit, fmt.Sprintf(
		"the second step of an accepted submission began %v after the machine that plans was removed, its first step was done after 1 s or so",
		wait.Round(100*time.Millisecond))}, nil
}

// comeAndGo starts machines, waits until they have registered, and removes them for good.
func (d *deployment) comeAndGo(c context.Context, first int) error {
	var all []*instance
	defer func() {
		for _, i := range all {
			i.kill()
		}
	}()
	for n := first; n < first+replacedAtOnce; n++ {
		i, err := d.startInstance(n, nil)
		if err != nil {
			return err
		}
		all = append(all, i)
	}
	for _, i := range all {
		for i.running() && !d.store.has("keyed.instances", "instance/"+i.name) {
			if c.Err() != nil {
				return c.Err()
			}
			time.Sleep(tick)
		}
	}
	return nil
}

// planner returns the instance that the project's directory names as the planner.
func (d *deployment) planner() *instance {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	named := string(d.store.part("keyed.instances", "0").newest["cell/0"].value)
	for _, i := range d.instances {
		if strings.Contains(named, i.name) && i.cmd.Process.Signal(syscall.Signal(0)) == nil {
			return i
		}
	}
	return nil
}

// began reports whether a run of a step of a submission has started.
func (d *deployment) began(id string, step int) bool {
	for _, o := range d.journal.all() {
		if o.kind == "start" && o.job == id && o.step == step {
			return true
		}
	}
	return false
}
