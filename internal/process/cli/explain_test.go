package cli_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/process/cli"
	"github.com/parsleybarrow/parsleybarrow/internal/process/lead"
	"github.com/parsleybarrow/parsleybarrow/internal/process/peer"
	"github.com/parsleybarrow/parsleybarrow/internal/process/peers"
	"github.com/parsleybarrow/parsleybarrow/internal/process/relay"
	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/order"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// explainer answers only questions. It names another planner if that is set.
type explainer struct {
	relay.Local
	planner string
	asked   []relay.Question
}

func (x *explainer) Hint(int) (peers.Planner, bool) {
	return peers.Planner{Cell: 2, Address: x.planner}, x.planner != ""
}

func (x *explainer) Explain(_ context.Context, q relay.Question) (relay.Answer, error) {
	x.asked = append(x.asked, q)
	if x.planner != "" {
		return relay.Answer{Cell: 2}, lead.ErrNotPlanner
	}
	return relay.Answer{Cell: 2, Instance: "e2", Known: q.ID != "none", Explanation: cell.Explanation{
		State: sched.JobActive, Omitted: 1, Steps: []cell.ExplainedStep{{
			Step: 1, Waiting: 2, Running: 1, Class: order.Late, Before: 3, Obstacles: map[string]int{"full": 7, "unusable": 1},
			Workers: []cell.ExplainedWorker{
				{ID: "w1", Role: "runs", Free: sched.Resources{Processors: 500, Memory: 1 << 30}},
				{ID: "w2", Role: "held", Wait: 1500 * time.Millisecond},
			},
		}},
	}}, nil
}

func (x *explainer) serve(t *testing.T) string {
	m := http.NewServeMux()
	m.Handle(relay.Handler(x))
	s := httptest.NewUnstartedServer(m)
	s.Config.Protocols = peer.Protocols()
	s.Start()
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// Guards against a command that asks only the instance at hand, which may not be the
// planner, and against parts of the answer that are lost on the way.
func TestExplainAsksThePlannerAndPrintsItsAnswer(t *testing.T) {
	i := is.New(t)
	planner := &explainer{}
	front := &explainer{planner: planner.serve(t)}
	run := func(args ...string) (sched.ExitCode, string) {
		var out, errors strings.Builder
		p := &cli.Program{Stdout: &out, Stderr: &errors}
		return p.Run(context.Background(), append([]string{"explain", "--peers", front.serve(t)}, args...)), out.String()
	}
	code, text := run("a")
	i.Equal(code, sched.ExitOK)
	i.Equal(text, `job a, active, cell 2, planner e2
step 1 of occurrence 0: held, 2 waiting, 1 running, class late, 3 steps before it
  runs  w1, free 500 thousandths of a processor and 1024 MiB
  held  w2, free 0 thousandths of a processor and 0 MiB, expected in 1.5s
  workers that take none: full 7, unusable 1
1 further steps
`)
	code, text = run("a", "--json", "--host", "h", "--path", "/q/x", "--tasks", "3", "--processors", "250", "--gang")
	i.Equal(code, sched.ExitOK)
	var got struct {
		Planner string
		Steps   []struct {
			Outcome   string
			Obstacles map[string]int
			Workers   []struct{ WaitMillis int64 }
		}
	}
	i.NoErr(json.Unmarshal([]byte(text), &got))
	i.Equal(got.Planner, "e2")
	i.Equal(got.Steps[0].Outcome, "held")
	i.Equal(got.Steps[0].Obstacles["full"], 7)
	i.Equal(got.Steps[0].Workers[1].WaitMillis, int64(1500))
	q := planner.asked[1]
	i.Equal(q.Host, "h")
	i.Equal(q.Path, "/q/x")
	i.Equal(q.Job.Steps[0].Tasks, 3)
	i.Equal(q.Job.Steps[0].Needs.Processors, int64(250))
	i.True(q.Job.Steps[0].Gang)
	code, _ = run("none")
	i.Equal(code, sched.ExitRefused)
}
