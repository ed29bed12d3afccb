package proxy_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/conn/pool"
	"github.com/parsleybarrow/parsleybarrow/internal/process/claims"
	"github.com/parsleybarrow/parsleybarrow/internal/process/gate"
	"github.com/parsleybarrow/parsleybarrow/internal/request/proxy"
	"github.com/parsleybarrow/parsleybarrow/internal/standin/logsvc"
	"github.com/parsleybarrow/parsleybarrow/pkg/admit"
	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
	"github.com/parsleybarrow/parsleybarrow/pkg/route"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// backend is a backend server that counts runs per id. handle replaces its
// answer.
type backend struct {
	mu     sync.Mutex
	runs   map[string]int
	handle http.HandlerFunc
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	h := b.handle
	b.mu.Unlock()
	w.Header().Set(sched.HeaderRequestID, r.Header.Get(sched.HeaderRequestID))
	w.Header().Set(sched.HeaderFreeSlots, "7")
	if h != nil {
		h(w, r)
		return
	}
	b.run(r)
	body, _ := io.ReadAll(r.Body)
	_, _ = w.Write(append([]byte("run "), body...))
}

func (b *backend) run(r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[r.Header.Get(sched.HeaderRequestID)]++
}

// rig is an entry instance with its backend servers and its log on loopback.
type rig struct {
	*proxy.Proxy
	entry    *httptest.Server
	backends []*backend
	members  []sched.Member
	router   *route.Router
	log      *logsvc.Service
	keeper   *claims.Claimer
}

// newRig starts the given number of backend servers and one entry instance.
func newRig(t testing.TB, backends int) *rig {
	t.Helper()
	r := &rig{log: logsvc.New(clock.System{}, 1, logsvc.Retention{})}
	for n := range backends {
		b := &backend{runs: map[string]int{}}
		s := httptest.NewServer(b)
		t.Cleanup(s.Close)
		r.backends = append(r.backends, b)
		r.members = append(r.members, sched.Member{
			ID: sched.InstanceID(rune('a' + n)), Role: sched.RoleBackend, State: sched.StateLive, Service: "echo",
			Region: "r", DataCentre: "d", Address: strings.TrimPrefix(s.URL, "http://"), Slots: 8, Connections: 64,
		})
	}
	return r.another(t)
}

// another starts an entry instance with the same log and backend servers.
func (r rig) another(t testing.TB) *rig {
	t.Helper()
	settings := &sched.Settings{
		Services: []sched.ServiceSettings{
			{Name: "echo", Urgency: sched.UrgencyUrgent, Timeout: 5 * time.Second, RetryBudget: 0.2},
		},
		Partners: []sched.PartnerSettings{{Name: "tunog", Share: 1}},
		Limits: sched.LimitSettings{
			QueueRequests: 100, QueueBytes: 1 << 20, DedupWindow: time.Hour, ClockBound: time.Second,
			UrgencyShares: [4]float64{0, 0.1, 0.3, 0.6},
		},
	}
	r.router = &route.Router{Region: "r", DataCentre: "d", Seed: 1}
	r.router.Update(r.members, 1, 1<<20)
	g := gate.New(clock.System{}, admit.SharesFromSettings(settings), 1)
	slots := float64(8 * len(r.members))
	g.SetCapacity("echo", slots, slots)
	k := &claims.Claimer{
		Log: r.log, Clock: clock.System{}, Incarnation: 1,
		Limits: func() claims.Limits {
			return claims.Limits{DedupWindow: time.Hour, ClockBound: time.Second, Instances: 1}
		},
		NewNonce: rand.Uint64,
	}
	c, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = k.Run(c) }()
	p := &pool.Pool{Clock: clock.System{}, AnswerBuffer: func() int64 { return 64 << 10 }}
	r.keeper = k
	r.Proxy = &proxy.Proxy{
		Clock: clock.System{}, Settings: func() *sched.Settings { return settings }, Admitter: g, Router: r.router,
		Sender: p, Claimer: k, Seed: 1,
	}
	r.entry = httptest.NewServer(r.Proxy)
	t.Cleanup(func() { r.entry.Close(); p.Close(); cancel(); <-ended })
	return &r
}

// set changes how the backend servers answer.
func (r *rig) set(handlers ...http.HandlerFunc) {
	for n, h := range handlers {
		r.backends[n].mu.Lock()
		r.backends[n].handle = h
		r.backends[n].mu.Unlock()
	}
}

// ran returns the number of runs of an id, or of all ids if it is empty.
func (r *rig) ran(id string) int {
	sum := 0
	for _, b := range r.backends {
		b.mu.Lock()
		for i, n := range b.runs {
			if id == "" || i == id {
				sum += n
			}
		}
		b.mu.Unlock()
	}
	return sum
}

// call sends a request to the entry instance. headers alternates names and
// values.
func (r *rig) call(t testing.TB, body string, headers ...string) (*http.Response, string, error) {
	t.Helper()
	q, err := http.NewRequest(http.MethodPost, r.entry.URL+"/services/echo/do?x=1", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	q.Header.Set(sched.HeaderPartner, "tunog")
	for n := 0; n < len(headers); n += 2 {
		q.Header.Set(headers[n], headers[n+1])
	}
	a, err := r.entry.Client().Do(q)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	return a, string(b), err
}
