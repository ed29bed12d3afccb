package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
)

// service is implemented by commands that run an instance, on which callers depend.
// They use runService instead of a context that ends at a signal.
type service interface{ isService() }

func (*serveCmd) isService() {}
func (*entryCmd) isService() {}

// handleSignals calls f with each signal until the context ends, with stopping set if a
// SIGTERM or SIGINT came before. After the first SIGINT its default action applies
// again, so that an operator can end a process at once with a second Ctrl-C. SIGTERM
// has no such meaning, since a platform may repeat it.
func (p *Program) handleSignals(c context.Context, f func(s os.Signal, stopping bool)) {
	stopping, interrupted := false, false
	for {
		select {
		case s := <-p.Stops:
			if s == os.Interrupt {
				signal.Reset(os.Interrupt)
				if interrupted { // it was queued before the reset
					_ = syscall.Kill(os.Getpid(), syscall.SIGINT)
				}
				interrupted = true
			}
			f(s, stopping)
			stopping = true
		case s := <-p.Hangups:
			f(s, stopping)
		case <-c.Done():
			return
		}
	}
}

// untilSignal returns a context for a command that isn't a service. It ends at a signal,
// at SIGHUP only if the process wasn't started with it ignored.
func (p *Program) untilSignal(c context.Context) (context.Context, context.CancelFunc) {
	handling, end := context.WithCancel(context.WithoutCancel(c))
	c, stop := context.WithCancel(c)
	go p.handleSignals(handling, func(s os.Signal, _ bool) {
		if s != syscall.SIGHUP || !p.HangupIgnored {
			stop()
		}
	})
	return c, func() { stop(); end() }
}

// runService calls run with a context that ends at the first SIGTERM or SIGINT. Signals
// are handled, and logged, until run returns: those that come while it drains must not
// end the process. The function hangup is called at each SIGHUP. SIGPIPE is ignored for
// good: a log whose reader has gone must not end an instance.
func (p *Program) runService(c context.Context, l *zap.Logger, hangup func(), run func(context.Context) error) error {
	signal.Ignore(syscall.SIGPIPE)
	handling, end := context.WithCancel(context.WithoutCancel(c))
	defer end()
	c, stop := context.WithCancel(c)
	defer stop()
	go p.handleSignals(handling, func(s os.Signal, stopping bool) {
		l.Info("signal", zap.Stringer("signal", s), zap.Bool("stopping", stopping))
		if s == syscall.SIGHUP {
			hangup()
			return
		}
		stop()
	})
	return run(c)
}
