package codec

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/parsleybarrow/parsleybarrow/internal/wire/pb"
	"github.com/parsleybarrow/parsleybarrow/pkg/jobs"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Bits of the field flags of the message CellStep.
const (
	flagCheckpoints uint32 = 1 << iota
	flagGang
	flagSameRack
	flagCopies
	flagLasting
	flagFiller
	flagMayMiss
)

// mustMarshal encodes a message that can't fail to encode.
func mustMarshal(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		// Encoding fails only for text that isn't UTF-8, and fields that may
		// contain such text have the type bytes.
		panic(fmt.Sprintf("encode %T: %v", m, err))
	}
	return data
}

// toMillis returns whole milliseconds, at most the largest uint32.
func toMillis(d time.Duration) uint32 { return uint32(min(d.Milliseconds(), 1<<32-1)) }

func fromMillis[T uint32 | uint64](v T) time.Duration { return time.Duration(v) * time.Millisecond }

// EncodeJob encodes the part of a job that never changes. The job's id is not
// included because it is the record's key.
func EncodeJob(j sched.Job) []byte { return mustMarshal(JobMessage(j)) }

// JobMessage converts a job to its message, which doesn't include the job's id.
func JobMessage(j sched.Job) *pb.CellJob {
	m := &pb.CellJob{
		Queue: QueueMessage(j.Queue), Payload: []byte(j.Payload), SubmittedAt: j.SubmittedAt.UnixMilli(),
	}
	if j.Schedule.Times > 0 {
		m.Times, m.First = uint32(j.Schedule.Times), j.Schedule.First.UnixMilli()
		m.Every = uint64(j.Schedule.Every.Milliseconds())
	}
	for _, s := range j.Steps {
		m.Steps = append(m.Steps, stepMessage(s))
	}
	return m
}

// QueueMessage converts a queue to its message.
func QueueMessage(q sched.Queue) *pb.CellQueue {
	m := &pb.CellQueue{
		Name: string(q.Name), Service: q.Service, Priority: int32(q.Priority), MaxAttempts: int32(q.MaxAttempts),
		Stretch: q.Stretch, Goal: toMillis(q.Goal),
	}
	if a := q.Advice; a != nil {
		m.Advice = &pb.CellAdvice{
			Decision: toMillis(a.Decision), PerWorker: toMillis(a.PerWorker), Validity: toMillis(a.Validity),
		}
	}
	return m
}

func stepMessage(s sched.Step) *pb.CellStep {
	m := &pb.CellStep{
		Tasks: uint32(s.Tasks), Processors: uint32(s.Needs.Processors), Memory: uint64(s.Needs.Memory),
		Accelerators: uint32(s.Needs.Accelerators), Estimate: uint64(s.Estimate.Milliseconds()),
		Label: s.Label, DataRack: s.DataRack, PerWorker: uint32(s.PerWorker), Image: s.Image,
		TailGoal: toMillis(s.TailGoal), MayMiss: uint32(s.MayMiss),
	}
	for _, a := range s.After {
		m.After = append(m.After, uint32(a))
	}
	for _, f := range stepFlags(&s) {
		if *f.field {
			m.Flags |= f.bit
		}
	}
	return m
}

// stepFlag pairs a bit of CellStep.flags with the field of a step.
type stepFlag struct {
	bit   uint32
	field *bool
}

func stepFlags(s *sched.Step) []stepFlag {
	return []stepFlag{
		{flagCheckpoints, &s.Checkpoints},
		{flagGang, &s.Gang},
		{flagSameRack, &s.SameRack},
		{flagCopies, &s.Copies},
		{flagLasting, &s.Lasting},
		{flagFiller, &s.Filler},
		{flagMayMiss, &s.MayMissSet},
	}
}

// DecodeJob decodes the result of EncodeJob. It returns an error if the bytes are
// malformed or the job is invalid.
func DecodeJob(id sched.JobID, data []byte) (sched.Job, error) {
	m := &pb.CellJob{}
	if err := proto.Unmarshal(data, m); err != nil {
		return sched.Job{}, fmt.Errorf("decode record of job %s: %w", id, err)
	}
	j := JobFromMessage(id, m)
	return j, j.Check()
}

