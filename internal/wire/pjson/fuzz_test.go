package pjson

import (
	"reflect"
	"testing"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// again checks that what was decoded survives another round.
func again[T any](t *testing.T, v T, encode func(T) ([]byte, error), decode func([]byte) (T, error)) {
	data, err := encode(v)
	if err != nil {
		t.Fatalf("%+v: %v", v, err)
	}
	got, err := decode(data)
	if err != nil || !reflect.DeepEqual(got, v) {
		t.Fatalf("%+v became %+v, %v", v, got, err)
	}
}

// Guards against a panic on, or an unstable reading of, the platform's bytes.
func FuzzDecodePage(f *testing.F) {
	f.Add([]byte(`{"earliest":1,"next":3,"first":1,"records":["YQ==",""]}`))
	f.Add([]byte(`{"earliest":9223372036854775807,"next":9223372036854775807,"first":9223372036854775807,"records":["YQ=="]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := DecodePage(data)
		if err != nil {
			return
		}
		for n, r := range p.Records {
			if r.Offset < p.Earliest || r.Offset >= p.Next || (n > 0 && r.Offset != p.Records[n-1].Offset+1) {
				t.Fatalf("record %d is at %d of %d to %d", n, r.Offset, p.Earliest, p.Next)
			}
			if r.Data == nil {
				p.Records[n].Data = []byte{} // JSON null and "" mean the same
			}
		}
		again(t, p, EncodePage, func(data []byte) (sched.Page, error) {
			p, err := DecodePage(data)
			return p, err
		})
	})
}

// Guards against a list that is read with a state or role that doesn't exist.
func FuzzDecodeMembers(f *testing.F) {
	f.Add([]byte(`[{"id":"a","role":"worker","state":"leaving","region":"r","dataCentre":"d","capacity":{"processors":1}}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		list, err := DecodeMembers(data)
		if err != nil {
			return
		}
		for _, m := range list {
			if m.ID == "" || m.Role < sched.RoleEntry || m.Role > sched.RoleBackend || m.State < sched.StateLive || m.State > sched.StateGone {
				t.Fatalf("%+v", m)
			}
		}
		again(t, list, EncodeMembers, DecodeMembers)
	})
}

// Guards against a worker that takes an order nobody could have meant.
func FuzzDecodeCall(f *testing.F) {
	seed, err := EncodeCall(sched.WorkerCall{Term: 3, NotAfter: time.Unix(5, 0).UTC(), Commands: []sched.Command{
		{Kind: sched.CommandThrottle, Task: "t", Attempt: 1, Share: 0.5, Needs: sched.Resources{Processors: 1}},
	}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		call, err := DecodeCall(data)
		if err != nil {
			return
		}
		for _, c := range call.Commands {
			if c.Task == "" || c.Attempt < 1 || c.Share < 0 || c.Share > 1 || c.Needs.Memory < 0 {
				t.Fatalf("%+v", c)
			}
		}
		if _, err := EncodeCall(call); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a report that is read with a state that doesn't exist.
func FuzzDecodeReport(f *testing.F) {
	seed, err := EncodeReport(sched.WorkerReport{Worker: "w", Boot: 2, Attempts: []sched.AttemptReport{
		{Task: "t", Attempt: 1, State: sched.AttemptLeaseExpired, Progress: time.Second},
	}, Services: []sched.ServiceReport{{Service: "s", Load: 0.5, P99: time.Second}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeReport(data)
		if err != nil {
			return
		}
		for _, a := range r.Attempts {
			if a.State < sched.AttemptWaiting || a.State > sched.AttemptLeaseExpired {
				t.Fatalf("%+v", a)
			}
		}
		if _, err := EncodeReport(r); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against an answer that is taken for a refusal without effect.
func FuzzDecodeRefusal(f *testing.F) {
	f.Add([]byte(`{"code":"trimmed","earliest":4}`))
	f.Add([]byte(`{"offset":4}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := DecodeRefusal(data); err == nil && r.Code != RefusalTrimmed && r.Code != RefusalUnavailable {
			t.Fatalf("%+v", r)
		}
		if o, err := DecodeOffset(data); err == nil && o < 1 {
			t.Fatalf("offset %d", o)
		}
	})
}
