package cell_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/jobs"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// recordLimit is the size of the largest record of the store in these tests, in bytes.
const recordLimit = 16 << 10

func newRecordRig(t *testing.T) *rig {
	r := newRig(t)
	o := options(1)
	o.RecordLimit = recordLimit
	r.planner = cell.New(r.now, nil, o)
	return r
}

// Guards against a job that is accepted though its records are larger than the store takes.
func TestAJobTooLargeForItsRecordsIsRefused(t *testing.T) {
	wide, many := step(), step()
	wide.Tasks = 2000
	many.Label = strings.Repeat("x", recordLimit)
	rows := []struct {
		name string
		job  sched.Job
		want sched.Code
	}{
		{"many tasks", job("a", wide), sched.CodeTooLarge},
		{"long names", job("b", many), sched.CodeTooLarge},
		{"an ordinary job", job("c", step()), sched.CodeAccepted},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			r := newRecordRig(t)
			k := r.submit(row.job)
			r.commit()
			is.New(t).Equal(r.replies[k].Code, row.want)
		})
	}
}

// Guards against a record that grows beyond what the store takes while the job is under
// way.
func TestTheRecordOfTheLargestJobFits(t *testing.T) {
	rows := []struct {
		name       string
		steps      int
		checkpoint string
	}{
		{"one step", 1, "0123456789abcdef"},
		{"a step for each task", 100, "0123456789abcdef"},
		{"long checkpoints", 1, strings.Repeat("c", 2000)},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			i := is.New(t)
			r := newRecordRig(t)
			var j sched.Job
			for n := 2000; j.ID == ""; n -= row.steps {
				s := step()
				s.Tasks = max(1, n/row.steps)
				x := job(fmt.Sprint("j", n), slices.Repeat([]sched.Step{s}, row.steps)...)
				k := r.submit(x)
				r.commit()
				if r.replies[k].Code == sched.CodeAccepted {
					j = x
				}
			}
			full := jobs.New(j)
			full.Begin(epoch, sched.MaxTasks)
			runs := 0
			for _, s := range full.Occurrences[0].Steps {
				for k := range s.Tasks {
					t := &s.Tasks[k]
					t.Failures, t.Suspect, t.Crashes, t.UnsureCrashes, t.Checkpoint = 3, true, 3, 3, sched.CheckpointID(row.checkpoint)
					for n := range 2 {
						runs++
						t.AddRun(sched.RunNumber(500+n), sched.InstanceID(fmt.Sprintf("i-%016x", runs)), epoch.UnixMilli(), epoch.Add(time.Hour))
					}
				}
			}
			data := codec.EncodeProgress(full, recordLimit)
			i.True(len(data) <= recordLimit)
			back := jobs.New(j)
			i.NoErr(codec.DecodeProgress(back, data))
			i.Equal(len(back.Occurrences[0].Steps[0].Tasks[0].Runs), 2)
			kept := back.Occurrences[0].Steps[0].Tasks[0].Checkpoint != ""
			i.Equal(kept, len(row.checkpoint) < 100) // only long checkpoints are dropped
			t.Logf("%d tasks, %d bytes", j.TaskCount(), len(data))
		})
	}
}

// Guards against occurrences that are all opened at the same time, however many are due.
func TestOccurrencesOpenAsEarlierOnesEnd(t *testing.T) {
	i := is.New(t)
	r := newRecordRig(t)
	for k := range 4 {
		w := worker(k)
		w.Capacity = sched.Resources{Processors: 1 << 20, Memory: 1 << 50}
		r.list(w)
	}
	s := step()
	s.Tasks = 3
	j := job("a", s)
	j.Schedule = sched.Schedule{Times: 100, First: r.now}
	r.submit(j)
	ends := map[sched.InstanceID][]sched.EndedRun{}
	rounds := 0
	for ; ; rounds++ {
		r.pass(time.Second)
		r.commit()
		starts := r.starts()
		if len(starts) == 0 {
			break
		}
		i.True(len(starts) <= recordLimit/128) // as many as the record holds
		for _, x := range starts {
			r.start(x, nil)
			n := int64(len(ends[x.Worker.ID]) + 1)
			ends[x.Worker.ID] = append(ends[x.Worker.ID], sched.EndedRun{Number: n, Task: x.Order.Task, Run: x.Order.Run, End: sched.EndDone})
		}
		r.commit()
		r.pass(time.Second)
		for id, list := range ends {
			r.exchange(id, sched.LeaseAnswer{Ended: list}, nil)
		}
		r.commit()
	}
	i.Equal(rounds, 3) // 42, 42 and 16 occurrences
	state, _ := r.planner.State(r.now, "a")
	i.Equal(state, sched.JobCompleted)
}
