package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/parsleybarrow/parsleybarrow/internal/process/apply"
	"github.com/parsleybarrow/parsleybarrow/internal/process/daemon"
	"github.com/parsleybarrow/parsleybarrow/internal/process/peer"
	"github.com/parsleybarrow/parsleybarrow/internal/standin/logsvc"
	"github.com/parsleybarrow/parsleybarrow/internal/standin/roster"
	"github.com/parsleybarrow/parsleybarrow/internal/standin/worker"
	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
	"github.com/parsleybarrow/parsleybarrow/pkg/config"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const rigConfig = `
regions: {luzon: {dataCentres: [dc1]}}
services: {echo: {urgency: urgent, timeout: 5s}}
taskKinds: {sweep: {needs: {processors: 1, memory: 1GiB}, runTime: 1s}}
partners: {tunog: {share: 1}}
limits: {leaseDuration: 2s, drainTimeout: 10s, listLag: 0s, isolationLimit: 1s}
`

// rig holds in-memory stand-ins of the platform and starts the instances under
// test, which serve on loopback.
type rig struct {
	t       *testing.T
	log     *logsvc.Service
	list    *roster.Service
	workers *worker.Pool
	backend *backend
	server  *httptest.Server
	wait    sync.WaitGroup
}

// backend is a backend server that counts the runs per request id.
type backend struct {
	mu   sync.Mutex
	runs map[string]int
	// release, if set, delays every answer until it is closed.
	release chan struct{}
	// arrivals receives a value for each request that waits for release.
	arrivals chan struct{}
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(sched.HeaderRequestID)
	b.mu.Lock()
	b.runs[id]++
	release := b.release
	b.mu.Unlock()
	if release != nil {
		b.arrivals <- struct{}{}
		<-release
	}
	body, _ := io.ReadAll(r.Body)
	w.Header().Set(sched.HeaderRequestID, id)
	_, _ = w.Write(append([]byte("run "), body...))
}

func newRig(t *testing.T) *rig {
	r := &rig{
		t: t, log: logsvc.New(clock.System{}, 1, logsvc.Retention{}), list: roster.New(clock.System{}, 0),
		workers: worker.NewPool(worker.Config{
			Clock: clock.System{}, CheckTokens: true,
			Truth: func(sched.TaskID, string) worker.Work { return worker.Work{RunTime: 50 * time.Millisecond} },
		}),
		backend: &backend{runs: map[string]int{}, arrivals: make(chan struct{}, 100)},
	}
	s := httptest.NewServer(r.backend)
	r.server = s
	r.list.PutNow(sched.Member{
		ID: "backend", Role: sched.RoleBackend, State: sched.StateLive, Service: "echo", Region: "luzon",
		DataCentre: "dc1", Address: s.Listener.Addr().String(), Slots: 8, Connections: 64,
	})
	r.addWorker("worker", "dc1")
	t.Cleanup(func() { r.wait.Wait(); s.Close() })
	return r
}

func (r *rig) addWorker(id sched.InstanceID, centre sched.DataCentre) {
	w := sched.Member{
		ID: id, Role: sched.RoleWorker, State: sched.StateLive, Region: "luzon", DataCentre: centre, Rack: "a",
		Address: "127.0.0.1:1", Capacity: sched.Resources{Processors: 4000, Memory: 8 << 30},
	}
	r.workers.Add(w)
	r.list.PutNow(w)
}

// apply appends a configuration change and returns its version.
func (r *rig) apply(text string) sched.Offset {
	r.t.Helper()
	doc, err := config.Load([]config.File{{Name: "a.yaml", Data: []byte(text)}})
	if err != nil {
		r.t.Fatal(err)
	}
	c, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	a := apply.Change{Log: r.log, Clock: clock.System{}, ID: uuid.NewString(), Operator: "test", Base: -1, Target: doc}
	got := a.Run(c)
	if got.Outcome != apply.Accepted {
		r.t.Fatalf("apply: %v, %v", got.Outcome, got.Reason)
	}
	return got.Version
}

// instance is a running instance under test.
type instance struct {
	*daemon.Daemon
	r    *rig
	stop context.CancelFunc
	done chan error
}

