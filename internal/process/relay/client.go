package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/parsleybarrow/parsleybarrow/internal/process/lead"
	"github.com/parsleybarrow/parsleybarrow/internal/process/peer"
	"github.com/parsleybarrow/parsleybarrow/internal/process/peers"
	"github.com/parsleybarrow/parsleybarrow/internal/wire/pb"
	"github.com/parsleybarrow/parsleybarrow/internal/wire/pb/pbconnect"
	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// NotPlannerError reports that the receiver doesn't plan the cell and that the call had
// no effect. It matches lead.ErrNotPlanner.
type NotPlannerError struct {
	// Hint is the cell's planner as far as the receiver knows. It is set only if
	// Known is.
	Hint  peers.Planner
	Known bool
}

// Error implements error.
func (e *NotPlannerError) Error() string {
	if !e.Known {
		return "cell is planned elsewhere"
	}
	return fmt.Sprintf("cell is planned by %s", e.Hint.ID)
}

// Is reports whether the target is lead.ErrNotPlanner, for errors.Is.
func (e *NotPlannerError) Is(target error) bool { return target == lead.ErrNotPlanner }

func isMoved(err error) bool { return errors.Is(err, lead.ErrNotPlanner) }

// HadNoEffect reports whether a failed call surely had no effect: no connection could be
// opened, or the receiver doesn't plan the cell.
func HadNoEffect(err error) bool {
	var o *net.OpError
	return isMoved(err) || errors.As(err, &o) && o.Op == "dial"
}

// IsConnectionError reports whether a call failed with a network error other than a timeout.
// Usually the address refused or reset the connection, since no process listens
// there or it has just ended.
func IsConnectionError(err error) bool {
	var o *net.OpError
	if !errors.As(err, &o) || o.Timeout() {
		return false
	}
	return true
}

// Client calls other instances. HTTP is set before the first call.
type Client struct {
	HTTP *http.Client
}

func (c *Client) service(address string) pbconnect.RelayClient {
	return pbconnect.NewRelayClient(c.HTTP, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes), peer.Uncompressed)
}

// movedError returns the error for an answer with the moved flag and its hint.
func movedError(cell int, m *pb.RelayPlanner) error {
	if m == nil {
		return &NotPlannerError{}
	}
	return &NotPlannerError{Hint: peers.PlannerOf(cell, m), Known: true}
}

// decodeVerdict returns the verdict of an answer, or a *NotPlannerError if the receiver
// doesn't plan the cell.
func decodeVerdict(cell int, m *pb.RelayVerdict, err error) (sched.Verdict, error) {
	if err != nil {
		return sched.Verdict{}, err
	}
	if m.GetMoved() {
		return sched.Verdict{}, movedError(cell, m.GetHint())
	}
	return sched.Verdict{
		Code: sched.Code(m.GetCode()), RetryAfter: time.Duration(m.GetRetryAfter()) * time.Millisecond, Reason: m.GetReason(),
	}, nil
}

// Submit passes a job to the planner of the cell at the address. The error is a
// *NotPlannerError if another instance plans the cell; so it is for the other calls
// about jobs.
func (c *Client) Submit(x context.Context, address string, cell int, j sched.Job) (sched.Verdict, error) {
	m, err := c.service(address).Submit(x, &pb.RelaySubmit{Cell: uint32(cell), Id: string(j.ID), Job: codec.JobMessage(j)})
	return decodeVerdict(cell, m, err)
}

// State asks the planner for the state of a job.
func (c *Client) State(x context.Context, address string, cell int, id sched.JobID) (sched.JobState, sched.Verdict, error) {
	m, err := c.service(address).State(x, &pb.RelayQuery{Cell: uint32(cell), Id: string(id)})
	v, err := decodeVerdict(cell, m, err)
	return sched.JobState(m.GetState()), v, err
}

// Cancel has the planner cancel a job.
func (c *Client) Cancel(x context.Context, address string, cell int, id sched.JobID) (sched.Verdict, error) {
	m, err := c.service(address).Cancel(x, &pb.RelayQuery{Cell: uint32(cell), Id: string(id)})
	return decodeVerdict(cell, m, err)
}

// Pending asks the planner for the number of accepted jobs of each queue that
// haven't started. Queues without such jobs are left out.
func (c *Client) Pending(x context.Context, address string, cell int) (map[sched.QueueName]int, error) {
	m, err := c.service(address).Pending(x, &pb.RelayPendingRequest{Cell: uint32(cell)})
	if err != nil {
		return nil, err
	}
	if m.GetMoved() {
		return nil, movedError(cell, m.GetHint())
	}
	out := map[sched.QueueName]int{}
	for q, n := range m.GetJobs() {
		out[sched.QueueName(q)] = int(n)
	}
	return out, nil
}

// Ping asks an instance for its state and the cells that it plans, and may ask it to
// take a cell over.
func (c *Client) Ping(x context.Context, address string, q Ping) (Pong, error) {
	m, err := c.service(address).Ping(x, &pb.RelayPing{
		Cell: uint32(q.Cell), From: string(q.From), Probe: q.ProbePlanner, Take: int64(q.TakeOverAfter), Offer: q.QueryOnly,
		Load: q.Load.message(), Move: q.Move,
	})
	if err != nil {
		return Pong{}, err
	}
	p := Pong{
		ID: sched.InstanceID(m.GetInstance()), Incarnation: sched.Incarnation(m.GetIncarnation()),
		ProofAge:       time.Duration(m.GetProofAge()) * time.Millisecond,
		PlannerReached: m.GetReaches(), TakeOverAccepted: m.GetTakes(), Load: loadOf(m.GetLoad()), Loaded: m.GetLoaded(),
		Beginning: m.GetBeginning(),
	}
	p.Load.Leaving = p.Load.Leaving || m.GetLeaving()
	for _, id := range m.GetSilent() {
		p.Silent = append(p.Silent, sched.InstanceID(id))
	}
	for _, r := range m.GetPlanners() {
		p.Planners = append(p.Planners, peers.PlannerOf(int(r.GetCell()), r))
	}
	return p, nil
}

// Catalog asks an instance for its catalog record if that is newer than the given
// version. It returns version 0 and no record if it isn't.
func (c *Client) Catalog(x context.Context, address string, newerThan int64) (int64, []byte, error) {
	m, err := c.service(address).Catalog(x, &pb.RelayCatalogRequest{NewerThan: newerThan})
	return m.GetVersion(), m.GetRecord(), err
}
