package frame

import (
	"bytes"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// Guards against items that are lost, merged or reordered in a record.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := Frame{
			ID:    rapid.StringN(1, 20, -1).Draw(t, "id"),
			Items: rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 300), 1, 10).Draw(t, "items"),
		}
		got, err := Decode(Encode(f))
		if err != nil || got.ID != f.ID || len(got.Items) != len(f.Items) {
			t.Fatalf("%+v became %+v, %v", f, got, err)
		}
		for n := range f.Items {
			if !bytes.Equal(got.Items[n], f.Items[n]) {
				t.Fatalf("item %d: %x became %x", n, f.Items[n], got.Items[n])
			}
		}
	})
}

// Guards against a panic on, or an unstable reading of, bytes that somebody
// else put into the log.
func FuzzDecode(f *testing.F) {
	f.Add(Encode(Frame{ID: "a/1", Items: [][]byte{[]byte("x"), nil}}))
	f.Add([]byte{0x0a, 0x01, 0x61, 0x18, 0x05})
	f.Add([]byte{0x12, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Decode(Encode(got))
		if err != nil || !reflect.DeepEqual(again, got) {
			t.Fatalf("%x: %+v became %+v, %v", data, got, again, err)
		}
	})
}