// start runs an instance until the test ends. The functions in change adjust it
// before it starts.
func (r *rig) start(id sched.InstanceID, n sched.Incarnation, change ...func(*daemon.Daemon)) *instance {
	r.t.Helper()
	d := &daemon.Daemon{
		ID: id, Incarnation: n, Region: "luzon", DataCentre: "dc1",
		CallerListener: listen(r.t), PeerListener: listen(r.t), AdminListener: listen(r.t),
		Log: r.log, List: r.list, Workers: r.workers, PeerClient: &peer.Client{HTTP: http.DefaultClient},
		Clock: clock.System{}, Seed: uint64(n), Shards: 1, DrainDelay: 50 * time.Millisecond,
		LogRetention: time.Hour, EventBufferSize: 1000,
	}
	for _, f := range change {
		f(d)
	}
	r.list.PutNow(sched.Member{
		ID: id, Incarnation: n, Role: sched.RoleEntry, State: sched.StateLive, Region: "luzon", DataCentre: d.DataCentre,
		Address: d.PeerListener.Addr().String(),
	})
	c, stop := context.WithCancel(context.Background())
	i := &instance{d, r, stop, make(chan error, 1)}
	r.wait.Go(func() { i.done <- d.Run(c) })
	r.t.Cleanup(i.Kill)
	r.t.Cleanup(stop)
	return i
}

func listen(t *testing.T) net.Listener {
	l, err := daemon.Listen("test", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// until polls until the condition holds, and fails the test after 60 s so that a
// broken test does not hang.
func (r *rig) until(what string, f func() bool) {
	r.t.Helper()
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if f() {
			return
		}
	}
	r.t.Fatalf("timed out: %s", what)
}

func (r *rig) ready(i *instance) {
	r.t.Helper()
	r.until("ready", func() bool { s, _ := i.admin("/readyz"); return s == 200 })
}

func (i *instance) admin(path string) (int, string) {
	return get("http://" + i.AdminListener.Addr().String() + path)
}

func get(url string) (int, string) {
	a, err := http.Get(url)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = a.Body.Close() }()
	b, _ := io.ReadAll(a.Body)
	return a.StatusCode, string(b)
}

// call sends a request to the service echo, an unrepeatable one if once is set,
// and returns the status, the header and the body of the answer.
func (i *instance) call(id string, once bool) (int, http.Header, string) {
	q, _ := http.NewRequest(http.MethodPost, "http://"+i.CallerListener.Addr().String()+"/services/echo/x", strings.NewReader(id))
	q.Header.Set(sched.HeaderPartner, "tunog")
	q.Header.Set(sched.HeaderRequestID, id)
	if once {
		q.Header.Set(sched.HeaderUnrepeatable, "true")
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer func() { _ = a.Body.Close() }()
	b, _ := io.ReadAll(a.Body)
	return a.StatusCode, a.Header, string(b)
}

// submit submits a task and returns the HTTP status, or 0 if the call failed.
func (i *instance) submit(id string) int {
	body := fmt.Sprintf(`{"id":%q,"kind":"sweep","partner":"tunog"}`, id)
	a, err := http.Post("http://"+i.CallerListener.Addr().String()+"/tasks", "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	_ = a.Body.Close()
	return a.StatusCode
}

func newID() string { return uuid.Must(uuid.NewV7()).String() }

// arrived waits until a request waits at the backend server for its release.
func (r *rig) arrived() {
	r.t.Helper()
	select {
	case <-r.backend.arrivals:
	case <-time.After(30 * time.Second):
		r.t.Fatal("timed out: no request arrived at the backend server")
	}
}

// probe sends a request with a deadline of 100 ms and returns the answer's
// header. The deadline ends an accepted request soon while the backend server
// delays every answer.
func (i *instance) probe() http.Header {
	q, _ := http.NewRequest(http.MethodGet, "http://"+i.CallerListener.Addr().String()+"/services/echo/x", nil)
	q.Header.Set(sched.HeaderPartner, "tunog")
	q.Header.Set(sched.HeaderDeadline, "100")
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return nil
	}
	_ = a.Body.Close()
	return a.Header
}

// claims waits until the instance serves unrepeatable requests, whose claims it
// appends to the log.
func (r *rig) claims(i *instance) {
	r.t.Helper()
	r.ready(i)
	r.until("takes unrepeatable requests", func() bool { s, _, _ := i.call(newID(), true); return s == 200 })
}
