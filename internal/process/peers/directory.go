package peers

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/parsleybarrow/parsleybarrow/internal/process/follow"
	"github.com/parsleybarrow/parsleybarrow/internal/wire/pb"
	"github.com/parsleybarrow/parsleybarrow/pkg/rank"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Partition is the partition of the store with the directory's records.
var Partition = sched.Partition{Topic: "instances"}

// Keys of the directory's records. An instance's id and a cell's number follow the
// prefixes.
const (
	instancePrefix = "instance/"
	plannerPrefix  = "cell/"
	layoutKey      = "layout"
)

// Instance is an instance's record in the directory.
type Instance struct {
	ID          sched.InstanceID
	Incarnation sched.Incarnation
	// Address is where the instance takes calls of other instances.
	Address    string
	DataCentre sched.DataCentre
	Region     sched.Region
	// Processors is the processor time that the instance may use, in thousandths
	// of a processor.
	Processors int
	// Memory is the memory that the instance may use, in bytes; 0 if unknown.
	Memory int64
	// StoreRTT is the shortest round trip to the store that the instance measured when
	// it registered.
	StoreRTT time.Duration
}

// Planner is the newest known term of a cell and the instance that holds it.
type Planner struct {
	Cell        int
	Term        sched.Offset
	ID          sched.InstanceID
	Incarnation sched.Incarnation
	Address     string
}

// Directory is this process's view of the instances and the planners of all cells.
// Exported fields are set before Register. It is safe for concurrent use, except
// that Register and WriteLayout must have returned before Run is called.
type Directory struct {
	Self  Instance
	Store sched.Store
	Clock sched.Clock
	Log   *zap.Logger

	mu        sync.Mutex
	instances map[sched.InstanceID]Instance
	planners  map[int]Planner
	cells     int
	changed   chan struct{} // closed and unset at the next change; nil if nobody waits
	follower  *follow.Follower
}

const (
	// pollWait is how long a read waits for new records.
	pollWait = 5 * time.Second
	// readInterval is the time between two reads. It bounds their rate while many
	// instances start.
	readInterval = 300 * time.Millisecond
	// writeTimeout bounds the append of a record.
	writeTimeout = 2 * time.Second
)

// Run follows the directory's records until the context ends. Register must have
// returned without an error before.
func (d *Directory) Run(c context.Context) { d.follower.Run(c) }

func (d *Directory) ensureFollower() *follow.Follower {
	if d.follower == nil {
		d.instances, d.planners = map[sched.InstanceID]Instance{}, map[int]Planner{}
		d.follower = &follow.Follower{
			Store: d.Store, Partition: Partition, Clock: d.Clock, Wait: pollWait, ReadInterval: readInterval,
			OnFullRead: d.replaceAll, OnAppended: d.applyRecords,
		}
	}
	return d.follower
}

// replaceAll takes the newest record of every key. Instances without a record are
// removed; planners are kept, since their records are never removed.
func (d *Directory) replaceAll(records []sched.KeyedRecord) {
	d.mu.Lock()
	clear(d.instances)
	d.mu.Unlock()
	d.applyRecords(records)
}

func (d *Directory) applyRecords(records []sched.KeyedRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range records {
		if err := d.applyRecord(r); err != nil {
			d.Log.Warn("badDirectoryRecord", zap.String("key", r.Key), zap.Error(err))
		}
	}
	d.notifyChanged()
}

// notifyChanged wakes those that wait for Changed. d.mu must be held.
func (d *Directory) notifyChanged() {
	if d.changed != nil {
		close(d.changed)
		d.changed = nil
	}
}

func (d *Directory) applyRecord(r sched.KeyedRecord) error {
	switch {
	case r.Key == layoutKey:
		m := &pb.CellLayout{}
		if err := proto.Unmarshal(r.Value, m); err != nil {
			return err
		}
		d.cells = int(m.GetCells())
	case strings.HasPrefix(r.Key, instancePrefix):
		return d.applyInstance(sched.InstanceID(strings.TrimPrefix(r.Key, instancePrefix)), r.Value)
	case strings.HasPrefix(r.Key, plannerPrefix):
		n, err := strconv.Atoi(strings.TrimPrefix(r.Key, plannerPrefix))
		if err != nil {
			return err
		}
		m := &pb.RelayPlanner{}
		if err := proto.Unmarshal(r.Value, m); err != nil {
			return err
		}
		d.applyPlanner(PlannerOf(n, m))
	}
	return nil
}

