package codec

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/parsleybarrow/parsleybarrow/internal/wire/pb"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// EncodeTaskRecord encodes one record of a task stream.
func EncodeTaskRecord(r sched.TaskRecord) ([]byte, error) {
	m := &pb.TaskRecord{
		Writer:      string(r.Writer),
		Incarnation: uint64(r.Incarnation),
		Serial:      r.Serial,
		At:          timeToWire(r.At),
		Entries:     make([]*pb.TaskEntry, len(r.Entries)),
	}
	for i := range r.Entries {
		m.Entries[i] = entryToWire(&r.Entries[i])
	}
	b, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode task record: %w", err)
	}
	return b, nil
}

// DecodeTaskRecord decodes one record of a task stream. Entries of unknown kind
// are part of the result; the replay ignores them.
func DecodeTaskRecord(b []byte) (sched.TaskRecord, error) {
	var m pb.TaskRecord
	if err := proto.Unmarshal(b, &m); err != nil {
		return sched.TaskRecord{}, fmt.Errorf("decode task record: %w", err)
	}
	r := sched.TaskRecord{
		Writer:      sched.InstanceID(m.Writer),
		Incarnation: sched.Incarnation(m.Incarnation),
		Serial:      m.Serial,
		At:          timeFromWire(m.At),
		Entries:     make([]sched.TaskEntry, len(m.Entries)),
	}
	for i, e := range m.Entries {
		r.Entries[i] = entryFromWire(e)
	}
	return r, nil
}

func entryToWire(e *sched.TaskEntry) *pb.TaskEntry {
	m := &pb.TaskEntry{
		Kind:        int32(e.Kind),
		TaskId:      string(e.TaskID),
		Attempt:     int64(e.Attempt),
		Worker:      string(e.Worker),
		Boot:        e.Boot,
		Rack:        e.Rack,
		Capacity:    resourcesToWire(e.Capacity),
		Term:        int64(e.Term),
		Ahead:       e.Ahead,
		Quota:       resourcesToWire(e.Quota),
		Result:      int32(e.Result),
		RunTime:     int64(e.RunTime),
		Final:       e.Final,
		Reason:      e.Reason,
		Checkpoint:  string(e.Checkpoint),
		Drained:     e.Drained,
		Instance:    string(e.Instance),
		Incarnation: uint64(e.Incarnation),
	}
	if e.Kind == sched.EntryAccepted {
		m.Task = taskToWire(&e.Task)
	}
	if e.Snapshot != nil {
		m.Snapshot = imageToWire(e.Snapshot)
	}
	return m
}

func entryFromWire(m *pb.TaskEntry) sched.TaskEntry {
	e := sched.TaskEntry{
		Kind:        sched.EntryKind(m.Kind),
		TaskID:      sched.TaskID(m.TaskId),
		Attempt:     sched.Attempt(m.Attempt),
		Worker:      sched.InstanceID(m.Worker),
		Boot:        m.Boot,
		Rack:        m.Rack,
		Capacity:    resourcesFromWire(m.Capacity),
		Term:        sched.Offset(m.Term),
		Ahead:       m.Ahead,
		Quota:       resourcesFromWire(m.Quota),
		Result:      sched.AttemptState(m.Result),
		RunTime:     time.Duration(m.RunTime),
		Final:       m.Final,
		Reason:      m.Reason,
		Checkpoint:  sched.CheckpointID(m.Checkpoint),
		Drained:     m.Drained,
		Instance:    sched.InstanceID(m.Instance),
		Incarnation: sched.Incarnation(m.Incarnation),
	}
	if m.Task != nil {
		e.Task = taskFromWire(m.Task)
	}
	if m.Snapshot != nil {
		e.Snapshot = imageFromWire(m.Snapshot)
	}
	return e
}

func taskToWire(t *sched.Task) *pb.TaskSpec {
	return &pb.TaskSpec{
		Id:          string(t.ID),
		Kind:        t.Kind,
		Partner:     t.Partner,
		Team:        t.Team,
		Urgency:     int32(t.Urgency),
		Needs:       resourcesToWire(t.Needs),
		RunTime:     int64(t.RunTime),
		SubmittedAt: timeToWire(t.SubmittedAt),
	}
}

func taskFromWire(m *pb.TaskSpec) sched.Task {
	return sched.Task{
		ID:          sched.TaskID(m.GetId()),
		Kind:        m.GetKind(),
		Partner:     m.GetPartner(),
		Team:        m.GetTeam(),
		Urgency:     sched.Urgency(m.GetUrgency()),
		Needs:       resourcesFromWire(m.GetNeeds()),
		RunTime:     time.Duration(m.GetRunTime()),
		SubmittedAt: timeFromWire(m.GetSubmittedAt()),
	}
}

// resourcesToWire returns nil for the zero value, which saves two bytes per entry.
func resourcesToWire(r sched.Resources) *pb.TaskResources {
	if r == (sched.Resources{}) {
		return nil
	}
	return &pb.TaskResources{Processors: r.Processors, Memory: r.Memory, Accelerators: r.Accelerators}
}

func resourcesFromWire(m *pb.TaskResources) sched.Resources {
	return sched.Resources{
		Processors:   m.GetProcessors(),
		Memory:       m.GetMemory(),
		Accelerators: m.GetAccelerators(),
	}
}

// timeToWire returns nanoseconds since the Unix epoch, 0 for the zero time.
func timeToWire(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// timeFromWire is the inverse of timeToWire.
func timeFromWire(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n).UTC()
}
