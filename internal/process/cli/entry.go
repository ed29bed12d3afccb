package cli

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/parsleybarrow/parsleybarrow/internal/process/busy"
	"github.com/parsleybarrow/parsleybarrow/internal/process/daemon"
	"github.com/parsleybarrow/parsleybarrow/internal/process/entry"
	"github.com/parsleybarrow/parsleybarrow/internal/process/peers"
	"github.com/parsleybarrow/parsleybarrow/internal/process/sink"
	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	users "github.com/parsleybarrow/parsleybarrow/platform"
)

// entryCmd runs one entry instance on the users' platform, which passes
// addresses and limits in a settings file.
type entryCmd struct {
	WorkersPerCell int  `default:"1024" min:"1" max:"10000" help:"Workers for which one cell is laid out, at the first start of the system."`
	AgentsFrom     int  `default:"128" min:"0" max:"10000" help:"Workers of a cell from which on other instances carry out its planner's orders; 0 for never."`
	LookAhead      bool `help:"Hold room that becomes free for large, wide and lasting tasks that wait."`
	requestLimits
	LogLevel string `default:"info" enum:"debug,info,warn,error" help:"Least severe lines to log: debug, info, warn or error."`
}

// Run implements the command.
func (x *entryCmd) Run(c context.Context, p *Program) error {
	s, err := users.ReadSettings()
	if err != nil {
		return fail(sched.ExitSetting, err)
	}
	lines := &sink.Sink{Out: p.Stdout, Limit: logBufferBytes, FlushDelay: logBatchDelay}
	defer func() { _ = lines.Close() }()
	e, err := x.entry(x.logger(lines), s)
	if err != nil {
		return err
	}
	e.LinesDropped = lines.Dropped
	if e.Budget.Runtime > 0 {
		debug.SetMemoryLimit(e.Budget.Runtime)
	}
	// One waiting hang-up is enough: the file is read after it.
	hangups := make(chan struct{}, 1)
	hangup := func() {
		select {
		case hangups <- struct{}{}:
		default:
		}
	}
	reloading, end := context.WithCancel(context.WithoutCancel(c))
	defer end()
	go x.reload(reloading, hangups, e.Log, s, func(n users.Settings) { e.Reload(x.plannerOptions(n), n.Bounds.Grace) })
	return p.runService(c, e.Log, hangup, e.Run)
}

// reloadInterval is the time between two reads of the settings file, which may
// change without a SIGHUP.
const reloadInterval = 2 * time.Second

// errCutShort reports a settings file that ends before, within or between the limits of
// the store, though it had them before.
var errCutShort = errors.New("the settings file is cut short: the limits of the store are missing or don't fit each other")

// limitsFit reports whether a file contains limits of the store of which that for a call,
// the last one, is whole: a call takes at least one record.
func limitsFit(q users.QuotaSettings) bool { return q.RecordBytes > 0 && q.CallBytes >= q.RecordBytes }

// reload applies changes of the settings file until the context ends: after a SIGHUP,
// also during the drain, and when a periodic read finds values changed. A file that can't
// be used changes nothing. Addresses and the identity keep their values until the process
// restarts.
func (x *entryCmd) reload(
	c context.Context, hangups <-chan struct{}, l *zap.Logger, s users.Settings, apply func(users.Settings),
) {
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	failed := false
	for {
		asked := false
		select {
		case <-hangups:
			asked = true
		case <-t.C:
		case <-c.Done():
			return
		}
		n, err := users.ReadSettings()
		if err == nil && limitsFit(s.Quota) && !limitsFit(n.Quota) {
			err = errCutShort
		}
		switch {
		case err != nil:
			l.Error("reloadFailed", zap.Error(err))
			failed = true
		case asked || failed || n.Bounds != s.Bounds || n.Quota != s.Quota:
			apply(n)
			l.Info("reloaded", zap.Bool("asked", asked))
			s, failed = n, false
		}
	}
}

