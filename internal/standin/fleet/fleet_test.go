package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/parsleybarrow/parsleybarrow/internal/process/plat"
	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against setups whose numbers of workers and racks differ from those of
// the customers.
func TestSetupsHaveTheUsersSizes(t *testing.T) {
	tests := []struct {
		setup   Setup
		workers int
		racks   int
	}{
		{Tunog(), 66, 6},
		{Tiefenquell(), 48, 6},
	}
	for _, tt := range tests {
		i := is.New(t)
		f := New(tt.setup, clock.NewManual(time.Unix(1000, 0)))
		racks := map[string]int{}
		for _, w := range f.Pool.Workers() {
			racks[w.Member().Rack]++
		}
		i.Equal(len(f.Servers), tt.workers)
		i.Equal(len(racks), tt.racks)
		for _, n := range racks {
			i.Equal(n, tt.setup.RackSize)
		}
	}
}

// Guards against a platform without the latency between regions, on which
// tests would not show a reader that polls too often for a remote store.
func TestStoreIsFurtherFromTheOtherRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		f := New(Tiefenquell(), clock.System{})
		for _, tt := range []struct {
			centre sched.DataCentre
			want   time.Duration
		}{{"obb-b", 2 * time.Millisecond}, {"nby-a", 40 * time.Millisecond}} {
			began := time.Now()
			_, err := f.Area(tt.centre).Append(t.Context(), "x", nil)
			i.NoErr(err)
			i.Equal(time.Since(began), tt.want)
		}
	})
}

func post(t *testing.T, url, body string) int {
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// Guards against switches of the admin endpoint without the stated effect,
// counts that miss what ran, and goroutines that outlive Close.
func TestServedFleetObeysTheAdminEndpoint(t *testing.T) {
	defer goleak.VerifyNone(t)
	defer http.DefaultClient.CloseIdleConnections()
	i := is.New(t)
	f := New(Tiefenquell().WithWorkers(2), clock.System{})
	i.NoErr(f.Serve("127.0.0.1:0"))
	defer func() { i.NoErr(f.Close()) }()
	admin := "http://" + f.AdminAddress() + "/admin/"
	near, far := plat.New(f.BaseURL("obb-a")), plat.New(f.BaseURL("nby-a"))
	defer near.Close()
	defer far.Close()
	c := t.Context()

	_, err := near.Append(c, "x", []byte("a"))
	i.NoErr(err)
	i.Equal(post(t, admin+"cut", `{"dataCentre":"nby-a","cut":true}`), http.StatusNoContent)
	_, err = far.Append(c, "x", []byte("b"))
	i.True(errors.Is(err, sched.ErrUncertain))
	_, err = near.Append(c, "x", []byte("c"))
	i.NoErr(err)
	i.Equal(post(t, admin+"log", `{"outage":true}`), http.StatusNoContent)
	_, err = near.Append(c, "x", []byte("d"))
	i.True(errors.Is(err, sched.ErrUnavailable))

	members, err := near.Members(c)
	i.NoErr(err)
	i.Equal(len(members), 12) // 6 workers and their backend servers
	for _, m := range members {
		i.True(m.Address != "")
		if m.Role != sched.RoleWorker {
			continue
		}
		i.Equal(post(t, admin+"workers/"+string(m.ID), `{"crashed":true}`), http.StatusNoContent)
		_, err = near.Exchange(c, m, sched.WorkerCall{Term: 1, NotAfter: time.Now().Add(time.Minute)})
		i.True(errors.Is(err, sched.ErrUnavailable))
	}
	b := members[slices.IndexFunc(members, func(m sched.Member) bool { return m.Role == sched.RoleBackend })]
	i.Equal(post(t, "http://"+b.Address+"/x", ""), http.StatusOK)
	i.Equal(post(t, admin+"backend/"+string(b.ID), `{"shares":{"error":1}}`), http.StatusNoContent)
	i.Equal(post(t, "http://"+b.Address+"/x", ""), http.StatusInternalServerError)
	i.Equal(post(t, admin+"backend/nobody", `{}`), http.StatusNotFound)
	i.Equal(post(t, admin+"log", `{"outrage":true}`), http.StatusBadRequest)

	resp, err := http.Get(admin + "counts")
	i.NoErr(err)
	data, err := io.ReadAll(resp.Body)
	i.NoErr(err)
	i.NoErr(resp.Body.Close())
	var got Counts
	i.NoErr(json.Unmarshal(data, &got))
	i.Equal(got.Log.Appends, int64(2))
	i.Equal(got.Backend.Runs, int64(2))
}

// Guards against a process that does not say where it listens, or that stays
// after its end was asked for.
func TestRunPrintsAddressesAndCounts(t *testing.T) {
	i := is.New(t)
	c, cancel := context.WithCancel(t.Context())
	r, w := io.Pipe()
	done := make(chan error, 1)
	go func() { done <- Run(c, Options{Setup: "tunog", WorkersPerArea: 1, Admin: "127.0.0.1:0"}, w) }()
	d := json.NewDecoder(r)
	var a fleetResponse
	i.NoErr(d.Decode(&a))
	i.Equal(len(a.Bases), 3)
	cancel()
	var counts Counts
	i.NoErr(d.Decode(&counts))
	i.NoErr(<-done)
	i.True(Run(t.Context(), Options{Setup: "x"}, w) != nil)
}
