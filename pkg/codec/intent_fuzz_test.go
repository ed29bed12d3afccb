package codec_test

import (
	"net/http"
	"reflect"
	"testing"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/dedup"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against bytes in an intent stream, possibly from another program, that
// cause a panic or are decoded differently after being encoded again, and against
// a decoded record that the replay doesn't apply.
func FuzzDecodeIntents(f *testing.F) {
	seed, err := codec.EncodeIntents(dedup.Batch{WrittenAt: time.Unix(9, 0), Entries: []dedup.Entry{
		{Kind: dedup.KindIntent, Nonce: 1, Holder: 2, IDTime: time.UnixMilli(5000)},
		{Kind: dedup.KindOutcome, Nonce: 1, IDTime: time.UnixMilli(5000), Outcome: sched.OutcomeAnswered, Answer: dedup.AnswerRef{Offset: 3, Index: 4}},
		{Kind: dedup.KindAbandoned, Nonce: 1, IDTime: time.UnixMilli(5000)},
	}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := codec.DecodeIntents(data)
		if err != nil {
			return
		}
		again, err := codec.EncodeIntents(b)
		if err != nil {
			t.Fatal(err)
		}
		second, err := codec.DecodeIntents(again)
		if err != nil || !reflect.DeepEqual(b, second) {
			t.Fatalf("%+v became %+v, %v", b, second, err)
		}
		h := dedup.Holder{}
		h.Window = time.Hour
		if _, ok := h.Apply(1, b, time.UnixMilli(6000)); !ok {
			t.Fatal("the first record was not applied")
		}
	})
}

// Guards against bytes in an answers stream that cause a panic, or that change when
// they are decoded and encoded again.
func FuzzDecodeAnswers(f *testing.F) {
	seed, err := codec.EncodeAnswers([]codec.KeptAnswer{{Answer: sched.Answer{
		Status: 200, Header: http.Header{"A": {"\xff", "c"}}, Body: []byte("body"),
	}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		k, err := codec.DecodeAnswers(data)
		if err != nil {
			return
		}
		again, err := codec.EncodeAnswers(k)
		if err != nil {
			return // encoding fails only for a name that isn't UTF-8, which decoding rejects
		}
		second, err := codec.DecodeAnswers(again)
		if err != nil || !reflect.DeepEqual(k, second) {
			t.Fatalf("%+v became %+v, %v", k, second, err)
		}
	})
}