// plannerOptions returns the planner options that follow from the settings and the flags.
func (x *entryCmd) plannerOptions(s users.Settings) cell.Options {
	return cell.Options{
		LeaseLimit: s.Bounds.LeaseLimit, StopLimit: s.Bounds.StopLimit, StatusKept: s.Bounds.StatusKept,
		Early: s.Bounds.Early, GangLimit: s.Bounds.GangLimit, Restore: s.Bounds.Restore, FarFactor: s.Bounds.FarFactor,
		AwayNotice: s.Bounds.AwayNotice, EvacuationLimit: s.Bounds.EvacuationLimit, RecordLimit: s.Quota.RecordBytes, BatchLimit: s.Quota.CallBytes,
		LookAhead: x.LookAhead,
	}
}

// entry returns an instance with all clients of the platform and with its
// listeners open. The incarnation is the time of the start in nanoseconds.
func (x *entryCmd) entry(l *zap.Logger, s users.Settings) (*entry.Entry, error) {
	limits, err := x.of(s.Machine)
	if err != nil {
		return nil, err
	}
	k := clock.NewSteady()
	client := users.NewClient(users.WorkerConnections)
	e := &entry.Entry{
		Self: peers.Instance{
			ID: s.ID, Incarnation: sched.Incarnation(k.Now().UnixNano()), Address: s.Control, DataCentre: s.DataCentre,
			Region: s.Region, Processors: int(s.Machine.Cores * millisPerProcessor), Memory: s.Machine.Memory,
		},
		CallerHandler:  func(d sched.JobService) http.Handler { return &users.Front{Desk: d} },
		ReadyHandler:   users.ReadyHandler,
		Store:          &users.Store{Client: users.NewClient(users.StoreConnections), Address: s.Store},
		Registry:       users.Registry{},
		Runner:         &users.Runner{Client: client},
		Advisor:        &users.Advisor{Client: client, Address: s.Advice},
		Clock:          k,
		Log:            l.With(zap.String("instance", string(s.ID))),
		Budget:         limits,
		WorkersPerCell: x.WorkersPerCell,
		AgentsFrom:     x.AgentsFrom,
		DataCentres:    slices.Sorted(maps.Keys(s.Regions)),

		UsedProcessorTime: busy.ProcessorTime,
	}
	e.Reload(x.plannerOptions(s), s.Bounds.Grace)
	parts := []struct {
		use, address string
		to           *net.Listener
	}{
		{"callers", s.Front, &e.CallerListener},
		{"balancer", s.Ready, &e.BalancerListener},
		{"peers", s.Control, &e.PeerListener},
		{"metrics", net.JoinHostPort(s.IP, strconv.Itoa(s.PortFirst)), &e.MetricsListener},
	}
	for _, part := range parts {
		l, err := daemon.Listen(part.use, part.address)
		if err != nil {
			return nil, fail(sched.ExitAddress, err)
		}
		*part.to = l
	}
	return e, nil
}

// millisPerProcessor converts processors to thousandths of a processor.
const millisPerProcessor = 1000

const (
	// logBufferBytes bounds the log lines that wait to be written; lines beyond
	// it are dropped and counted. logBatchDelay is how long a line waits for
	// others to be written in the same batch.
	logBufferBytes = 256 << 10
	logBatchDelay  = 200 * time.Millisecond
	// Sampling of log lines: within a second, the first logSampleFirst lines
	// with the same level and message are written, then every
	// logSampleEvery-th. At level debug all lines are written.
	logSampleFirst = 300
	logSampleEvery = 20
)

// logger returns a logger that writes JSON lines to w, sampled unless the level
// is debug.
func (x *entryCmd) logger(w zapcore.WriteSyncer) *zap.Logger {
	level, err := zapcore.ParseLevel(x.LogLevel)
	if err != nil {
		level = zap.InfoLevel
	}
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(c), w, level)
	if level > zap.DebugLevel {
		core = zapcore.NewSamplerWithOptions(core, time.Second, logSampleFirst, logSampleEvery)
	}
	return zap.New(core)
}
