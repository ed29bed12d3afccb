package agent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/wire/pb"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Values of WorkerOrder.kind.
const (
	kindStart = iota + 1
	kindStop
	kindPace
	kindLease
)

// Values of OrderResult.failure.
const (
	answered = iota
	hadNoEffect
	effectUnknown
)

func runMessage(t sched.TaskRef, n sched.RunNumber) *pb.OrderRun {
	return &pb.OrderRun{
		Job: string(t.Job), Occurrence: uint32(t.Occurrence), Step: uint32(t.Step), Index: uint32(t.Index), Run: uint32(n),
	}
}

func decodeRun(m *pb.OrderRun) (sched.TaskRef, sched.RunNumber) {
	return sched.TaskRef{
		Job: sched.JobID(m.GetJob()), Occurrence: int(m.GetOccurrence()), Step: int(m.GetStep()), Index: int(m.GetIndex()),
	}, sched.RunNumber(m.GetRun())
}

// startMessage leaves out the payload, which the batch holds.
func startMessage(o sched.StartOrder) *pb.WorkerOrder {
	return &pb.WorkerOrder{
		Kind: kindStart, Run: runMessage(o.Task, o.Run), Lease: int64(o.Lease), Token: int64(o.Token),
		Checkpoint: string(o.Checkpoint), Ticket: o.Ticket,
	}
}

func stopMessage(o sched.StopOrder) *pb.WorkerOrder {
	return &pb.WorkerOrder{Kind: kindStop, Run: runMessage(o.Task, o.Run), Token: int64(o.Token)}
}

func paceMessage(o sched.PaceOrder) *pb.WorkerOrder {
	return &pb.WorkerOrder{Kind: kindPace, Run: runMessage(o.Task, o.Run), Token: int64(o.Token), Percent: uint32(o.Percent)}
}

func leaseMessage(o sched.LeaseOrder) *pb.WorkerOrder {
	return &pb.WorkerOrder{
		Kind: kindLease, Token: int64(o.Token), Lease: int64(o.Lease), RecordedEnd: o.RecordedEnd,
		Wait: uint32(o.Wait.Milliseconds()),
	}
}

// errInvalidOrder reports an order that an agent can't carry out.
var errInvalidOrder = errors.New("invalid order")

// carryOut sends an order to its worker. The payloads are those of its batch. The
// error wraps sched.ErrUnavailable if the order can't be decoded.
func carryOut(c context.Context, r sched.OrderClient, m *pb.WorkerOrder, payloads [][]byte) (sched.LeaseAnswer, error) {
	w := sched.Worker{ID: sched.InstanceID(m.GetWorker()), Address: m.GetAddress()}
	t, n := decodeRun(m.GetRun())
	var a sched.LeaseAnswer
	var err error
	switch m.GetKind() {
	case kindStart:
		if int(m.GetPayload()) >= len(payloads) {
			return a, fmt.Errorf("%w: %w: payload %d of %d", sched.ErrUnavailable, errInvalidOrder, m.GetPayload(), len(payloads))
		}
		a.OrderAnswer, err = r.Start(c, w, sched.StartOrder{
			Task: t, Run: n, Payload: string(payloads[m.GetPayload()]), Lease: sched.WorkerClock(m.GetLease()),
			Token: sched.FencingToken(m.GetToken()), Checkpoint: sched.CheckpointID(m.GetCheckpoint()), Ticket: m.GetTicket(),
		})
	case kindStop:
		a.OrderAnswer, err = r.Stop(c, w, sched.StopOrder{Task: t, Run: n, Token: sched.FencingToken(m.GetToken())})
	case kindPace:
		a.OrderAnswer, err = r.Pace(c, w, sched.PaceOrder{
			Task: t, Run: n, Percent: int(m.GetPercent()), Token: sched.FencingToken(m.GetToken()),
		})
	case kindLease:
		a, err = r.Lease(c, w, sched.LeaseOrder{
			Token: sched.FencingToken(m.GetToken()), Lease: sched.WorkerClock(m.GetLease()), RecordedEnd: m.GetRecordedEnd(),
			Wait: time.Duration(m.GetWait()) * time.Millisecond,
		})
	default:
		err = fmt.Errorf("%w: %w: kind %d", sched.ErrUnavailable, errInvalidOrder, m.GetKind())
	}
	return a, err
}

