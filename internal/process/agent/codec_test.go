package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/parsleybarrow/parsleybarrow/internal/wire/pb"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// refusingClient fails the test if an order reaches a worker.
type refusingClient struct{ t *testing.T }

func (r refusingClient) Start(context.Context, sched.Worker, sched.StartOrder) (sched.OrderAnswer, error) {
	r.t.Error("start order sent")
	return sched.OrderAnswer{}, nil
}

func (r refusingClient) Stop(context.Context, sched.Worker, sched.StopOrder) (sched.OrderAnswer, error) {
	r.t.Error("stop order sent")
	return sched.OrderAnswer{}, nil
}

func (r refusingClient) Pace(context.Context, sched.Worker, sched.PaceOrder) (sched.OrderAnswer, error) {
	r.t.Error("pace order sent")
	return sched.OrderAnswer{}, nil
}

func (r refusingClient) Lease(context.Context, sched.Worker, sched.LeaseOrder) (sched.LeaseAnswer, error) {
	r.t.Error("lease order sent")
	return sched.LeaseAnswer{}, nil
}

// Guards against an order of another version, or a damaged one, that takes the agent
// down or reaches a worker. It had no effect, and the planner is told so.
func TestOrdersThatCannotBeReadHaveNoEffect(t *testing.T) {
	rows := []struct {
		name     string
		order    *pb.WorkerOrder
		payloads [][]byte
	}{
		{"nil", nil, nil},
		{"empty", &pb.WorkerOrder{}, nil},
		{"unknown kind", &pb.WorkerOrder{Kind: 99}, nil},
		{"start without payload", &pb.WorkerOrder{Kind: kindStart}, nil},
		{"payload outside the batch", &pb.WorkerOrder{Kind: kindStart, Payload: 1 << 31}, [][]byte{nil}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			i := is.New(t)
			a, err := carryOut(t.Context(), refusingClient{t}, row.order, row.payloads)
			i.True(errors.Is(err, sched.ErrUnavailable))
			_, err = decodeResult(resultMessage(1, a, err))
			i.True(errors.Is(err, sched.ErrUnavailable))
		})
	}
}

// Guards against a time-out at the agent that the planner takes for a failure just now,
// and against any other failure that it takes for a time-out.
func TestATimeOutAtTheAgentIsOneForThePlanner(t *testing.T) {
	rows := []struct {
		name     string
		err      error
		kind     error
		timedOut bool
	}{
		{"no answer in time", fmt.Errorf("%w: %w", sched.ErrUncertain, context.DeadlineExceeded), sched.ErrUncertain, true},
		{"no connection in time", fmt.Errorf("%w: %w", sched.ErrUnavailable, context.DeadlineExceeded), sched.ErrUnavailable, true},
		{"answer lost", fmt.Errorf("%w: %w", sched.ErrUncertain, io.ErrUnexpectedEOF), sched.ErrUncertain, false},
		{"refused", fmt.Errorf("%w: refused", sched.ErrUnavailable), sched.ErrUnavailable, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			i := is.New(t)
			data, err := proto.Marshal(resultMessage(1, sched.LeaseAnswer{}, row.err))
			i.NoErr(err)
			m := &pb.OrderResult{}
			i.NoErr(proto.Unmarshal(data, m))
			_, err = decodeResult(m)
			i.True(errors.Is(err, row.kind))
			i.Equal(errors.Is(err, context.DeadlineExceeded), row.timedOut)
			i.True(strings.Contains(err.Error(), row.err.Error()))
		})
	}
}

// Guards against a failure at an agent of an earlier version that can't be read.
func TestAFailureOfAnAgentThatSendsNoTimeOutsIsRead(t *testing.T) {
	i := is.New(t)
	_, err := decodeResult(&pb.OrderResult{Failure: effectUnknown, Reason: "context deadline exceeded"})
	i.True(errors.Is(err, sched.ErrUncertain))
	_, err = decodeResult(&pb.OrderResult{Failure: hadNoEffect, Reason: "not sent in time"})
	i.True(errors.Is(err, sched.ErrUnavailable))
}

// Guards against a result that can't be read and is taken for an answer, such as an
// unknown end that would count as a task that is done.
func TestResultsThatCannotBeReadCountAsLostAnswers(t *testing.T) {
	rows := []struct {
		name   string
		result *pb.OrderResult
	}{
		{"unknown failure", &pb.OrderResult{Failure: 9}},
		{"unknown refusal", &pb.OrderResult{Refusal: 99}},
		{"end without a kind", &pb.OrderResult{Ended: []*pb.OrderEnded{{}}}},
		{"unknown end", &pb.OrderResult{Ended: []*pb.OrderEnded{{End: 99}}}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			i := is.New(t)
			_, err := decodeResult(row.result)
			i.True(errors.Is(err, sched.ErrUncertain))
		})
	}
}
