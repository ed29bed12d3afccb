package cli

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/parsleybarrow/parsleybarrow/internal/process/daemon"
	"github.com/parsleybarrow/parsleybarrow/internal/process/entry"
	"github.com/parsleybarrow/parsleybarrow/internal/process/peers"
	"github.com/parsleybarrow/parsleybarrow/internal/process/sink"
	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	users "github.com/parsleybarrow/parsleybarrow/platform"
)

// entryCmd runs one entry instance on the users' platform, which tells it
// addresses and limits in a settings file.
type entryCmd struct {
	WorkersPerCell int    `default:"512" min:"1" max:"10000" help:"Workers for which one cell is laid out, at the first start of the system."`
	LogLevel       string `default:"info" enum:"debug,info,warn,error" help:"Least severe lines to log: debug, info, warn or error."`
}

// Run implements the command.
func (x *entryCmd) Run(c context.Context, p *Program) error {
	s, err := users.ReadSettings()
	if err != nil {
		return fail(sched.ExitSetting, err)
	}
	lines := &sink.Sink{Out: p.Stdout, Limit: logBuffer, FlushDelay: logPause}
	defer func() { _ = lines.Close() }()
	e, err := x.entry(x.logger(lines), s)
	if err != nil {
		return err
	}
	e.LinesDropped = lines.Dropped
	go x.reload(c, e, s)
	return e.Run(c)
}

// reloadPause is the interval in which the settings file is read again. It may
// change without a signal.
const reloadPause = 2 * time.Second

// reload takes changes of the settings file over, on SIGHUP and by itself.
// Addresses and the identity stay until the process starts again.
func (x *entryCmd) reload(c context.Context, e *entry.Entry, s users.Settings) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	t := time.NewTicker(reloadPause)
	defer t.Stop()
	for {
		asked := false
		select {
		case <-hup:
			asked = true
		case <-t.C:
		case <-c.Done():
			return
		}
		n, err := users.ReadSettings()
		switch {
		case err != nil:
			e.Log.Error("reloadFailed", zap.Error(err))
		case asked || n.Bounds != s.Bounds:
			e.Reload(options(n), n.Bounds.Grace)
			e.Log.Info("reloaded", zap.Bool("asked", asked))
			s = n
		}
	}
}

// options returns what planners take from the settings.
func options(s users.Settings) cell.Options {
	return cell.Options{
		LeaseLimit: s.Bounds.LeaseLimit, StopLimit: s.Bounds.StopLimit, StatusKept: s.Bounds.StatusKept,
		Early: s.Bounds.Early, GangLimit: s.Bounds.GangLimit, Restore: s.Bounds.Restore, FarFactor: s.Bounds.FarFactor,
		AwayNotice: s.Bounds.AwayNotice,
	}
}

func (x *entryCmd) entry(l *zap.Logger, s users.Settings) (*entry.Entry, error) {
	k := clock.NewSteady()
	client := users.NewClient(users.WorkerConnections)
	e := &entry.Entry{
		Self: peers.Instance{
			ID: s.ID, Incarnation: sched.Incarnation(k.Now().UnixNano()), Address: s.Control, DataCentre: s.DataCentre,
			Region: s.Region, Processors: int(s.Machine.Cores * thousandths),
		},
		CallerHandler:  func(d sched.JobService) http.Handler { return &users.Front{Desk: d} },
		ReadyHandler:   users.ReadyHandler,
		Store:          &users.Store{Client: users.NewClient(users.StoreConnections), Address: s.Store},
		Registry:       users.Registry{},
		Runner:         &users.Runner{Client: client},
		Advisor:        &users.Advisor{Client: client, Address: s.Advice},
		Clock:          k,
		Log:            l.With(zap.String("instance", string(s.ID))),
		WorkersPerCell: x.WorkersPerCell,
	}
	e.Reload(options(s), s.Bounds.Grace)
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

// thousandths of a processor.
const thousandths = 1000

const (
	// logBuffer is the size in bytes of the lines that may wait to be written,
	// and logPause how long they wait for others.
	logBuffer = 256 << 10
	logPause  = 200 * time.Millisecond
	// logFirst is the number of lines of one kind in a second from which on only
	// every logEvery-th is written. Debug lines are all written.
	logFirst = 300
	logEvery = 20
)

// logger writes JSON lines to standard output.
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
		core = zapcore.NewSamplerWithOptions(core, time.Second, logFirst, logEvery)
	}
	return zap.New(core)
}
