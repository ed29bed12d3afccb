package usage

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/parsleybarrow/parsleybarrow/internal/wire/pb"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Encode returns an encoded record for the stream "usage". A full record holds
// every total that the writer knows, so a reader needs no record before it.
func Encode(writer sched.InstanceID, full bool, entries []RunningTotal) ([]byte, error) {
	w := &pb.UsageRecord{Writer: string(writer), Full: full}
	for _, e := range entries {
		w.Totals = append(w.Totals, &pb.RunningTotal{
			Instance:    string(e.Instance),
			Incarnation: uint64(e.Incarnation),
			Partner:     e.Partner,
			Service:     e.Service,
			Answers:     e.Answers,
		})
	}
	data, err := proto.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("encode usage record: %w", err)
	}
	return data, nil
}

// Decode decodes a record of the stream "usage" and reports whether it is full.
func Decode(data []byte) ([]RunningTotal, bool, error) {
	w := &pb.UsageRecord{}
	if err := proto.Unmarshal(data, w); err != nil {
		return nil, false, fmt.Errorf("decode usage record: %w", err)
	}
	var out []RunningTotal
	for _, t := range w.GetTotals() {
		out = append(out, RunningTotal{
			Instance:    sched.InstanceID(t.GetInstance()),
			Incarnation: sched.Incarnation(t.GetIncarnation()),
			Partner:     t.GetPartner(),
			Service:     t.GetService(),
			Answers:     t.GetAnswers(),
		})
	}
	return out, w.GetFull(), nil
}
