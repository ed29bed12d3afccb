package relay

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/parsleybarrow/parsleybarrow/internal/wire/pb"
	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/order"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Question asks for the explanation of a job.
type Question struct {
	ID sched.JobID
	// Job is set for a job that wasn't submitted, with the Host and Path of its route.
	Job        *sched.Job
	Host, Path string
}

// Answer is the answer to a Question.
type Answer struct {
	Cell     int
	Instance sched.InstanceID
	// Known is false if there is no such job or route, or the planner explained another job
	// just before.
	Known bool
	cell.Explanation
}

// Explain implements pbconnect.RelayHandler.
func (s *service) Explain(c context.Context, m *pb.RelayExplainRequest) (*pb.RelayExplanation, error) {
	q := Question{ID: sched.JobID(m.GetId()), Host: m.GetHost(), Path: m.GetPath()}
	if m.GetJob() != nil {
		j := codec.JobFromMessage(q.ID, m.GetJob())
		if err := j.Check(); err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		q.Job = &j
	}
	a, err := s.local.Explain(c, q)
	if isMoved(err) {
		return &pb.RelayExplanation{Moved: true, Hint: s.hint(a.Cell), Cell: uint32(a.Cell)}, nil
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeDeadlineExceeded, err)
	}
	out := &pb.RelayExplanation{
		Cell: uint32(a.Cell), Instance: string(a.Instance), Unknown: !a.Known, State: int32(a.State), Omitted: uint32(a.Omitted),
	}
	for _, x := range a.Steps {
		out.Steps = append(out.Steps, encodeStep(x))
	}
	return out, nil
}

func encodeStep(x cell.ExplainedStep) *pb.RelayExplainedStep {
	out := &pb.RelayExplainedStep{
		Occurrence: uint32(x.Occurrence), Step: uint32(x.Step), Waiting: uint32(x.Waiting), Running: uint32(x.Running),
		Later: x.Later, Class: uint32(x.Class), Before: uint32(x.Before), Obstacles: map[string]uint32{},
	}
	for why, n := range x.Obstacles {
		out.Obstacles[why] = uint32(n)
	}
	for _, w := range x.Workers {
		out.Workers = append(out.Workers, &pb.RelayExplainedWorker{
			Id: string(w.ID), Role: w.Role, Score: w.Score, FreeProcessors: w.Free.Processors, FreeMemory: w.Free.Memory,
			Wait: uint32(w.Wait.Milliseconds()),
		})
	}
	return out
}

// Explain asks an instance for the explanation of a job. The error is a *NotPlannerError if
// another instance plans the cell.
func (c *Client) Explain(x context.Context, address string, q Question) (Answer, error) {
	r := &pb.RelayExplainRequest{Id: string(q.ID), Host: q.Host, Path: q.Path}
	if q.Job != nil {
		r.Job = codec.JobMessage(*q.Job)
	}
	m, err := c.service(address).Explain(x, r)
	if err != nil {
		return Answer{}, err
	}
	a := Answer{Cell: int(m.GetCell()), Instance: sched.InstanceID(m.GetInstance()), Known: !m.GetUnknown()}
	if m.GetMoved() {
		return a, movedError(a.Cell, m.GetHint())
	}
	a.State, a.Omitted = sched.JobState(m.GetState()), int(m.GetOmitted())
	for _, s := range m.GetSteps() {
		a.Steps = append(a.Steps, decodeStep(s))
	}
	return a, nil
}

func decodeStep(m *pb.RelayExplainedStep) cell.ExplainedStep {
	x := cell.ExplainedStep{
		Occurrence: int(m.GetOccurrence()), Step: int(m.GetStep()), Waiting: int(m.GetWaiting()), Running: int(m.GetRunning()),
		Later: m.GetLater(), Class: order.Class(m.GetClass()), Before: int(m.GetBefore()), Obstacles: map[string]int{},
	}
	for why, n := range m.GetObstacles() {
		x.Obstacles[why] = int(n)
	}
	for _, w := range m.GetWorkers() {
		x.Workers = append(x.Workers, cell.ExplainedWorker{
			ID: sched.InstanceID(w.GetId()), Role: w.GetRole(), Score: w.GetScore(),
			Free: sched.Resources{Processors: w.GetFreeProcessors(), Memory: w.GetFreeMemory()},
			Wait: time.Duration(w.GetWait()) * time.Millisecond,
		})
	}
	return x
}
