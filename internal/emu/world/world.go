package world

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/emu/audit"
	"github.com/parsleybarrow/parsleybarrow/internal/emu/book"
	"github.com/parsleybarrow/parsleybarrow/internal/emu/store"
	"github.com/parsleybarrow/parsleybarrow/internal/emu/work"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// World is an emulated platform. Exported fields are set before Begin, except
// Jobs and Audit, which Begin creates.
type World struct {
	Clock sched.Clock
	Seed  uint64
	Rules work.Rules
	// Workers and Catalog are the workers and the configuration that Begin starts
	// with.
	Workers []sched.Worker
	Catalog sched.Catalog
	// Retention is the retention time of the store's history, 0 for no expiry.
	Retention time.Duration
	// RecordLimit and AppendLimit bound a record of the store, and the records of one
	// append, in bytes. With 0 they are the platform's limits.
	RecordLimit, AppendLimit int
	// Heartbeat is the interval between two heartbeats of a worker.
	Heartbeat time.Duration
	// MaxOverGoal is how long fillers may keep a serving task over its latency bound
	// before the audit reports it. With 0 this isn't checked.
	MaxOverGoal time.Duration
	// SettlingTime is how long after the end of a fault tasks may wait although there
	// is room for them.
	SettlingTime time.Duration
	// TicketsFromArrival makes the validity of tickets count from the arrival of the call at
	// the advice service, instead of from its answer.
	TicketsFromArrival bool
	// SameCell reports whether a job may run on a worker as far as their cells are
	// concerned, nil if there is one cell.
	SameCell func(sched.JobID, sched.InstanceID) bool
	// CrashDowntime is how long a worker stays down after a run has crashed it. With
	// 0 it is defaultCrashDowntime.
	CrashDowntime time.Duration
	// CrashChangesID makes a worker that a run has crashed return under a new ID,
	// at the same address. Otherwise it returns with a new incarnation only.
	CrashChangesID bool

	Jobs  *book.Jobs
	Audit *audit.Audit

	mu      sync.Mutex
	random  *rand.Rand
	store   *store.Store
	gangs   *work.Gangs
	workers map[string]*work.Worker // by address
	sides   map[sched.InstanceID]*Client
	// advice holds, for each instance, when its calls of the advice service end.
	advice map[sched.InstanceID][]time.Time
	// entries holds the encoded record of each registered worker.
	entries map[sched.InstanceID]string
	// lastBeat holds the time of each worker's last heartbeat.
	lastBeat map[sched.InstanceID]time.Time
	// harmedSince holds when fillers put a serving task over its latency bound.
	harmedSince map[work.RunKey]time.Time
	// isolated holds the addresses of the workers that no instance can reach and
	// that send no heartbeats.
	isolated map[string]bool
}

// defaultCrashDowntime is shorter than the time after which an entry is removed, so
// that a new ID is registered beside the old one.
const defaultCrashDowntime = 3200 * time.Millisecond

// Partitions of the operator's and the workers' records.
var (
	operatorPartition = sched.Partition{Topic: "operator"}
	workerPartition   = sched.Partition{Topic: "workers"}
)

// Keys of the operator's records. The name of a data centre follows the prefix.
const (
	catalogKey     = "catalog"
	evacuatePrefix = "evacuate/"
)

// evacuationTime is how long after its acknowledgement an evacuation must be in force.
const evacuationTime = 5 * time.Second

// missedHeartbeats is the number of heartbeat intervals without a heartbeat after
// which a worker's entry is removed.
const missedHeartbeats = 3

// Begin starts the workers and writes their entries and the catalog.
func (w *World) Begin() {
	w.random = rand.New(rand.NewPCG(w.Seed, 1))
	w.Jobs = &book.Jobs{Seed: w.Seed}
	w.Audit = &audit.Audit{
		Jobs: w.Jobs, Guards: w.Rules.Guards, CancelTime: 3 * time.Second, ContactTime: 4 * time.Second,
		EvacuationTime: evacuationTime, SettlingTime: w.SettlingTime, SameCell: w.SameCell,
	}
	w.store = &store.Store{Retention: w.Retention, MaxRecordBytes: w.RecordLimit, MaxAppendBytes: w.AppendLimit}
	w.gangs = &work.Gangs{}
	w.workers, w.sides = map[string]*work.Worker{}, map[sched.InstanceID]*Client{}
	w.entries, w.lastBeat = map[sched.InstanceID]string{}, map[sched.InstanceID]time.Time{}
	w.advice = map[sched.InstanceID][]time.Time{}
	w.harmedSince, w.isolated = map[work.RunKey]time.Time{}, map[string]bool{}
	for _, d := range w.Workers {
		w.Add(d)
	}
	w.WriteCatalog(w.Catalog)
	w.SendHeartbeats()
}

// Add starts another worker. Its clock runs up to 2 % slow. Its entry is written
// with the next heartbeat.
func (w *World) Add(d sched.Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := &work.Worker{
		Worker: d, Rules: w.Rules, Jobs: w.Jobs, Gangs: w.gangs, Observer: w.Audit,
		ClockRate: 1 - 0.02*w.random.Float64(), Slow: 1,
	}
	x.Begin(w.Clock.Now())
	w.workers[d.Address] = x
}

