package codec

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/parsleybarrow/parsleybarrow/internal/wire/pb"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/versn"
)

// Guards against a config record that crashes its readers, or that changes when it
// is decoded and encoded again. The bytes may come from any writer of the stream.
func FuzzDecodeConfig(f *testing.F) {
	for _, e := range []versn.Entry{
		{Patch: &versn.Patch{ID: "i", Base: 7, Changes: []byte(`{"a":"b"}`), Operator: "o"}},
		{Snapshot: &versn.Snapshot{Version: 7, Document: []byte("{}"), ReadTo: 9, Writer: "w", WrittenAt: time.Unix(1, 2)}},
	} {
		data, err := EncodeConfig(e)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0xff, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := DecodeConfig(data)
		if err != nil {
			return
		}
		again, err := EncodeConfig(e)
		if err != nil {
			t.Fatal(err)
		}
		back, err := DecodeConfig(again)
		if err != nil || !reflect.DeepEqual(back, e) {
			t.Fatalf("%+v is read back as %+v (%v)", e, back, err)
		}
		// The decoded entry must not crash the replay either.
		r := versn.New(versn.Options{Decode: DecodeConfig})
		r.Page(time.Unix(0, 0), sched.Page{Records: []sched.Record{{Offset: 5, Data: data}}, Earliest: 5, Next: 6})
		if v, _ := r.InForce(); v > 5 {
			t.Fatalf("version %d is in force after record 5", v)
		}
	})
}

// Guards against configuration changes in a peer's heartbeat that crash an instance
// or put a document in force that doesn't match the hash of its step.
func FuzzNews(f *testing.F) {
	step := sched.ConfigStep{Version: 3, Changes: []byte(`{"a":"b"}`)}
	data, err := proto.Marshal(NewsToWire(sched.ConfigNews{AsOf: 4, Steps: []sched.ConfigStep{step, {Base: 3, Version: 4}}}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0x08, 0x01, 0x12, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		w := &pb.ConfigNews{}
		if proto.Unmarshal(data, w) != nil {
			return
		}
		n := NewsFromWire(w)
		r := versn.New(versn.Options{Decode: DecodeConfig})
		taken := r.TakeNews(n)
		v, doc := r.InForce()
		if taken != (v > 0) {
			t.Fatalf("TakeNews returned %t with version %d in force", taken, v)
		}
		if h := doc.Hash(); taken && !bytes.Equal(h[:], n.Steps[len(n.Steps)-1].Hash[:]) {
			t.Fatalf("document %s doesn't match the hash of its step", doc.Bytes())
		}
	})
}
