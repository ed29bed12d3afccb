package cli

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/url"
	"slices"

	"github.com/google/uuid"

	"github.com/parsleybarrow/parsleybarrow/internal/process/admin"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// withRefusedCode gives an instance's refusal the exit code ExitRefused. Other
// errors pass unchanged.
func withRefusedCode(err error) error {
	var r *admin.RefusedError
	if errors.As(err, &r) {
		return fail(sched.ExitRefused, err)
	}
	return err
}

// statusCmd shows the state of an instance.
type statusCmd struct {
	Admin   address `default:"127.0.0.1:7703" help:"Admin address of an instance."`
	Partner string  `help:"Print the requests and runs of this partner."`
}

// Run implements the command.
func (x *statusCmd) Run(c context.Context, p *Program) error {
	if x.Partner != "" {
		return x.usage(c, p)
	}
	var s admin.Status
	if err := client(x.Admin).Get(c, "/status", nil, &s); err != nil {
		return withRefusedCode(err)
	}
	ready := "ready"
	if !s.Ready {
		ready = "not ready: " + s.Reason
	}
	p.printf("instance %s, %s, data centre %s, region %s: %s\n", s.Instance, s.State, s.DataCentre, s.Region, ready)
	p.printf("version %d, planner %s, term %d, tasks %d queued and %d placed\n",
		s.Version, s.Planner, s.Term, s.Tasks["queued"], s.Tasks["placed"])
	p.printf("log reached: %t, list reached: %t\n", s.LogReached, s.ListReached)
	for _, q := range s.Peers {
		p.printf("peer %s, %s, data centre %s, version %d\n", q.Instance, q.State, q.DataCentre, q.Version)
	}
	return nil
}

// usage prints the requests and runs of the partner.
func (x *statusCmd) usage(c context.Context, p *Program) error {
	var u admin.Usage
	if err := client(x.Admin).Get(c, "/usage", url.Values{"partner": {x.Partner}}, &u); err != nil {
		return withRefusedCode(err)
	}
	p.printf("partner %s\nrequests %d\n", u.Partner, u.Requests)
	for _, k := range slices.Sorted(maps.Keys(u.RequestsAtInstance)) {
		p.printf("requests at %s: %d\n", k, u.RequestsAtInstance[k])
	}
	for _, k := range slices.Sorted(maps.Keys(u.Runs)) {
		p.printf("runs in %s: %d\n", k, u.Runs[k])
	}
	for _, k := range slices.Sorted(maps.Keys(u.AsOf)) {
		p.printf("stream %s read up to %d\n", k, u.AsOf[k])
	}
	return nil
}

// submitCmd submits a task.
type submitCmd struct {
	Kind       string  `arg:"" help:"Kind of the task."`
	Callers    address `default:"127.0.0.1:7701" help:"Address for callers of an instance."`
	Partner    string  `required:"" help:"Partner that the task runs for."`
	Team       string  `help:"Team of the partner."`
	ID         string  `help:"Id of the task; a new one if not set. Submitting an id again is safe."`
	DataCentre string  `help:"Data centre to run in; if not set it follows from the id. A repeat must name the same one."`
	RunTime    string  `help:"Expected run time such as 90s; that of the kind if not set."`
}

// Run implements the command.
func (x *submitCmd) Run(c context.Context, p *Program) error {
	if x.ID == "" {
		x.ID = uuid.Must(uuid.NewV7()).String()
	}
	s := admin.Submission{
		ID: x.ID, Kind: x.Kind, Partner: x.Partner, Team: x.Team, DataCentre: x.DataCentre, RunTime: x.RunTime,
	}
	var a admin.TaskAnswer
	if err := client(x.Callers).Post(c, "/tasks", s, &a); err != nil {
		return withRefusedCode(fmt.Errorf("task %s: %w", x.ID, err))
	}
	p.printf("%s %s\n", a.Name, x.ID)
	return nil
}

// cancelCmd cancels a task.
type cancelCmd struct {
	ID         string  `arg:"" help:"Id of the task."`
	Callers    address `default:"127.0.0.1:7701" help:"Address for callers of an instance."`
	DataCentre string  `help:"Data centre that the submission named, if it named one."`
}

// Run implements the command.
func (x *cancelCmd) Run(c context.Context, p *Program) error {
	var a admin.TaskAnswer
	if err := client(x.Callers).Delete(c, "/tasks/"+url.PathEscape(x.ID)+"?dataCentre="+url.QueryEscape(x.DataCentre), &a); err != nil {
		return withRefusedCode(err)
	}
	p.printf("%s %s\n", a.Name, x.ID)
	return nil
}

// declareDeadCmd asserts that nothing runs any more on an instance or in a data
// centre.
type declareDeadCmd struct {
	Admin      address `default:"127.0.0.1:7703" help:"Admin address of an instance."`
	DataCentre string  `required:"" help:"Data centre of the instance."`
	Instance   string  `help:"Instance that is dead; the whole data centre if not set."`
	Sure       bool    `required:"" help:"Confirms that nothing runs there any more; if something does, tasks may run twice."`
}

// Run implements the command.
func (x *declareDeadCmd) Run(c context.Context, p *Program) error {
	q := url.Values{"dataCentre": {x.DataCentre}, "instance": {x.Instance}}
	var a admin.TaskAnswer
	if err := client(x.Admin).Post(c, "/declare-dead?"+q.Encode(), nil, &a); err != nil {
		return withRefusedCode(err)
	}
	p.printf("declared dead: %s %s\n", x.DataCentre, x.Instance)
	return nil
}
