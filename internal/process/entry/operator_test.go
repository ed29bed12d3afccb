package entry

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/platform"
)

// Guards against records that name no data centre or can't be read and evacuate one, or are
// logged again by each read of all records.
func TestUnknownEvacuationsAreLoggedOnce(t *testing.T) {
	i := is.New(t)
	core, logged := observer.New(zapcore.WarnLevel)
	e := &Entry{Registry: platform.Registry{}, Clock: clock.System{}, Log: zap.New(core), DataCentres: []sched.DataCentre{"dc-1"}}
	o := newOperator(e)
	records := []sched.KeyedRecord{
		{Key: "evacuate/dc-1", Value: []byte(`{}`), Offset: 1},
		{Key: "evacuate/dc-9", Value: []byte(`{}`), Offset: 2},
		{Key: "evacuate/", Value: []byte(`{}`), Offset: 3},
		{Key: "evacuate/dc-2", Value: []byte(`7`), Offset: 4},
	}
	o.replace(records)
	o.replace(records)
	i.True(e.evacuations.Load().Covers("dc-1"))
	i.True(!e.evacuations.Load().Covers("dc-2"))
	var names []string
	for _, l := range logged.All() {
		names = append(names, l.Message)
	}
	i.Equal(names, []string{"evacuationUnknown", "badOperatorRecord", "badOperatorRecord"})
	o.replace([]sched.KeyedRecord{{Key: "evacuate/dc-9", Value: []byte(`{}`), Offset: 7}})
	i.Equal(logged.Len(), 4) // written anew
	i.True(!e.evacuations.Load().Covers("dc-1"))
}
