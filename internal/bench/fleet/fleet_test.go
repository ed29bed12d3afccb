package fleet_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/parsleybarrow/parsleybarrow/internal/bench/fleet"
	"github.com/parsleybarrow/parsleybarrow/internal/wire/pb"
	"github.com/parsleybarrow/parsleybarrow/internal/wire/pb/pbconnect"
	"github.com/parsleybarrow/parsleybarrow/internal/wire/pjson"
	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/config"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/versn"
)

// echo answers an exchange with the same heartbeat.
type echo struct {
	pbconnect.UnimplementedPeerHandler
}

func (echo) Exchange(_ context.Context, h *pb.Heartbeat) (*pb.Heartbeat, error) { return h, nil }

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// httpOverhead returns the bytes of HTTP per exchange without the payload, on a
// connection that is in use already.
func httpOverhead(b *testing.B, http2 bool) int {
	path, handler := pbconnect.NewPeerHandler(echo{})
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	server := httptest.NewUnstartedServer(mux)
	protocols := &http.Protocols{}
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	server.Config.Protocols = protocols
	server.Start()
	defer server.Close()
	var bytes atomic.Int64
	transport := &http.Transport{
		Protocols:          protocols,
		DisableCompression: true,
		DialContext: func(c context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(c, network, address)
			return countingConn{conn, &bytes}, err
		},
	}
	defer transport.CloseIdleConnections()
	client := pbconnect.NewPeerClient(&http.Client{Transport: transport}, server.URL)
	const calls = 50
	var before int64
	for k := range calls + 1 {
		if _, err := client.Exchange(context.Background(), &pb.Heartbeat{}); err != nil {
			b.Fatal(err)
		}
		if k == 0 {
			before = bytes.Load()
		}
	}
	return int(bytes.Load()-before) / calls
}

func teams(n int) []sched.TeamSettings {
	var all []sched.TeamSettings
	for k := range n {
		all = append(all, sched.TeamSettings{Name: fmt.Sprintf("team-%03d", k), Requests: float64(50 + 10*k)})
	}
	return all
}

// BenchmarkNode gives bytes and processor time per instance and second, with
// the demand of 170 teams. The bytes of HTTP are those of HTTP/2; of HTTP/1.1
// they are given for comparison.
func BenchmarkNode(b *testing.B) {
	first, err := config.Load(configFolder(170))
	if err != nil {
		b.Fatal(err)
	}
	h1, h2 := httpOverhead(b, false), httpOverhead(b, true)
	loads := []struct {
		name    string
		flooded func(int) bool
	}{
		{"usual", func(team int) bool { return team < 10 }},
		{"flood", func(int) bool { return true }},
	}
	for _, l := range loads {
		for _, c := range []struct{ instances, centres int }{{3, 3}, {9, 3}, {36, 4}, {90, 10}, {162, 18}} {
			b.Run(fmt.Sprintf("load=%s/instances=%d", l.name, c.instances), func(b *testing.B) {
				s := fleet.Sim{
					Instances: c.instances, Centres: c.centres, Teams: teams(170), ChangesADay: 4500, Burst: 50, Seed: 1,
					Overhead: fleet.Overhead{Heartbeat: h2, Read: 350}, First: first, Flooded: l.flooded,
				}
				s.Prepare()
				s.Run(180) // the first exchange of all demand
				s.Total, s.Worst, s.Exchanges = fleet.ByteCounts{}, fleet.ByteCounts{}, 0
				const seconds = 40
				b.ResetTimer()
				for range b.N {
					s.Run(seconds)
				}
				per := float64(b.N * seconds * c.instances)
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/per/1e7, "%core")
				b.ReportMetric(float64(s.Total.Heartbeats)/per, "beatB/s")
				b.ReportMetric(float64(s.Total.Demand)/per, "demandB/s")
				b.ReportMetric(float64(s.Total.Config)/per, "configB/s")
				b.ReportMetric(float64(s.Total.Heartbeats+s.Total.Demand+s.Total.Config)/per, "allB/s")
				b.ReportMetric(float64(s.Worst.Config), "worstConfigB")
				b.ReportMetric(float64(h1-h2)*float64(s.Exchanges)/per, "http1ExtraB/s")
			})
		}
	}
}

