package meter

import (
	"context"
	"fmt"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// WrapStore wraps a store so that appends are counted and timed and reads are
// counted.
func (m *Meter) WrapStore(s sched.Store) sched.Store { return &store{s, m} }

type store struct {
	sched.Store
	meter *Meter
}

// Append implements sched.Store.
func (s *store) Append(c context.Context, p sched.Partition, at sched.Offset, records []sched.KeyedRecord) (sched.Offset, error) {
	start := s.meter.Clock.Now()
	end, err := s.Store.Append(c, p, at, records)
	s.meter.count(appendsTotal, fmt.Sprintf("result=%q", resultOf(err)))
	s.meter.time(appendSeconds, "", start)
	return end, err
}

// Read implements sched.Store.
func (s *store) Read(c context.Context, p sched.Partition, from sched.Offset, wait time.Duration) (sched.Batch, error) {
	b, err := s.Store.Read(c, p, from, wait)
	s.meter.count(readsTotal, fmt.Sprintf("result=%q", resultOf(err)))
	return b, err
}

// Newest implements sched.Store.
func (s *store) Newest(c context.Context, p sched.Partition, after string) (sched.NewestPage, error) {
	page, err := s.Store.Newest(c, p, after)
	s.meter.count(readsTotal, fmt.Sprintf("result=%q", resultOf(err)))
	return page, err
}

// WrapOrderClient wraps a runner so that orders to workers are counted and timed.
func (m *Meter) WrapOrderClient(r sched.OrderClient) sched.OrderClient { return &runner{r, m} }

type runner struct {
	sched.OrderClient
	meter *Meter
}

// record counts an order and its duration. The result is "refused" if the worker
// answered with a refusal.
func (r *runner) record(order string, start time.Time, a sched.OrderAnswer, err error) {
	result := resultOf(err)
	if err == nil && a.Refusal != sched.NotRefused {
		result = "refused"
	}
	label := fmt.Sprintf("order=%q", order)
	r.meter.count(ordersTotal, fmt.Sprintf("%s,result=%q", label, result))
	r.meter.time(orderSeconds, label, start)
}

// Start implements sched.OrderClient.
func (r *runner) Start(c context.Context, w sched.Worker, o sched.StartOrder) (sched.OrderAnswer, error) {
	start := r.meter.Clock.Now()
	a, err := r.OrderClient.Start(c, w, o)
	r.record("start", start, a, err)
	return a, err
}

// Stop implements sched.OrderClient.
func (r *runner) Stop(c context.Context, w sched.Worker, o sched.StopOrder) (sched.OrderAnswer, error) {
	start := r.meter.Clock.Now()
	a, err := r.OrderClient.Stop(c, w, o)
	r.record("stop", start, a, err)
	return a, err
}

// Pace implements sched.OrderClient.
func (r *runner) Pace(c context.Context, w sched.Worker, o sched.PaceOrder) (sched.OrderAnswer, error) {
	start := r.meter.Clock.Now()
	a, err := r.OrderClient.Pace(c, w, o)
	r.record("pace", start, a, err)
	return a, err
}

// Lease implements sched.OrderClient.
func (r *runner) Lease(c context.Context, w sched.Worker, o sched.LeaseOrder) (sched.LeaseAnswer, error) {
	start := r.meter.Clock.Now()
	a, err := r.OrderClient.Lease(c, w, o)
	r.record("lease", start, a.OrderAnswer, err)
	return a, err
}

// WrapAdvisor wraps an advisor so that its calls are counted and timed.
func (m *Meter) WrapAdvisor(a sched.Advisor) sched.Advisor { return &advisor{a, m} }

type advisor struct {
	sched.Advisor
	meter *Meter
}

// Advise implements sched.Advisor.
func (a *advisor) Advise(c context.Context, s sched.StepRef, workers []sched.InstanceID) ([]sched.Ticket, time.Duration, error) {
	start := a.meter.Clock.Now()
	tickets, validity, err := a.Advisor.Advise(c, s, workers)
	a.meter.count(advicesTotal, fmt.Sprintf("result=%q", resultOf(err)))
	a.meter.time(adviceSeconds, "", start)
	return tickets, validity, err
}

// WrapJobService wraps a desk so that callers' requests are counted and timed.
func (m *Meter) WrapJobService(d sched.JobService) sched.JobService { return &desk{d, m} }

type desk struct {
	sched.JobService
	meter *Meter
}

// record counts a call by its result code, and its duration.
func (d *desk) record(call string, start time.Time, v sched.Verdict) {
	label := fmt.Sprintf("call=%q", call)
	d.meter.count(callsTotal, fmt.Sprintf("%s,code=\"%d\"", label, v.Code))
	d.meter.time(callSeconds, label, start)
}

// Submit implements sched.JobService.
func (d *desk) Submit(c context.Context, r sched.Route, j sched.Job) sched.Verdict {
	start := d.meter.Clock.Now()
	v := d.JobService.Submit(c, r, j)
	d.record("submit", start, v)
	return v
}

// State implements sched.JobService.
func (d *desk) State(c context.Context, r sched.Route, id sched.JobID) (sched.JobState, sched.Verdict) {
	start := d.meter.Clock.Now()
	s, v := d.JobService.State(c, r, id)
	d.record("state", start, v)
	return s, v
}

// Cancel implements sched.JobService.
func (d *desk) Cancel(c context.Context, r sched.Route, id sched.JobID) sched.Verdict {
	start := d.meter.Clock.Now()
	v := d.JobService.Cancel(c, r, id)
	d.record("cancel", start, v)
	return v
}

// Pending implements sched.JobService.
func (d *desk) Pending(c context.Context, r sched.Route) (int, sched.Verdict) {
	start := d.meter.Clock.Now()
	n, v := d.JobService.Pending(c, r)
	d.record("pending", start, v)
	return n, v
}