// JobFromMessage converts a message back to the job with the given id, without validating
// it.
func JobFromMessage(id sched.JobID, m *pb.CellJob) sched.Job {
	j := sched.Job{
		ID: id, Queue: QueueFromMessage(m.GetQueue()), Payload: string(m.GetPayload()), SubmittedAt: time.UnixMilli(m.GetSubmittedAt()),
	}
	if m.GetTimes() > 0 {
		j.Schedule = sched.Schedule{
			Times: int(m.GetTimes()), First: time.UnixMilli(m.GetFirst()), Every: fromMillis(m.GetEvery()),
		}
	}
	for _, s := range m.GetSteps() {
		j.Steps = append(j.Steps, stepOf(s))
	}
	return j
}

// QueueFromMessage converts a message back to a queue.
func QueueFromMessage(m *pb.CellQueue) sched.Queue {
	q := sched.Queue{
		Name: sched.QueueName(m.GetName()), Service: m.GetService(), Priority: int(m.GetPriority()),
		MaxAttempts: int(m.GetMaxAttempts()), Stretch: m.GetStretch(), Goal: fromMillis(m.GetGoal()),
	}
	if a := m.GetAdvice(); a != nil {
		q.Advice = &sched.AdviceSettings{
			Decision: fromMillis(a.GetDecision()), PerWorker: fromMillis(a.GetPerWorker()), Validity: fromMillis(a.GetValidity()),
		}
	}
	return q
}

func stepOf(m *pb.CellStep) sched.Step {
	s := sched.Step{
		Tasks: int(m.GetTasks()), Needs: sched.Resources{
			Processors: int64(m.GetProcessors()), Memory: int64(m.GetMemory()), Accelerators: int64(m.GetAccelerators()),
		},
		Estimate: fromMillis(m.GetEstimate()), Label: m.GetLabel(), DataRack: m.GetDataRack(),
		PerWorker: int(m.GetPerWorker()), Image: m.GetImage(), TailGoal: fromMillis(m.GetTailGoal()), MayMiss: int(m.GetMayMiss()),
	}
	for _, a := range m.GetAfter() {
		s.After = append(s.After, int(a))
	}
	for _, f := range stepFlags(&s) {
		*f.field = m.GetFlags()&f.bit != 0
	}
	return s
}

// EncodeProgress encodes the part of a job that changes: its state, its open
// occurrences and their tasks and runs. The message lists each worker once, and
// runs refer to workers by index. Checkpoints are left out if the message would be larger
// than limit with them, in bytes; a limit of 0 is none. Tasks then start from the
// beginning after a change of the planner.
func EncodeProgress(j *jobs.Job, limit int) []byte {
	m := progressMessage(j)
	data := mustMarshal(m)
	if limit <= 0 || len(data) <= limit {
		return data
	}
	for _, o := range m.GetOccurrences() {
		for _, s := range o.GetSteps() {
			for _, t := range s.GetTasks() {
				t.Saved = ""
			}
		}
	}
	return mustMarshal(m)
}

func progressMessage(j *jobs.Job) *pb.CellProgress {
	m := &pb.CellProgress{
		State: uint32(j.State), Next: uint32(j.Next), Over: uint32(j.CompletedOccurrences), Queue: string(j.Queue.Name),
		Failure: uint32(j.Failure),
	}
	if j.State.Final() {
		m.EndedAt = j.Ended.UnixMilli()
	}
	type life struct {
		worker      sched.InstanceID
		incarnation int64
	}
	workers := map[life]uint32{}
	workerIndex := func(r jobs.Run) uint32 {
		w := life{r.Worker, r.Incarnation}
		k, known := workers[w]
		if !known {
			k = uint32(len(m.Workers))
			workers[w] = k
			m.Workers, m.Incarnations = append(m.Workers, string(w.worker)), append(m.Incarnations, w.incarnation)
		}
		return k
	}
	runMessage := func(r jobs.Run) *pb.CellRun {
		x := &pb.CellRun{Number: uint32(r.Number), Worker: workerIndex(r)}
		if !r.PlacedAt.IsZero() {
			x.Placed = uint64(max(0, r.PlacedAt.UnixMilli()-j.SubmittedAt.UnixMilli())) + 1
		}
		return x
	}
	for _, o := range j.Occurrences {
		x := &pb.CellOccurrence{Number: uint32(o.Number)}
		for s := range o.Steps {
			x.Steps = append(x.Steps, stepProgress(o.Steps[s].Tasks, runMessage))
		}
		m.Occurrences = append(m.Occurrences, x)
	}
	return m
}

