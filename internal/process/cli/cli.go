package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kong"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Program is one invocation of the command line. Set the exported fields before
// Run.
type Program struct {
	Stdout io.Writer
	Stderr io.Writer
	// Stops passes on the SIGTERMs and SIGINTs of the process, Hangups each SIGHUP. They may
	// be nil.
	Stops, Hangups <-chan os.Signal
	// HangupIgnored is set if the process was started with SIGHUP ignored.
	HangupIgnored bool
}

// commands is the root of the command line.
type commands struct {
	Serve       serveCmd       `cmd:"" help:"Run one entry instance."`
	Entry       entryCmd       `cmd:"" help:"Run one entry instance on the users' platform."`
	Check       checkCmd       `cmd:"" help:"Check a configuration folder, and show the merged result and which file set each value."`
	Apply       applyCmd       `cmd:"" help:"Apply a configuration folder."`
	Status      statusCmd      `cmd:"" help:"Show the state of an instance, or the run counts of a partner."`
	Submit      submitCmd      `cmd:"" help:"Submit a batch task."`
	Cancel      cancelCmd      `cmd:"" help:"Cancel a batch task."`
	Timeline    timelineCmd    `cmd:"" help:"Show the merged events of all instances."`
	Explain     explainCmd     `cmd:"" help:"Explain where the tasks of a job run, would go now, or why they wait. Nothing is sent or changed."`
	DeclareDead declareDeadCmd `cmd:"" help:"Assert that nothing runs any more on an instance or in a data centre."`
	Demo        demoCmd        `cmd:"" help:"Run three entry instances against stand-ins in this process."`
	Soak        soakCmd        `cmd:"" help:"Drive load against running instances; scripts/soak starts them."`
	Standin     standinCmd     `cmd:"" help:"Run stand-ins of the platform and of backend servers."`
}

// helpPrinted is the panic value by which kong's exit function leaves the parser
// after it has printed help. Run recovers it.
type helpPrinted struct{ status int }

// Run parses the arguments, runs the command until it ends or the context
// ends, and returns the exit code. It writes an error to Stderr as one line.
func (p *Program) Run(c context.Context, args []string) sched.ExitCode {
	err := p.run(c, args)
	if err == nil {
		return sched.ExitOK
	}
	_, _ = fmt.Fprintf(p.Stderr, "parsleybarrow: %s\n", strings.ReplaceAll(err.Error(), "\n", "; "))
	return exitCode(err)
}

func (p *Program) run(c context.Context, args []string) (err error) {
	defer func() {
		if r := recover(); r != nil {
			if _, isHelp := r.(helpPrinted); !isHelp {
				panic(r)
			}
			err = nil
		}
	}()
	options := append(mappers(),
		kong.Name("parsleybarrow"),
		kong.Description("Scheduler for latency-critical services and batch tasks on shared workers."),
		kong.Writers(p.Stdout, p.Stderr),
		kong.Exit(func(status int) { panic(helpPrinted{status}) }),
		kong.DefaultEnvars("PARSLEY"),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Bind(p),
	)
	parser, err := kong.New(&commands{}, options...)
	if err != nil {
		return fmt.Errorf("build command line: %w", err)
	}
	k, err := parser.Parse(args)
	if err != nil {
		return usageError(err)
	}
	if _, ok := k.Selected().Target.Addr().Interface().(service); !ok {
		var stop context.CancelFunc
		c, stop = p.untilSignal(c)
		defer stop()
	}
	k.BindTo(c, (*context.Context)(nil))
	return k.Run()
}

// usageError returns a SettingError without kong's prefix, so that the message
// names the flag only once, and gives every other parse error the exit code
// ExitUsage.
func usageError(err error) error {
	var s *SettingError
	if errors.As(err, &s) {
		return s
	}
	return failf(sched.ExitUsage, "%w (see parsleybarrow --help)", err)
}

// printf writes to standard output. Write errors are ignored: they mean that the
// reader has closed the stream, which no command has to report.
func (p *Program) printf(format string, args ...any) { _, _ = fmt.Fprintf(p.Stdout, format, args...) }

// Parse parses the arguments without running the command.
func (p *Program) Parse(args []string) error {
	parser, err := kong.New(&commands{}, append(mappers(), kong.Name("parsleybarrow"), kong.DefaultEnvars("PARSLEY"))...)
	if err != nil {
		return fmt.Errorf("build command line: %w", err)
	}
	_, err = parser.Parse(args)
	return err
}
