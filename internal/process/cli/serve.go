package cli

import (
	"context"
	"errors"
	"net"
	"os"
	"runtime/debug"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/parsleybarrow/parsleybarrow/internal/process/daemon"
	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	users "github.com/parsleybarrow/parsleybarrow/platform"
)

// serveCmd runs one entry instance. Every field can be set by a flag and by an
// environment variable PARSLEY_<FLAG>.
type serveCmd struct {
	ID         name `required:"" help:"Id of the instance, the one on the platform's list."`
	Region     name `required:"" help:"Region of the instance."`
	DataCentre name `required:"" help:"Data centre of the instance."`
	// Incarnation also stands on the platform's list of instances, where it
	// distinguishes two processes that were started under the same id.
	Incarnation int `default:"0" min:"0" max:"9223372036854775807" help:"Rises with every start of the id; 0 takes the time of the start."`

	Callers   address `default:"127.0.0.1:7701" help:"Address to listen on for callers."`
	Peers     address `default:"127.0.0.1:7702" help:"Address to listen on for other instances."`
	Admin     address `default:"127.0.0.1:7703" help:"Address to listen on for operators."`
	Advertise address `optional:"" help:"Address that other instances use; that of --peers if not set."`

	LogURL  platformURL `name:"log-url" default:"http://127.0.0.1:7800" help:"Base URL of the platform's log."`
	ListURL platformURL `name:"list-url" default:"http://127.0.0.1:7800" help:"Base URL of the platform's list of instances."`

	Seed               int           `default:"0" min:"0" max:"9223372036854775807" help:"Seed of random choices; 0 takes the time of the start."`
	Shards             int           `default:"4" min:"1" max:"64" help:"Number of intent streams; the same at all instances."`
	DrainDelay         time.Duration `default:"2s" min:"0s" max:"5m" help:"Time from the announcement that the instance leaves to the end of taking requests."`
	LogRetention       time.Duration `default:"24h" min:"1h" max:"8760h" help:"Time for which the platform's log keeps a record."`
	Silence            time.Duration `default:"3s" min:"100ms" max:"1m" help:"Silence after which a peer counts as unreachable."`
	Hysteresis         time.Duration `default:"5s" min:"100ms" max:"5m" help:"Time for which a peer must be silent, or heard again, before responsibilities move."`
	EventsKept         int           `default:"10000" min:"100" max:"1000000" help:"Events kept for the time line."`
	MachineMemory      int           `default:"0" min:"0" max:"16777216" help:"Memory of the machine in MB, from which limits on requests follow; 0 if unknown."`
	MachineDescriptors int           `default:"0" min:"0" max:"16777216" help:"File descriptors that the process may have; 0 if unknown."`
	requestLimits
	MaxBody int `default:"8388608" min:"1024" max:"67108864" help:"Largest body of a request in bytes."`
}

// Run implements the command.
func (x *serveCmd) Run(c context.Context, p *Program) error {
	d, err := x.daemon(p)
	if err != nil {
		return err
	}
	if d.Budget.Runtime > 0 {
		debug.SetMemoryLimit(d.Budget.Runtime)
	}
	// There is no settings file that a hang-up could announce.
	err = p.runService(c, d.Logger, func() {}, d.Run)
	var drain *daemon.DrainError
	if errors.As(err, &drain) {
		return fail(sched.ExitDrain, err)
	}
	return err
}

// daemon returns the instance with its listeners open.
func (x *serveCmd) daemon(p *Program) (*daemon.Daemon, error) {
	start := time.Now()
	if x.Incarnation == 0 {
		x.Incarnation = int(start.UnixNano())
	}
	if x.Seed == 0 {
		x.Seed = int(start.UnixNano())
	}
	limits, err := x.of(users.MachineSettings{Memory: int64(x.MachineMemory) << 20, Descriptors: x.MachineDescriptors})
	if err != nil {
		return nil, err
	}
	services := newPlatform(x.LogURL, x.ListURL)
	d := &daemon.Daemon{
		ID: sched.InstanceID(x.ID), Incarnation: sched.Incarnation(x.Incarnation),
		Region: sched.Region(x.Region), DataCentre: sched.DataCentre(x.DataCentre),
		AdvertiseAddress: string(x.Advertise),
		Log:              services.log, List: services.list, Workers: services.workers, PeerClient: services.peers,
		Clock: clock.System{}, Logger: logger(p), Seed: uint64(x.Seed), Shards: x.Shards, DrainDelay: x.DrainDelay,
		Silence: x.Silence, Hysteresis: x.Hysteresis, LogRetention: x.LogRetention, EventBufferSize: x.EventsKept, MaxBodyBytes: int64(x.MaxBody),
		Budget: limits,
	}
	listeners := []struct {
		use     string
		address address
		to      *net.Listener
	}{
		{"callers", x.Callers, &d.CallerListener},
		{"peers", x.Peers, &d.PeerListener},
		{"admin", x.Admin, &d.AdminListener},
	}
	for _, part := range listeners {
		l, err := daemon.Listen(part.use, string(part.address))
		if err != nil {
			return nil, fail(sched.ExitAddress, err)
		}
		*part.to = l
	}
	return d, nil
}

// logger returns a logger that writes JSON lines to standard error. Instances log
// changes of state; everything more frequent is counted in metrics.
func logger(p *Program) *zap.Logger {
	e := zap.NewProductionEncoderConfig()
	e.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	w := zapcore.AddSync(p.Stderr)
	if p.Stderr == os.Stderr {
		w = zapcore.Lock(os.Stderr)
	}
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(e), w, zap.InfoLevel))
}
