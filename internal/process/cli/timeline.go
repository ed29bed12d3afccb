package cli

import (
	"context"
	"fmt"
	"net/url"
	"os"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/process/admin"
	"github.com/parsleybarrow/parsleybarrow/internal/process/trail"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// timelineCmd shows the merged events.
type timelineCmd struct {
	Logs     []string      `arg:"" optional:"" help:"Log files of entry instances, - for standard input, to merge instead of asking an instance."`
	Admin    address       `default:"127.0.0.1:7703" help:"Admin address of an instance; it asks its peers."`
	Instance string        `help:"Only events of this instance."`
	Request  string        `help:"Only events of this request id."`
	Task     string        `help:"Only events of this task id; with logs, of this job and its tasks."`
	Worker   string        `help:"With logs: only lines about this worker."`
	Message  string        `help:"With logs: only lines with this message."`
	Last     time.Duration `default:"1h" min:"1s" max:"720h" help:"Only events of this last time."`
	Limit    int           `default:"1000" min:"1" max:"10000" help:"Most events to show; the newest are kept."`
}

// Run implements the command.
func (x *timelineCmd) Run(c context.Context, p *Program) error {
	if len(x.Logs) > 0 {
		return x.merge(p)
	}
	q := url.Values{
		"instance": {x.Instance}, "request": {x.Request}, "task": {x.Task}, "limit": {fmt.Sprint(x.Limit)},
		"since": {fmt.Sprint(time.Now().Add(-x.Last).UnixNano())},
	}
	var t admin.Timeline
	if err := client(x.Admin).Get(c, "/timeline", q, &t); err != nil {
		return refused(err)
	}
	for _, e := range t.Events {
		p.printf("%s %-12s %-16s", e.Time().UTC().Format("2006-01-02T15:04:05.000000Z"), e.Instance, e.Kind)
		for _, part := range []struct{ name, value string }{{"request", e.Request}, {"task", e.Task}, {"detail", e.Detail}} {
			if part.value != "" {
				p.printf(" %s=%q", part.name, part.value)
			}
		}
		if e.Version != 0 {
			p.printf(" version=%d", e.Version)
		}
		p.printf("\n")
	}
	if len(t.Missing) > 0 {
		return failf(sched.ExitIncomplete, "no answer from %v", t.Missing)
	}
	return nil
}

// merge shows the lines of log files.
func (x *timelineCmd) merge(p *Program) error {
	t := trail.Timeline{Filter: trail.Filter{Job: x.Task, Worker: x.Worker, Instance: x.Instance, Message: x.Message}}
	for _, name := range x.Logs {
		if err := readLog(&t, name); err != nil {
			return fail(sched.ExitUsage, err)
		}
	}
	lines := t.Lines()
	for _, l := range lines[max(0, len(lines)-x.Limit):] {
		p.printf("%s\n", l)
	}
	if len(lines) > x.Limit {
		return failf(sched.ExitIncomplete, "%d of %d lines are shown; --limit is %d", x.Limit, len(lines), x.Limit)
	}
	return nil
}

func readLog(t *trail.Timeline, name string) error {
	if name == "-" {
		return t.Read(os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return t.Read(f)
}
