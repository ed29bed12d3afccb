package codec

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/parsleybarrow/parsleybarrow/internal/wire/pb"
	"github.com/parsleybarrow/parsleybarrow/pkg/order"
	"github.com/parsleybarrow/parsleybarrow/pkg/share"
)

// EncodeLearned encodes a planner's learned estimates: the slowdown factors and
// smallest tail latencies of the model, and the run time ratios of the estimator.
func EncodeLearned(m *share.Model, t *order.RunTimes) []byte {
	out := &pb.CellLearned{}
	for _, f := range m.Factors() {
		out.Factors = append(out.Factors, &pb.CellFactor{
			Serving: f.Serving, Filler: f.Filler, Value: float32(f.Value), Doubt: float32(f.Variance),
		})
	}
	for image, least := range m.MinTails() {
		out.Tails = append(out.Tails, &pb.CellTail{Image: image, Least: uint32(min(least.Microseconds(), 1<<32-1))})
	}
	for _, r := range t.Ratios() {
		out.Ratios = append(out.Ratios, &pb.CellRatio{Key: r.Key, Mean: float32(r.Mean), Count: uint32(r.Count)})
	}
	return mustMarshal(out)
}

// DecodeLearned decodes the result of EncodeLearned and adds the estimates to a
// model and an estimator.
func DecodeLearned(data []byte, m *share.Model, t *order.RunTimes) error {
	in := &pb.CellLearned{}
	if err := proto.Unmarshal(data, in); err != nil {
		return fmt.Errorf("decode learned estimates: %w", err)
	}
	for _, f := range in.GetFactors() {
		m.SetFactor(share.Factor{
			Serving: f.GetServing(), Filler: f.GetFiller(), Value: float64(f.GetValue()), Variance: float64(f.GetDoubt()),
		})
	}
	for _, x := range in.GetTails() {
		m.SetMinTail(x.GetImage(), time.Duration(x.GetLeast())*time.Microsecond)
	}
	for _, r := range in.GetRatios() {
		t.SetRatio(order.Ratio{Key: r.GetKey(), Mean: float64(r.GetMean()), Count: int(r.GetCount())})
	}
	return nil
}