// stepProgress converts the tasks of one step. Done tasks are a bit set; the other
// fields are included only for tasks that were started and are not done, or that
// still have runs.
func stepProgress(tasks []jobs.Task, runMessage func(jobs.Run) *pb.CellRun) *pb.CellStepProgress {
	const bits = 8
	m := &pb.CellStepProgress{}
	for k := range tasks {
		t := &tasks[k]
		if t.Done {
			for len(m.Done) <= k/bits {
				m.Done = append(m.Done, 0)
			}
			m.Done[k/bits] |= 1 << (k % bits)
		}
		if t.LastRun == 0 || t.Done && len(t.Runs) == 0 {
			continue
		}
		x := &pb.CellTask{Index: uint32(k), Last: uint32(t.LastRun), Failures: uint32(t.Failures), Saved: string(t.Checkpoint)}
		x.Suspect, x.Crashes, x.UnsureCrashes = t.Suspect, uint32(t.Crashes), uint32(t.UnsureCrashes)
		for _, r := range t.Runs {
			x.Runs = append(x.Runs, runMessage(r))
		}
		m.Tasks = append(m.Tasks, x)
	}
	return m
}

// DecodeProgress decodes the result of EncodeProgress into a job whose steps are
// already set.
func DecodeProgress(j *jobs.Job, data []byte) error {
	m := &pb.CellProgress{}
	if err := proto.Unmarshal(data, m); err != nil {
		return fmt.Errorf("decode progress of job %s: %w", j.ID, err)
	}
	j.State, j.Next, j.CompletedOccurrences = sched.JobState(m.GetState()), int(m.GetNext()), int(m.GetOver())
	j.Failure = sched.JobFailure(m.GetFailure())
	if j.Queue.Name == "" {
		j.Queue.Name = sched.QueueName(m.GetQueue())
	}
	if j.State.Final() {
		j.Ended = time.UnixMilli(m.GetEndedAt())
	}
	for _, x := range m.GetOccurrences() {
		if len(x.GetSteps()) != len(j.Steps) {
			continue // the record with the job's steps was deleted, so the job has ended
		}
		o := j.RestoreOccurrence(int(x.GetNumber()))
		for s, p := range x.GetSteps() {
			if err := restoreStep(o.Steps[s].Tasks, p, m, j.SubmittedAt); err != nil {
				return fmt.Errorf("decode progress of job %s: %w", j.ID, err)
			}
		}
		j.RecountDone(o)
	}
	return nil
}

// restoreStep is the inverse of stepProgress, for a job that was submitted at the given
// time.
func restoreStep(tasks []jobs.Task, p *pb.CellStepProgress, m *pb.CellProgress, submittedAt time.Time) error {
	const bits = 8
	for k := range tasks {
		tasks[k].Done = k/bits < len(p.GetDone()) && p.GetDone()[k/bits]&(1<<(k%bits)) != 0
	}
	for _, x := range p.GetTasks() {
		if int(x.GetIndex()) >= len(tasks) {
			return fmt.Errorf("task index is %d, the step has %d tasks", x.GetIndex(), len(tasks))
		}
		t := &tasks[x.GetIndex()]
		t.LastRun, t.Failures = sched.RunNumber(x.GetLast()), int(x.GetFailures())
		t.Checkpoint = sched.CheckpointID(x.GetSaved())
		t.Suspect, t.Crashes, t.UnsureCrashes = x.GetSuspect(), int(x.GetCrashes()), int(x.GetUnsureCrashes())
		for _, r := range x.GetRuns() {
			k := int(r.GetWorker())
			if k >= len(m.GetWorkers()) {
				return fmt.Errorf("worker index is %d, the record lists %d workers", k, len(m.GetWorkers()))
			}
			run := jobs.Run{Number: sched.RunNumber(r.GetNumber()), Worker: sched.InstanceID(m.GetWorkers()[k])}
			if k < len(m.GetIncarnations()) {
				run.Incarnation = m.GetIncarnations()[k]
			}
			if r.GetPlaced() > 0 {
				run.PlacedAt = submittedAt.Add(fromMillis(r.GetPlaced() - 1))
			}
			t.Runs = append(t.Runs, run)
		}
	}
	return nil
}
