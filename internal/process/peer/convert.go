package peer

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/wire/pb"
	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

func heartbeatToWire(h sched.Heartbeat) *pb.Heartbeat {
	w := &pb.Heartbeat{
		From:        string(h.From),
		Incarnation: uint64(h.Incarnation),
		DataCentre:  string(h.DataCentre),
		Region:      string(h.Region),
		Address:     h.Address,
		State:       int32(h.State),
		SentAt:      nanos(h.SentAt),
		Version:     int64(h.Version),
		TaskApplied: int64(h.TaskApplied),
		TermSeen:    int64(h.TermSeen),
		LogReached:  nanos(h.LogReached),
		Unheard:     h.Unheard,
		Partial:     h.Partial,
		Config:      codec.NewsToWire(h.Config),
	}
	w.Demand = demandToWire(h.Demand)
	for _, a := range h.Areas {
		w.Areas = append(w.Areas, &pb.AreaDemand{
			DataCentre: string(a.DataCentre),
			Instances:  int32(a.Instances),
			AsOf:       nanos(a.AsOf),
			Partial:    a.Partial,
			Demand:     demandToWire(a.Demand),
		})
	}
	for _, t := range h.Totals {
		w.Totals = append(w.Totals, &pb.PartnerTotal{Partner: t.Partner, Service: t.Service, Answers: t.Answers})
	}
	return w
}

func heartbeatFromWire(w *pb.Heartbeat) sched.Heartbeat {
	h := sched.Heartbeat{
		From:        sched.InstanceID(w.GetFrom()),
		Incarnation: sched.Incarnation(w.GetIncarnation()),
		DataCentre:  sched.DataCentre(w.GetDataCentre()),
		Region:      sched.Region(w.GetRegion()),
		Address:     w.GetAddress(),
		State:       sched.State(w.GetState()),
		SentAt:      fromNanos(w.GetSentAt()),
		Version:     sched.Offset(w.GetVersion()),
		TaskApplied: sched.Offset(w.GetTaskApplied()),
		TermSeen:    sched.Offset(w.GetTermSeen()),
		LogReached:  fromNanos(w.GetLogReached()),
		Unheard:     w.GetUnheard(),
		Partial:     w.GetPartial(),
		Config:      codec.NewsFromWire(w.GetConfig()),
	}
	h.Demand = demandFromWire(w.GetDemand())
	for _, a := range w.GetAreas() {
		h.Areas = append(h.Areas, sched.AreaDemand{
			DataCentre: sched.DataCentre(a.GetDataCentre()),
			Instances:  int(a.GetInstances()),
			AsOf:       fromNanos(a.GetAsOf()),
			Partial:    a.GetPartial(),
			Demand:     demandFromWire(a.GetDemand()),
		})
	}
	for _, t := range w.GetTotals() {
		h.Totals = append(h.Totals, sched.PartnerTotal{Partner: t.GetPartner(), Service: t.GetService(), Answers: t.GetAnswers()})
	}
	return h
}

func demandToWire(demand []sched.TeamDemand) []*pb.TeamDemand {
	var out []*pb.TeamDemand
	for _, d := range demand {
		out = append(out, &pb.TeamDemand{Team: d.Team, Offered: float32(d.Offered), Admitted: float32(d.Admitted)})
	}
	return out
}

func demandFromWire(demand []*pb.TeamDemand) []sched.TeamDemand {
	var out []sched.TeamDemand
	for _, d := range demand {
		out = append(out, sched.TeamDemand{Team: d.GetTeam(), Offered: float64(d.GetOffered()), Admitted: float64(d.GetAdmitted())})
	}
	return out
}

func eventToWire(e sched.Event) *pb.Event {
	return &pb.Event{
		Wall:     e.Stamp.Wall,
		Logical:  e.Stamp.Logical,
		Instance: string(e.Instance),
		Kind:     string(e.Kind),
		Request:  e.Request,
		Task:     string(e.Task),
		Version:  int64(e.Version),
		Detail:   e.Detail,
	}
}

func eventFromWire(w *pb.Event) sched.Event {
	return sched.Event{
		Stamp:    sched.Stamp{Wall: w.GetWall(), Logical: w.GetLogical()},
		Instance: sched.InstanceID(w.GetInstance()),
		Kind:     sched.EventKind(w.GetKind()),
		Request:  w.GetRequest(),
		Task:     sched.TaskID(w.GetTask()),
		Version:  sched.Offset(w.GetVersion()),
		Detail:   w.GetDetail(),
	}
}

func filterToWire(f sched.Filter) *pb.EventsRequest {
	return &pb.EventsRequest{
		Instance: string(f.Instance),
		Request:  f.Request,
		Task:     string(f.Task),
		Since:    nanos(f.Since),
		Limit:    int32(f.Limit),
	}
}

func filterFromWire(w *pb.EventsRequest) sched.Filter {
	return sched.Filter{
		Instance: sched.InstanceID(w.GetInstance()),
		Request:  w.GetRequest(),
		Task:     sched.TaskID(w.GetTask()),
		Since:    fromNanos(w.GetSince()),
		Limit:    int(w.GetLimit()),
	}
}

// nanos returns the nanoseconds since the Unix epoch, and 0 for the zero time,
// for which UnixNano is undefined.
func nanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// fromNanos is the inverse of nanos: 0 becomes the zero time.
func fromNanos(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}