// resultMessage returns the result of the order with the id.
func resultMessage(id uint64, a sched.LeaseAnswer, err error) *pb.OrderResult {
	out := &pb.OrderResult{Id: id, TimedOut: errors.Is(err, context.DeadlineExceeded)}
	switch {
	case errors.Is(err, sched.ErrUnavailable):
		out.Failure, out.Reason = hadNoEffect, err.Error()
		return out
	case err != nil:
		out.Failure, out.Reason = effectUnknown, err.Error()
		return out
	}
	out.Refusal, out.Clock, out.Incarnation = uint32(a.Refusal), int64(a.Clock), a.Incarnation
	for _, r := range a.Running {
		out.Running = append(out.Running, &pb.OrderRunning{
			Run: runMessage(r.Task, r.Run), Checkpoint: string(r.Checkpoint), Percent: uint32(r.Percent), Measurement: r.Measurement,
		})
	}
	for _, e := range a.Ended {
		out.Ended = append(out.Ended, &pb.OrderEnded{
			Number: e.Number, Run: runMessage(e.Task, e.Run), End: uint32(e.End), Checkpoint: string(e.Checkpoint),
		})
	}
	return out
}

// failureOf returns the error in a result, which wraps kind, and
// context.DeadlineExceeded after a time-out.
func failureOf(kind error, m *pb.OrderResult) error {
	if m.GetTimedOut() {
		return fmt.Errorf("%w: agent: %s: %w", kind, m.GetReason(), context.DeadlineExceeded)
	}
	return fmt.Errorf("%w: agent: %s", kind, m.GetReason())
}

// decodeResult returns the answer or the error in a result. A refusal or an end
// that isn't known counts as a lost answer.
func decodeResult(m *pb.OrderResult) (sched.LeaseAnswer, error) {
	switch m.GetFailure() {
	case answered:
	case hadNoEffect:
		return sched.LeaseAnswer{}, failureOf(sched.ErrUnavailable, m)
	default:
		return sched.LeaseAnswer{}, failureOf(sched.ErrUncertain, m)
	}
	if m.GetRefusal() > uint32(sched.RefusedIdentity) {
		return sched.LeaseAnswer{}, fmt.Errorf("%w: agent: refusal %d", sched.ErrUncertain, m.GetRefusal())
	}
	a := sched.LeaseAnswer{OrderAnswer: sched.OrderAnswer{
		Refusal: sched.Refusal(m.GetRefusal()), Clock: sched.WorkerClock(m.GetClock()), Incarnation: m.GetIncarnation(),
	}}
	for _, r := range m.GetRunning() {
		t, n := decodeRun(r.GetRun())
		a.Running = append(a.Running, sched.RunningRun{
			Task: t, Run: n, Checkpoint: sched.CheckpointID(r.GetCheckpoint()), Percent: int(r.GetPercent()),
			Measurement: r.GetMeasurement(),
		})
	}
	for _, e := range m.GetEnded() {
		if e.GetEnd() < uint32(sched.EndDone) || e.GetEnd() > uint32(sched.EndGangIncomplete) {
			return sched.LeaseAnswer{}, fmt.Errorf("%w: agent: end %d of a run", sched.ErrUncertain, e.GetEnd())
		}
		t, n := decodeRun(e.GetRun())
		a.Ended = append(a.Ended, sched.EndedRun{
			Number: e.GetNumber(), Task: t, Run: n, End: sched.RunEnd(e.GetEnd()), Checkpoint: sched.CheckpointID(e.GetCheckpoint()),
		})
	}
	return a, nil
}
