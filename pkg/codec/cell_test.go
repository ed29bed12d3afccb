package codec_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/parsleybarrow/parsleybarrow/internal/wire/pb"
	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/jobs"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

func submittedJob(at time.Time) *jobs.Job {
	return jobs.New(sched.Job{ID: "j", SubmittedAt: at, Steps: []sched.Step{{Tasks: 2}}})
}

// Guards against a planner that takes over without the facts by which it judges a crash.
func TestProgressKeepsWhatACrashIsJudgedBy(t *testing.T) {
	i := is.New(t)
	at := time.UnixMilli(1_800_000_000_000)
	j := submittedJob(at)
	o := j.Begin(at, sched.MaxTasks)[0]
	o.Steps[0].Tasks[0].AddRun(1, "w1", 7, at)
	o.Steps[0].Tasks[1].AddRun(2, "w2", 9, at.Add(90*time.Minute))
	o.Steps[0].Tasks[1].Suspect, o.Steps[0].Tasks[1].Crashes, o.Steps[0].Tasks[1].UnsureCrashes = true, 3, 2
	restored := submittedJob(at)
	i.NoErr(codec.DecodeProgress(restored, codec.EncodeProgress(j, 0)))
	got := restored.Occurrences[0].Steps[0].Tasks
	i.Equal(got[0].Runs, []jobs.Run{{Number: 1, Worker: "w1", Incarnation: 7, PlacedAt: at}})
	i.Equal(got[1].Runs, []jobs.Run{{Number: 2, Worker: "w2", Incarnation: 9, PlacedAt: at.Add(90 * time.Minute)}})
	i.True(got[1].Suspect)
	i.Equal(got[1].Crashes, 3)
	i.Equal(got[1].UnsureCrashes, 2)
}

// Guards against a record of an earlier version, without these facts, that is misread.
func TestProgressOfAnEarlierVersionIsRead(t *testing.T) {
	i := is.New(t)
	data, err := proto.Marshal(&pb.CellProgress{
		State: uint32(sched.JobActive), Next: 1, Workers: []string{"w1"},
		Occurrences: []*pb.CellOccurrence{{Steps: []*pb.CellStepProgress{{
			Tasks: []*pb.CellTask{{Index: 1, Last: 4, Failures: 1, Runs: []*pb.CellRun{{Number: 4, Worker: 0}}}},
		}}}},
	})
	i.NoErr(err)
	j := submittedJob(time.UnixMilli(1_800_000_000_000))
	i.NoErr(codec.DecodeProgress(j, data))
	got := j.Occurrences[0].Steps[0].Tasks[1]
	i.Equal(got, jobs.Task{LastRun: 4, Failures: 1, Runs: []jobs.Run{{Number: 4, Worker: "w1"}}})
}
