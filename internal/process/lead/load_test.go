package lead

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/jobs"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against one record of a job that ends the process of each instance in turn.
func TestARecordOnWhichDecodingPanicsCostsOneJob(t *testing.T) {
	i := is.New(t)
	const bad, good = "0000000000000001", "0000000000000002"
	k := &keyedState{records: map[string]sched.KeyedRecord{}}
	for _, id := range []string{bad, good} {
		k.records[cell.RunPrefix+id] = sched.KeyedRecord{Key: cell.RunPrefix + id, Value: []byte(id)}
	}
	lines, logged := observer.New(zap.ErrorLevel)
	restored := k.decodeJobs(zap.New(lines), func(j *jobs.Job, _ []byte) error {
		if j.ID == bad {
			panic("index out of range")
		}
		return nil
	})
	i.Equal(len(restored), 1)
	i.Equal(restored[0].ID, sched.JobID(good))
	i.Equal(logged.FilterMessage("badRecord").FilterField(zap.String("key", cell.RunPrefix+bad)).Len(), 1)
}
