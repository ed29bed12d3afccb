package cli

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/parsleybarrow/parsleybarrow/internal/process/admin"
	"github.com/parsleybarrow/parsleybarrow/internal/process/apply"
	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
	"github.com/parsleybarrow/parsleybarrow/pkg/config"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// checkCmd checks a folder.
type checkCmd struct {
	Dir string `arg:"" help:"Folder with the YAML files."`
}

// Run implements the command.
func (x *checkCmd) Run(p *Program) error {
	doc, err := loadFolder(x.Dir)
	if err != nil {
		return err
	}
	for _, o := range doc.Origins() {
		p.printf("%s = %s  # %s:%d\n", o.Field, o.Value, o.File, o.Line)
	}
	return nil
}

// loadFolder reads and checks a folder.
func loadFolder(dir string) (config.Document, error) {
	info, err := os.Stat(dir)
	if err != nil || !info.IsDir() {
		return config.Document{}, failf(sched.ExitNoSuchFile, "%s is no folder that can be read", dir)
	}
	files, err := config.ReadFolder(os.DirFS(dir))
	if err != nil {
		return config.Document{}, fail(sched.ExitNoSuchFile, err)
	}
	if len(files) == 0 {
		return config.Document{}, failf(sched.ExitConfig, "%s holds no file *.yaml or *.yml", dir)
	}
	doc, err := config.Load(files)
	if err != nil {
		return config.Document{}, fail(sched.ExitConfig, err)
	}
	return doc, nil
}

// applyCmd applies a folder.
type applyCmd struct {
	Dir    string      `arg:"" help:"Folder with the YAML files."`
	LogURL platformURL `name:"log-url" default:"http://127.0.0.1:7800" help:"Base URL of the platform's log."`
	Admin  address     `default:"127.0.0.1:7703" help:"Admin address of an instance, asked for --wait."`
	DryRun bool        `help:"Print the changes and apply nothing."`
	Wait   bool        `help:"Return when every live instance has reported the version."`
	Base   int         `default:"-1" min:"-1" max:"1000000000" help:"Version that the folder was made from; -1 is the one in force."`
	ID     string      `help:"Id of an apply whose outcome was unknown, to learn what became of it."`
	// Timeout bounds the whole command, the wait included.
	Timeout time.Duration `default:"30s" min:"1s" max:"10m" help:"Longest time of the command."`
}

// applyExits are the exit codes of the outcomes.
var applyExits = map[apply.Outcome]sched.ExitCode{
	apply.Conflict:   sched.ExitConflict,
	apply.NotApplied: sched.ExitUnreachable,
	apply.Unknown:    sched.ExitUncertain,
}

// Run implements the command.
func (x *applyCmd) Run(c context.Context, p *Program) error {
	doc, err := loadFolder(x.Dir)
	if err != nil {
		return err
	}
	c, cancel := context.WithTimeout(c, x.Timeout)
	defer cancel()
	id := x.ID
	if id == "" {
		id = uuid.NewString()
	}
	a := apply.Change{
		Log: platformLog(x.LogURL), Clock: clock.System{}, ID: id, Operator: operator(),
		Base: sched.Offset(x.Base), Target: doc, DryRun: x.DryRun, SearchWholeLog: x.ID != "",
	}
	r := a.Run(c)
	printChanges(p, "", r.PatchChanges)
	if code, failed := applyExits[r.Outcome]; failed {
		printChanges(p, "in force since the base: ", r.ConcurrentChanges)
		text := fmt.Sprintf("apply %s: %s, version %d is in force", id, r.Outcome, r.Version)
		if r.Reason != nil {
			return failf(code, "%s: %w", text, r.Reason)
		}
		return failf(code, "%s", text)
	}
	p.printf("%s: version %d\n", r.Outcome, r.Version)
	if !x.Wait || x.DryRun {
		return nil
	}
	return x.wait(c, p, r.Version)
}

func (x *applyCmd) wait(c context.Context, p *Program, v sched.Offset) error {
	late, err := apply.WaitForVersion(c, clock.System{}, v, func(c context.Context) ([]apply.InstanceVersion, error) {
		return reports(c, x.Admin)
	})
	for _, r := range late {
		p.printf("late: %s has version %d\n", r.Instance, r.Version)
	}
	if err != nil {
		return fail(sched.ExitIncomplete, err)
	}
	if len(late) > 0 {
		return failf(sched.ExitIncomplete, "%d instances have not reported version %d", len(late), v)
	}
	p.printf("in force at every live instance\n")
	return nil
}

// reports asks an instance for its own version and those of its peers.
func reports(c context.Context, at address) ([]apply.InstanceVersion, error) {
	var s admin.Status
	if err := client(at).Get(c, "/status", nil, &s); err != nil {
		return nil, err
	}
	if !s.Ready {
		// An instance that has just started may not know its peers.
		return nil, fmt.Errorf("instance %s is not ready: %s", s.Instance, s.Reason)
	}
	out := []apply.InstanceVersion{{Instance: sched.InstanceID(s.Instance), State: stateOf[s.State], Version: sched.Offset(s.Version)}}
	for _, q := range s.Peers {
		out = append(out, apply.InstanceVersion{
			Instance: sched.InstanceID(q.Instance), State: stateOf[q.State], Version: sched.Offset(q.Version),
		})
	}
	return out, nil
}

var stateOf = map[string]sched.State{
	"live":        sched.StateLive,
	"leaving":     sched.StateLeaving,
	"unreachable": sched.StateUnreachable,
	"gone":        sched.StateGone,
}

func printChanges(p *Program, prefix string, changes []config.Change) {
	for _, ch := range changes {
		p.printf("%s%s: %s -> %s\n", prefix, ch.Field, orNone(ch.Old), orNone(ch.New))
	}
}

func orNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}

// operator names who applies a change.
func operator() string {
	if u, err := user.Current(); err == nil {
		return strings.TrimSpace(u.Username)
	}
	return "unknown"
}

// callTime bounds one call of an instance.
const callTime = 10 * time.Second

func client(at address) *admin.Client {
	return &admin.Client{HTTP: &http.Client{Timeout: callTime}, Address: string(at)}
}