// BenchmarkList gives the bytes of the platform's list at the target scale.
func BenchmarkList(b *testing.B) {
	for _, n := range []int{75, 240, 3900 + 162 + 2000} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			var list []sched.Member
			for k := range n {
				list = append(list, sched.Member{
					ID: sched.InstanceID(fmt.Sprintf("worker-%04d", k)), Incarnation: 1, Role: sched.RoleWorker, State: sched.StateLive,
					Region: sched.Region(fmt.Sprintf("region-%d", k%5)), DataCentre: sched.DataCentre(fmt.Sprintf("centre-%02d", k%18)),
					Rack: fmt.Sprintf("rack-%03d", k/11), Address: fmt.Sprintf("10.%d.%d.%d:7500", k%18, k*7919%251, k*104729%253),
					Capacity: sched.Resources{Processors: 16000, Memory: 60 << 30},
				})
			}
			size := 0
			for range b.N {
				data, err := pjson.EncodeMembers(list)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
			b.ReportMetric(float64(gzipSize(b, list)), "gzipBytes")
		})
	}
}

// gzipSize returns the compressed size of a list as clients of the platform read it.
func gzipSize(b *testing.B, list []sched.Member) int {
	data, err := pjson.EncodeMembers(list)
	if err != nil {
		b.Fatal(err)
	}
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	if _, err := z.Write(data); err != nil {
		b.Fatal(err)
	}
	if err := z.Close(); err != nil {
		b.Fatal(err)
	}
	return out.Len()
}

func configFolder(n int) []config.File {
	files := []config.File{{Name: "00-base.yaml", Data: []byte("partners: {north: {share: 0.4}, south: {share: 0.4}}\n" +
		"services: {simdesk: {urgency: urgent, timeout: 10s}}\nregions: {luzon: {dataCentres: [quezon-a, pasig-b]}}\n")}}
	for k := range n {
		files = append(files, config.File{Name: fmt.Sprintf("team-%03d.yaml", k), Data: fmt.Appendf(nil,
			"teams:\n  team-%03d:\n    partner: north\n    requests: %d\n    resources: {processors: 64, memory: 240GiB, accelerators: 4}\n", k, 50+k)})
	}
	return files
}

// BenchmarkFolder gives the time to parse, merge and check 170 teams, and the
// sizes of what is made of them.
func BenchmarkFolder(b *testing.B) {
	files := configFolder(170)
	var d config.Document
	for range b.N {
		var err error
		if d, err = config.Load(files); err != nil {
			b.Fatal(err)
		}
	}
	files[7].Data = append(files[7].Data, "limits: {aheadDepth: 3}\n"...)
	to, err := config.Load(files)
	if err != nil {
		b.Fatal(err)
	}
	patch := config.NewPatch(d, to).Bytes()
	record, _ := codec.EncodeConfig(versn.Entry{Patch: &versn.Patch{
		ID: "0197f3c2-0000-7000-8000-000000000000", Base: 1, Changes: patch, Hash: to.Hash(), Operator: "operator@example",
	}})
	snapshot, _ := codec.EncodeConfig(versn.Entry{Snapshot: &versn.Snapshot{Version: 1, Document: d.Bytes(), ReadTo: 2, Writer: "entry-1"}})
	b.ReportMetric(float64(len(record)), "patchB")
	b.ReportMetric(float64(len(snapshot)), "snapshotB")
}

// BenchmarkPatch gives the time to apply one patch to a document of 170 teams,
// as every instance does for each change.
func BenchmarkPatch(b *testing.B) {
	d, err := config.Load(configFolder(170))
	if err != nil {
		b.Fatal(err)
	}
	p, _ := config.DecodePatch([]byte(`{"teams":{"team-007":{"requests":5}}}`))
	for range b.N {
		to, err := d.Apply(p)
		if err != nil || to.Hash() == d.Hash() {
			b.Fatal(err)
		}
	}
}
