package entry

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/internal/process/follow"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// operator follows the operator's records. It isn't safe for concurrent use.
type operator struct {
	entry    *Entry
	follower *follow.Follower
	// logged holds, by key, the offset of the newest record that was logged as having no
	// effect, so that reads of all records don't log it again.
	logged map[string]sched.Offset
}

func newOperator(e *Entry) *operator {
	o := &operator{entry: e, logged: map[string]sched.Offset{}}
	o.follower = &follow.Follower{
		Store: e.Store, Partition: e.Registry.Operator(), Clock: e.Clock,
		Wait: operatorPollWait, ReadInterval: operatorReadInterval,
		OnFullRead: o.replace, OnAppended: o.add, OnRead: o.noteRead, OnError: e.storeStateLogger("operator"),
	}
	return o
}

// run follows the records until the context ends.
func (o *operator) run(c context.Context) {
	if o.entry.settings.Load().options.EvacuationLimit > 0 {
		o.follower.Wait = evacuationPollWait
	}
	o.follower.Run(c)
}

// replace takes the newest records of all keys.
func (o *operator) replace(records []sched.KeyedRecord) {
	found, e := o.apply(records), o.entry
	e.evacuations.Store(e.evacuations.Load().WithFullRead(o.follower.Sent(), e.Clock.Now(), found, o.follower.Offset()))
}

// add takes the records that were appended.
func (o *operator) add(records []sched.KeyedRecord) {
	found, e := o.apply(records), o.entry
	e.evacuations.Store(e.evacuations.Load().WithAppended(o.follower.Sent(), e.Clock.Now(), found, o.follower.Offset()))
}

// noteRead notes that all records are known as of the last read.
func (o *operator) noteRead() {
	e := o.entry
	e.evacuations.Store(e.evacuations.Load().WithAppended(o.follower.Sent(), e.Clock.Now(), nil, o.follower.Offset()))
}

// apply installs the catalogs among the records and returns the evacuations. Records that
// can't be decoded are logged and skipped.
func (o *operator) apply(records []sched.KeyedRecord) []sched.Evacuation {
	var found []sched.Evacuation
	for _, r := range records {
		x, err := o.entry.Registry.DecodeOperator(r)
		switch {
		case err != nil:
			if o.first(r) {
				o.entry.Log.Error("badOperatorRecord", zap.String("key", r.Key), zap.Int64("offset", int64(r.Offset)), zap.Error(err))
			}
		case x.Catalog != nil:
			o.entry.installCatalog(&catalog{x.Catalog, r.Value})
		case x.Evacuation != nil:
			found = append(found, *x.Evacuation)
			o.checkName(r, *x.Evacuation)
		}
	}
	return found
}

// checkName logs an evacuation of an unknown data centre. It has no effect as long as no
// worker is in it.
func (o *operator) checkName(r sched.KeyedRecord, x sched.Evacuation) {
	e := o.entry
	if x.InForce && len(e.DataCentres) > 0 && !slices.Contains(e.DataCentres, x.DataCentre) && o.first(r) {
		e.Log.Warn("evacuationUnknown", zap.String("dataCentre", string(x.DataCentre)), zap.Int64("offset", int64(r.Offset)))
	}
}

// first reports whether a record wasn't logged before, and notes that it is.
func (o *operator) first(r sched.KeyedRecord) bool {
	if at, known := o.logged[r.Key]; known && at >= r.Offset {
		return false
	}
	o.logged[r.Key] = r.Offset
	return true
}
