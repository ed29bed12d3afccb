package codec

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/wire/pb"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

func imageToWire(i *sched.TaskImage) *pb.TaskImage {
	m := &pb.TaskImage{
		AsOf:       int64(i.AsOf),
		NewestTerm: int64(i.NewestTerm),
		Tasks:      mapSlice(i.Tasks, statusToWire),
		Ended:      mapSlice(i.Ended, statusToWire),
		Scores:     i.Scores,
	}
	for _, w := range i.Workers {
		m.Workers = append(m.Workers, &pb.WorkerStatus{
			Worker: string(w.Worker), Rack: w.Rack, Boot: w.Boot, Drained: w.Drained,
			Capacity: resourcesToWire(w.Capacity),
			Placed:   mapSlice(w.Placed, func(t sched.TaskID) string { return string(t) }),
		})
	}
	for _, t := range i.Terms {
		m.Terms = append(m.Terms, &pb.TermStatus{
			Term: int64(t.Term), Instance: string(t.Instance), Incarnation: uint64(t.Incarnation),
		})
	}
	for _, u := range i.Usage {
		m.Usage = append(m.Usage, &pb.PartnerUsage{
			Partner: u.Partner, Month: int64(u.Month), Runs: u.Runs, ProcessorMillis: u.ProcessorMillis,
		})
	}
	return m
}

func imageFromWire(m *pb.TaskImage) *sched.TaskImage {
	i := &sched.TaskImage{
		AsOf:       sched.Offset(m.GetAsOf()),
		NewestTerm: sched.Offset(m.GetNewestTerm()),
		Tasks:      mapSlice(m.GetTasks(), statusFromWire),
		Ended:      mapSlice(m.GetEnded(), statusFromWire),
		Scores:     m.GetScores(),
	}
	for _, w := range m.GetWorkers() {
		i.Workers = append(i.Workers, sched.WorkerStatus{
			Worker: sched.InstanceID(w.GetWorker()), Rack: w.GetRack(), Boot: w.GetBoot(), Drained: w.GetDrained(),
			Capacity: resourcesFromWire(w.GetCapacity()),
			Placed:   mapSlice(w.GetPlaced(), func(t string) sched.TaskID { return sched.TaskID(t) }),
		})
	}
	for _, t := range m.GetTerms() {
		i.Terms = append(i.Terms, sched.TermStatus{
			Term:        sched.Offset(t.GetTerm()),
			Instance:    sched.InstanceID(t.GetInstance()),
			Incarnation: sched.Incarnation(t.GetIncarnation()),
		})
	}
	for _, u := range m.GetUsage() {
		i.Usage = append(i.Usage, sched.PartnerUsage{
			Partner: u.GetPartner(), Month: int(u.GetMonth()), Runs: u.GetRuns(),
			ProcessorMillis: u.GetProcessorMillis(),
		})
	}
	return i
}

func statusToWire(s sched.TaskStatus) *pb.TaskStatus {
	return &pb.TaskStatus{
		Task: taskToWire(&s.Task), State: int32(s.State), Accepted: int64(s.Accepted),
		Attempt: int64(s.Attempt), Worker: string(s.Worker), Term: int64(s.Term),
		Started: s.Started, CancelRequested: s.CancelRequested, Checkpoint: string(s.Checkpoint),
		Progress: int64(s.Progress), Evictions: int64(s.Evictions), Failures: int64(s.Failures),
		Reason: s.Reason, CheckpointOf: int64(s.CheckpointOf),
		LastWorker: string(s.LastWorker),
	}
}

func statusFromWire(m *pb.TaskStatus) sched.TaskStatus {
	return sched.TaskStatus{
		Task: taskFromWire(m.GetTask()), State: sched.TaskState(m.GetState()),
		Accepted: sched.Offset(m.GetAccepted()), Attempt: sched.Attempt(m.GetAttempt()),
		Worker: sched.InstanceID(m.GetWorker()), Term: sched.Offset(m.GetTerm()),
		Started: m.GetStarted(), CancelRequested: m.GetCancelRequested(),
		Checkpoint: sched.CheckpointID(m.GetCheckpoint()),
		Progress:   time.Duration(m.GetProgress()), Evictions: int(m.GetEvictions()),
		Failures: int(m.GetFailures()), Reason: m.GetReason(),
		CheckpointOf: sched.Attempt(m.GetCheckpointOf()),
		LastWorker:   sched.InstanceID(m.GetLastWorker()),
	}
}

// mapSlice applies f to every element. It returns nil for an empty slice, so that
// decoding restores the value that was encoded.
func mapSlice[A, B any](s []A, f func(A) B) []B {
	if len(s) == 0 {
		return nil
	}
	r := make([]B, len(s))
	for i, v := range s {
		r[i] = f(v)
	}
	return r
}
