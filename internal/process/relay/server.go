package relay

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/parsleybarrow/parsleybarrow/internal/process/peers"
	"github.com/parsleybarrow/parsleybarrow/internal/wire/pb"
	"github.com/parsleybarrow/parsleybarrow/internal/wire/pb/pbconnect"
	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// maxMessageBytes bounds a message. A configuration with thousands of routes is
// about a megabyte.
const maxMessageBytes = 8 << 20

// Pong is an instance's answer to a Ping.
type Pong struct {
	ID          sched.InstanceID
	Incarnation sched.Incarnation
	// Planners are the terms that the instance holds, one for each cell that it
	// plans.
	Planners []peers.Planner
	// ProofAge is the age of the last proof from the store that no other planner
	// had taken over Ping.Cell. It is 0 if the instance doesn't plan that cell.
	ProofAge time.Duration
	// Load is how busy the instance is.
	Load Load
	// Silent are the instances of the directory that the planner of Ping.Cell no longer
	// hears. Only that planner sets it.
	Silent []sched.InstanceID
	// Loaded is set once the receiver of an accepted request to take Ping.Cell over has read the
	// records of the cell and is ready to begin a term.
	Loaded bool
	// Beginning is set while the receiver reads the records of Ping.Cell to begin a term.
	Beginning bool
	// PlannerReached answers Ping.ProbePlanner.
	PlannerReached bool
	// TakeOverAccepted answers Ping.TakeOverAfter: the receiver takes the cell over, or would do so
	// if Ping.QueryOnly is set.
	TakeOverAccepted bool
}

// Ping asks an instance for its state.
type Ping struct {
	From sched.InstanceID
	Cell int
	// ProbePlanner asks the receiver to ping the planner of the cell and to answer
	// whether it reached it.
	ProbePlanner bool
	// TakeOverAfter asks the receiver to plan the cell after this term, whose planner
	// stops or doesn't reach the store. 0 stands for no such request.
	TakeOverAfter sched.Offset
	// QueryOnly reduces TakeOverAfter to the question whether the receiver would take the
	// cell over.
	QueryOnly bool
	// Move is set in a request to take a cell over whose planner works: the cell moves to
	// a better instance.
	Move bool
	// Load is how busy the sender is.
	Load Load
}

// Plans reports whether the instance that answered plans the cell.
func (p Pong) Plans(cell int) bool {
	for _, x := range p.Planners {
		if x.Cell == cell && x.ID == p.ID {
			return true
		}
	}
	return false
}

// Local answers calls of other instances. Calls about jobs return lead.ErrNotPlanner, and
// have no effect, if this instance doesn't plan the cell.
type Local interface {
	Submit(c context.Context, cell int, j sched.Job) (sched.Verdict, error)
	State(c context.Context, cell int, id sched.JobID) (sched.JobState, sched.Verdict, error)
	Cancel(c context.Context, cell int, id sched.JobID) (sched.Verdict, error)
	Pending(c context.Context, cell int) (map[sched.QueueName]int, error)
	Ping(c context.Context, p Ping) Pong
	// Explain explains a job, and returns its cell also with ErrNotPlanner.
	Explain(c context.Context, q Question) (Answer, error)
	// Hint returns the planner of the cell as far as this instance knows, and
	// whether it knows one.
	Hint(cell int) (peers.Planner, bool)
	// Catalog returns the operator's record with the catalog in force if it is
	// newer than the given version, else version 0 and nil.
	Catalog(newerThan int64) (version int64, record []byte)
}

// Handler returns the path prefix of the service and its handler.
func Handler(l Local) (string, http.Handler) {
	return pbconnect.NewRelayHandler(&service{l}, connect.WithReadMaxBytes(maxMessageBytes))
}

// service implements pbconnect.RelayHandler.
type service struct{ local Local }

func (s *service) hint(cell int) *pb.RelayPlanner {
	if p, known := s.local.Hint(cell); known {
		return p.Message()
	}
	return nil
}

