package peers

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/parsleybarrow/parsleybarrow/internal/wire/pb"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Register reads the directory, measures the round trip to the store with a read of
// the partition's end, and writes this instance's record.
func (d *Directory) Register(c context.Context) error {
	if err := d.ensureFollower().ReadWhole(c); err != nil {
		return err
	}
	trip, err := d.measureTrip(c)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.Self.StoreRTT = trip
	m := &pb.CellInstance{
		Incarnation: uint64(d.Self.Incarnation), Address: d.Self.Address, DataCentre: string(d.Self.DataCentre),
		Region: string(d.Self.Region), Processors: uint32(d.Self.Processors),
		StoreTrip: uint32(d.Self.StoreRTT.Microseconds()), Memory: uint64(d.Self.Memory),
	}
	d.mu.Unlock()
	return d.write(c, instancePrefix+string(d.Self.ID), m)
}

const (
	// tripSamples bounds the reads by which the round trip to the store is measured. The
	// shortest counts: single reads take up to 100 ms longer while the process starts on
	// a slow processor and while the store answers many instances that start.
	tripSamples = 8
	// tripPause is the time between two of them, and enoughTrip the round trip at which
	// no further one is made.
	tripPause  = 10 * time.Millisecond
	enoughTrip = 8 * time.Millisecond
)

// measureTrip returns the shortest time of some reads of the end of the partition.
func (d *Directory) measureTrip(c context.Context) (time.Duration, error) {
	best := time.Duration(math.MaxInt64)
	for range tripSamples {
		began := d.Clock.Now()
		if _, err := d.Store.Read(c, Partition, d.ensureFollower().Offset(), 0); err != nil {
			return 0, err
		}
		best = min(best, d.Clock.Now().Sub(began))
		if best <= enoughTrip || d.Clock.Sleep(c, tripPause) != nil {
			break
		}
	}
	return best, nil
}

// Unregister removes this instance's record.
func (d *Directory) Unregister(c context.Context) error {
	return d.append(c, sched.AnyEnd, sched.KeyedRecord{Key: instancePrefix + string(d.Self.ID)})
}

// WritePlanner writes the record of a cell's planner.
func (d *Directory) WritePlanner(c context.Context, p Planner) error {
	d.UpdatePlanner(p)
	return d.write(c, fmt.Sprint(plannerPrefix, p.Cell), p.Message())
}

// WriteLayout writes the number of cells unless another instance has done so. The append
// expects the end of the partition as it was read, so that only one instance can
// write the record.
func (d *Directory) WriteLayout(c context.Context, cells int) error {
	for d.Cells() == 0 {
		if err := d.ensureFollower().ReadWhole(c); err != nil || d.Cells() > 0 {
			return err
		}
		data, err := proto.Marshal(&pb.CellLayout{Cells: uint32(cells)})
		if err != nil {
			return fmt.Errorf("encode layout: %w", err)
		}
		err = d.append(c, d.ensureFollower().Offset(), sched.KeyedRecord{Key: layoutKey, Value: data})
		var end *sched.EndError
		if err != nil && !errors.As(err, &end) {
			return err
		}
	}
	return nil
}

func (d *Directory) write(c context.Context, key string, m proto.Message) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	return d.append(c, sched.AnyEnd, sched.KeyedRecord{Key: key, Value: data})
}

func (d *Directory) append(c context.Context, at sched.Offset, r sched.KeyedRecord) error {
	x, cancel := context.WithTimeout(c, writeTimeout)
	defer cancel()
	_, err := d.Store.Append(x, Partition, at, []sched.KeyedRecord{r})
	return err
}