func (d *Directory) applyInstance(id sched.InstanceID, value []byte) error {
	if len(value) == 0 {
		delete(d.instances, id)
		return nil
	}
	m := &pb.CellInstance{}
	if err := proto.Unmarshal(value, m); err != nil {
		return err
	}
	if n := sched.Incarnation(m.GetIncarnation()); n >= d.instances[id].Incarnation {
		d.instances[id] = Instance{
			ID: id, Incarnation: n, Address: m.GetAddress(), DataCentre: sched.DataCentre(m.GetDataCentre()),
			Region: sched.Region(m.GetRegion()), Processors: int(m.GetProcessors()), Memory: int64(m.GetMemory()),
			StoreRTT: time.Duration(m.GetStoreTrip()) * time.Microsecond,
		}
	}
	return nil
}

func (d *Directory) applyPlanner(p Planner) {
	if old, known := d.planners[p.Cell]; known && old.Term > p.Term {
		return
	}
	d.planners[p.Cell] = p
}

// PlannerOf returns the planner of a cell that a message describes. The cell in the
// message is ignored.
func PlannerOf(cell int, m *pb.RelayPlanner) Planner {
	return Planner{
		Cell: cell, Term: sched.Offset(m.GetTerm()), ID: sched.InstanceID(m.GetInstance()),
		Incarnation: sched.Incarnation(m.GetIncarnation()), Address: m.GetAddress(),
	}
}

// Message returns the planner as a message.
func (p Planner) Message() *pb.RelayPlanner {
	return &pb.RelayPlanner{
		Cell: uint32(p.Cell), Term: int64(p.Term), Instance: string(p.ID), Incarnation: uint64(p.Incarnation), Address: p.Address,
	}
}

// UpdatePlanner updates the planner of a cell with one that was learned by other means than
// the store, unless its term isn't newer or its address is missing.
func (d *Directory) UpdatePlanner(p Planner) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old := d.planners[p.Cell]; p.Address != "" && p.Term > old.Term {
		d.planners[p.Cell] = p
		d.notifyChanged()
	}
}

// Cells returns the number of cells, 0 until the layout record has been read.
func (d *Directory) Cells() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cells
}

// Planner returns the planner of the cell and whether one is known.
func (d *Directory) Planner(cell int) (Planner, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, known := d.planners[cell]
	return p, known
}

// Changed returns a channel that is closed at the next change of the directory.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.changed == nil {
		d.changed = make(chan struct{})
	}
	return d.changed
}

// Instances returns the known instances other than this one, sorted by id.
func (d *Directory) Instances() []Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]Instance, 0, len(d.instances))
	for id, i := range d.instances {
		if id != d.Self.ID {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Instance returns the record of an instance and whether there is one.
func (d *Directory) Instance(id sched.InstanceID) (Instance, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if id == d.Self.ID {
		return d.Self, true
	}
	i, known := d.instances[id]
	return i, known
}

// Ranked is an instance with the number of other cells that it plans.
type Ranked struct {
	Instance
	Cells int
}

// Candidate returns what counts in the order of the candidates for a cell.
func (r Ranked) Candidate() rank.Candidate {
	return rank.Candidate{ID: r.ID, Processors: r.Processors, StoreRTT: r.StoreRTT, Cells: r.Cells}
}

// Ranked returns the known instances, this one included, in the order in which they should
// plan the cell, see rank.Sort. The order is the same at every instance that has read the
// same records.
func (d *Directory) Ranked(cell int) []Ranked {
	d.mu.Lock()
	defer d.mu.Unlock()
	cells := map[sched.InstanceID]int{}
	for _, p := range d.planners {
		if p.Cell != cell {
			cells[p.ID]++
		}
	}
	known := map[sched.InstanceID]Ranked{d.Self.ID: {d.Self, cells[d.Self.ID]}}
	for id, i := range d.instances {
		if id != d.Self.ID {
			known[id] = Ranked{i, cells[id]}
		}
	}
	all := make([]rank.Candidate, 0, len(known))
	for _, i := range known {
		all = append(all, i.Candidate())
	}
	rank.Sort(cell, all)
	out := make([]Ranked, len(all))
	for k, c := range all {
		out[k] = known[c.ID]
	}
	return out
}

// Candidates returns the instances of Ranked.
func (d *Directory) Candidates(cell int) []Instance {
	all := d.Ranked(cell)
	out := make([]Instance, len(all))
	for k, r := range all {
		out[k] = r.Instance
	}
	return out
}

// Better returns the instances, other than the given one, that rank before this one among
// the candidates for the cell. The given one is usually the present planner.
func (d *Directory) Better(cell int, without sched.InstanceID) []Instance {
	var out []Instance
	for _, i := range d.Candidates(cell) {
		if i.ID == d.Self.ID {
			break
		}
		if i.ID != without {
			out = append(out, i)
		}
	}
	return out
}