// sortedWorkers returns the workers in order of ID.
func (w *World) sortedWorkers() []*work.Worker {
	return slices.SortedFunc(maps.Values(w.workers), func(a, b *work.Worker) int { return cmp.Compare(a.ID, b.ID) })
}

// WriteCatalog writes a catalog to the operator's partition.
func (w *World) WriteCatalog(c sched.Catalog) {
	data, err := json.Marshal(c)
	if err != nil {
		panic(fmt.Sprintf("encode catalog: %v", err))
	}
	w.write(operatorPartition, catalogKey, data)
}

// write appends a record and panics if the store refuses it.
func (w *World) write(p sched.Partition, key string, value []byte) {
	_, err := w.store.Append(w.Clock.Now(), p, sched.AnyEnd, []sched.KeyedRecord{{Key: key, Value: value}})
	if err != nil {
		panic(fmt.Sprintf("append record %s to the store: %v", key, err))
	}
}

// Run sends the workers' heartbeats and advances and checks the workers until the
// context ends.
func (w *World) Run(c context.Context) {
	for n := 0; w.Clock.Sleep(c, w.Heartbeat/checksPerHeartbeat) == nil; n++ {
		if n%checksPerHeartbeat == 0 {
			w.SendHeartbeats()
		}
		w.checkWorkers()
	}
}

// checksPerHeartbeat is how often per heartbeat interval the workers are checked.
const checksPerHeartbeat = 4

// SendHeartbeats sends a heartbeat of each worker that is up and not isolated. It removes
// the entries of workers without a heartbeat for more than missedHeartbeats
// intervals.
func (w *World) SendHeartbeats() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Clock.Now()
	for _, x := range w.sortedWorkers() {
		if !x.Down && !w.isolated[x.Address] {
			w.lastBeat[x.ID] = now
			w.writeEntry(x.ID, x.Worker)
			x.Reported(now)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(w.entries)) {
		if now.Sub(w.lastBeat[id]) > missedHeartbeats*w.Heartbeat {
			delete(w.entries, id)
			w.write(workerPartition, string(id), nil)
		}
	}
}

// writeEntry writes a worker's entry if it has changed.
func (w *World) writeEntry(id sched.InstanceID, d sched.Worker) {
	data, err := json.Marshal(d)
	if err != nil {
		panic(fmt.Sprintf("encode worker: %v", err))
	}
	if w.entries[id] != string(data) {
		w.entries[id] = string(data)
		w.write(workerPartition, string(id), data)
	}
}

// checkWorkers advances all workers to the present time, starts those again that a run
// crashed CrashDowntime ago, and has the audit check the waiting tasks. It reports
// serving tasks that fillers keep over their latency bound for longer than MaxOverGoal,
// and each again after every further MaxOverGoal.
func (w *World) checkWorkers() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Clock.Now()
	var up []*work.Worker
	defer func() { w.Audit.CheckWaiting(now, up) }()
	for _, x := range w.sortedWorkers() {
		x.Advance(now)
		if x.CrashedBy != (work.RunKey{}) && now.Sub(x.DownSince) >= cmp.Or(w.CrashDowntime, defaultCrashDowntime) {
			w.restart(now, x)
		}
		if !x.Down {
			up = append(up, x)
		}
		if w.MaxOverGoal == 0 {
			continue
		}
		for _, k := range x.Serving() {
			switch since, over := w.harmedSince[k]; {
			case !x.Harmed(k):
				delete(w.harmedSince, k)
			case !over:
				w.harmedSince[k] = now
			case now.Sub(since) > w.MaxOverGoal:
				w.Audit.Harmed(now, x, k, since)
				w.harmedSince[k] = now
			}
		}
	}
}

// restart starts a worker again that a run crashed.
func (w *World) restart(now time.Time, x *work.Worker) {
	if w.CrashChangesID {
		first, _, _ := strings.Cut(string(x.ID), restartMark)
		x.ID = sched.InstanceID(fmt.Sprint(first, restartMark, now.UnixMilli()))
	}
	x.Draining, x.DrainRemaining = false, 0
	x.Begin(now)
}

// restartMark separates the first ID of a worker from the time of its restart.
const restartMark = "."

// DecodeOperator implements sched.Registry.
func (s *Client) DecodeOperator(r sched.KeyedRecord) (sched.OperatorRecord, error) {
	if d, found := strings.CutPrefix(r.Key, evacuatePrefix); found {
		return sched.OperatorRecord{Evacuation: &sched.Evacuation{
			DataCentre: sched.DataCentre(d), InForce: len(r.Value) > 0, Offset: r.Offset,
		}}, nil
	}
	if r.Key != catalogKey {
		return sched.OperatorRecord{}, nil
	}
	c := &sched.Catalog{}
	if err := json.Unmarshal(r.Value, c); err != nil {
		return sched.OperatorRecord{}, fmt.Errorf("decode catalog: %w", err)
	}
	return sched.OperatorRecord{Catalog: c}, nil
}

// DecodeWorker implements sched.Registry.
func (s *Client) DecodeWorker(r sched.KeyedRecord) (sched.Worker, error) {
	var d sched.Worker
	if err := json.Unmarshal(r.Value, &d); err != nil {
		return d, fmt.Errorf("decode worker record: %w", err)
	}
	return d, nil
}

// Operator implements sched.Registry.
func (s *Client) Operator() sched.Partition { return operatorPartition }

// Workers implements sched.Registry.
func (s *Client) Workers() sched.Partition { return workerPartition }
