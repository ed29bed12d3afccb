package lead

import (
	"time"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/internal/process/busy"
)

// workKind is a kind of work of the planner's actor: that of a message, or one of the
// parts that follow each message.
type workKind string

// Kinds of work. They are the labels of the metric of the planner's work.
const (
	workTick     workKind = "tick"
	workLeased   workKind = "leased"
	workStarted  workKind = "started"
	workStopped  workKind = "stopped"
	workPaced    workKind = "paced"
	workAdvised  workKind = "advised"
	workListed   workKind = "listed"
	workAppended workKind = "appended"
	workSubmit   workKind = "submit"
	workCancel   workKind = "cancel"
	workState    workKind = "state"
	workPending  workKind = "pending"
	workExplain  workKind = "explain"
	// workPlace places waiting tasks, workFlush encodes records, and workEffects hands
	// appends, replies and orders on.
	workPlace   workKind = "place"
	workFlush   workKind = "flush"
	workEffects workKind = "effects"
	// workEmulated is what Spend takes.
	workEmulated workKind = "emulated"
)

// message asks the planner's actor to run a function.
type message struct {
	kind     workKind
	postedAt time.Time
	run      func()
}

// measure runs f and adds the time that it takes to the work of the actor.
func (l *Leader) measure(kind workKind, f func()) {
	begun := l.Clock.Now()
	f()
	l.work.Add(string(kind), l.Clock.Now().Sub(begun))
}

const (
	// busyShare and longWait are the share of time that the actor is busy, and the wait of
	// a message, from which on its load is logged. A task that is placed as late can miss
	// its objective.
	busyShare = 0.5
	longWait  = 100 * time.Millisecond
	// loggedWorks is how many kinds of work such a line names.
	loggedWorks = 4
)

// readProcessorTime returns the processor time that this process has used, 0 with a line in
// the log if it can't be read.
func (l *Leader) readProcessorTime() time.Duration {
	used, err := busy.ProcessorTime()
	if err != nil {
		l.Log.Warn("processorTimeUnknown", zap.Error(err))
	}
	return used
}

// reportLoad logs what the planner's actor did since the last report if it was busy or
// late, and calls OnLoad.
func (l *Leader) reportLoad(now time.Time) {
	r := l.work.Take(now)
	used := l.readProcessorTime()
	if r.Share() >= busyShare || r.LongestWait >= longWait {
		fields := []zap.Field{
			zap.Duration("period", r.Period), zap.Duration("busy", r.Busy), zap.Duration("wait", r.LongestWait),
			zap.Duration("processorTime", used-l.processorTime), zap.Duration("lag", l.lag.recent()),
			zap.Int64("ratings", l.planner.Stats().Ratings-l.reportedStats.Ratings),
		}
		for _, w := range r.Works[:min(len(r.Works), loggedWorks)] {
			fields = append(fields, zap.Int64(w.Kind+"Count", w.Count), zap.Duration(w.Kind, w.Time))
		}
		l.Log.Info("plannerLoad", fields...)
	}
	l.processorTime = used
	if l.OnLoad != nil {
		l.OnLoad(r)
	}
}