// encodeVerdict returns the answer for a verdict or for ErrNotPlanner. Any other error,
// after which the effect of the call is unknown, becomes CodeDeadlineExceeded.
func (s *service) encodeVerdict(cell int, v sched.Verdict, err error) (*pb.RelayVerdict, error) {
	if err == nil {
		return &pb.RelayVerdict{
			Code: int32(v.Code), RetryAfter: uint32(v.RetryAfter.Milliseconds()), Reason: v.Reason,
		}, nil
	}
	if isMoved(err) {
		return &pb.RelayVerdict{Moved: true, Hint: s.hint(cell)}, nil
	}
	return nil, connect.NewError(connect.CodeDeadlineExceeded, err)
}

// Submit implements pbconnect.RelayHandler.
func (s *service) Submit(c context.Context, m *pb.RelaySubmit) (*pb.RelayVerdict, error) {
	j := codec.JobFromMessage(sched.JobID(m.GetId()), m.GetJob())
	if err := j.Check(); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	v, err := s.local.Submit(c, int(m.GetCell()), j)
	return s.encodeVerdict(int(m.GetCell()), v, err)
}

// State implements pbconnect.RelayHandler.
func (s *service) State(c context.Context, m *pb.RelayQuery) (*pb.RelayVerdict, error) {
	st, v, err := s.local.State(c, int(m.GetCell()), sched.JobID(m.GetId()))
	out, err := s.encodeVerdict(int(m.GetCell()), v, err)
	if err == nil {
		out.State = int32(st)
	}
	return out, err
}

// Cancel implements pbconnect.RelayHandler.
func (s *service) Cancel(c context.Context, m *pb.RelayQuery) (*pb.RelayVerdict, error) {
	v, err := s.local.Cancel(c, int(m.GetCell()), sched.JobID(m.GetId()))
	return s.encodeVerdict(int(m.GetCell()), v, err)
}

// Pending implements pbconnect.RelayHandler.
func (s *service) Pending(c context.Context, m *pb.RelayPendingRequest) (*pb.RelayPendingAnswer, error) {
	n, err := s.local.Pending(c, int(m.GetCell()))
	if isMoved(err) {
		return &pb.RelayPendingAnswer{Moved: true, Hint: s.hint(int(m.GetCell()))}, nil
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeDeadlineExceeded, err)
	}
	out := &pb.RelayPendingAnswer{Jobs: map[string]uint32{}}
	for q, k := range n {
		if k > 0 {
			out.Jobs[string(q)] = uint32(k)
		}
	}
	return out, nil
}

// Ping implements pbconnect.RelayHandler.
func (s *service) Ping(c context.Context, m *pb.RelayPing) (*pb.RelayPong, error) {
	p := s.local.Ping(c, Ping{
		From: sched.InstanceID(m.GetFrom()), Cell: int(m.GetCell()), ProbePlanner: m.GetProbe(), TakeOverAfter: sched.Offset(m.GetTake()), QueryOnly: m.GetOffer(),
		Load: loadOf(m.GetLoad()), Move: m.GetMove(),
	})
	out := &pb.RelayPong{
		Instance: string(p.ID), Incarnation: uint64(p.Incarnation), ProofAge: uint32(p.ProofAge.Milliseconds()), Leaving: p.Load.Leaving,
		Reaches: p.PlannerReached, Takes: p.TakeOverAccepted, Load: p.Load.message(), Loaded: p.Loaded, Beginning: p.Beginning,
	}
	for _, id := range p.Silent {
		out.Silent = append(out.Silent, string(id))
	}
	for _, x := range p.Planners {
		out.Planners = append(out.Planners, x.Message())
	}
	return out, nil
}

// Catalog implements pbconnect.RelayHandler.
func (s *service) Catalog(_ context.Context, m *pb.RelayCatalogRequest) (*pb.RelayCatalog, error) {
	v, r := s.local.Catalog(m.GetNewerThan())
	return &pb.RelayCatalog{Version: v, Record: r}, nil
}
