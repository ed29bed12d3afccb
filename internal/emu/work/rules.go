package work

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Rules are the parameters of an emulated platform.
type Rules struct {
	// LeaseLimit is the longest lease that a worker grants.
	LeaseLimit time.Duration
	// StopTime is the time from a stop order to the end of the run.
	StopTime time.Duration
	// GangLimit is how long a member of a gang waits for the others to start.
	GangLimit time.Duration
	// Checkpoint is the work done between two checkpoints. With 0 a run writes
	// one only when it is stopped. Restore is the time that a run takes to
	// resume from a checkpoint.
	Checkpoint, Restore time.Duration
	// Startup is the time from the start of a lasting task until its worker
	// reports it as ready.
	Startup time.Duration
	// Guards makes workers refuse start orders that don't fit their free
	// capacity.
	Guards bool
	// FarFactor is the factor by which a task takes longer on another rack than
	// that of its data. Values below 1 count as 1.
	FarFactor float64
	// Interference describes the interference of tasks on one worker.
	Interference Interference
}

// Interference describes the interference of tasks on one worker. The tail latency of
// a serving task is Base / (1 - utilization). The utilization is the task's own
// load plus, for each filler on the worker, the fraction of the worker's
// processors that the filler uses times a factor of the pair of images.
type Interference struct {
	Base time.Duration
	// Load is the mean load of a serving task. Swing is the amplitude of its
	// sinusoidal change over Period, relative to Load.
	Load, Swing float64
	Period      time.Duration
	// Heavy is the factor of the fraction HeavyShare of all pairs of images,
	// Light that of the others.
	Light, Heavy, HeavyShare float64
	// Noise is the largest relative error of a reported tail latency.
	Noise float64
}

const (
	// maxUtilization caps the utilization of a serving task, because its tail
	// latency grows without bound as the utilization nears 1.
	maxUtilization = 0.98
	// maxListedEnds limits the ends in one answer.
	maxListedEnds = 500
)

// Observer receives the events on emulated workers when they happen, whether or
// not the scheduler learns of them.
type Observer interface {
	// Began reports a new run, before the worker counts it.
	Began(at time.Time, w *Worker, k RunKey, payload string, resumed sched.CheckpointID)
	// Ended reports the end of a run, except through a crash of the worker.
	Ended(at time.Time, w *Worker, k RunKey, how sched.RunEnd)
	// Acknowledged reports that the scheduler acknowledged an end. Lapsed is true if
	// the worker's lease expired between the end and the acknowledgement.
	Acknowledged(at time.Time, w *Worker, k RunKey, how sched.RunEnd, lapsed bool)
	// Saved reports that a run of a task wrote a checkpoint.
	Saved(r sched.TaskRef, c sched.CheckpointID)
	// Crashed reports that the worker and all of its runs ended. The worker's
	// CrashedBy tells whether one of the runs was the cause.
	Crashed(at time.Time, w *Worker)
}

// RunKey identifies a run.
type RunKey struct {
	Task sched.TaskRef
	Run  sched.RunNumber
}
