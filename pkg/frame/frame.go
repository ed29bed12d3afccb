package frame

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
)

// Frame is a batch of items in one log record. Its items take effect in order,
// all at the offset of the record.
type Frame struct {
	// ID is unique among all frames of a stream.
	ID    string
	Items [][]byte
}

const (
	fieldID    protowire.Number = 1
	fieldItems protowire.Number = 2
)

// itemOverhead bounds the bytes that an item needs next to its own.
const itemOverhead = 11

// ErrNoID reports a frame without an id.
var ErrNoID = errors.New("frame has no id")

// Encode returns the bytes of a frame.
func Encode(f Frame) []byte {
	size := len(f.ID) + itemOverhead
	for _, item := range f.Items {
		size += len(item) + itemOverhead
	}
	b := make([]byte, 0, size)
	b = protowire.AppendTag(b, fieldID, protowire.BytesType)
	b = protowire.AppendString(b, f.ID)
	for _, item := range f.Items {
		b = protowire.AppendTag(b, fieldItems, protowire.BytesType)
		b = protowire.AppendBytes(b, item)
	}
	return b
}

// Decode reads a frame. Items share memory with data. Unknown fields are
// skipped, so that a newer writer can add some.
func Decode(data []byte) (Frame, error) {
	var f Frame
	for len(data) > 0 {
		num, kind, n := protowire.ConsumeTag(data)
		if n < 0 {
			return Frame{}, fmt.Errorf("frame: %w", protowire.ParseError(n))
		}
		data = data[n:]
		if kind != protowire.BytesType || (num != fieldID && num != fieldItems) {
			if n = protowire.ConsumeFieldValue(num, kind, data); n < 0 {
				return Frame{}, fmt.Errorf("frame: field %d: %w", num, protowire.ParseError(n))
			}
			data = data[n:]
			continue
		}
		value, n := protowire.ConsumeBytes(data)
		if n < 0 {
			return Frame{}, fmt.Errorf("frame: field %d: %w", num, protowire.ParseError(n))
		}
		data = data[n:]
		if num == fieldID {
			f.ID = string(value)
		} else {
			f.Items = append(f.Items, value)
		}
	}
	if f.ID == "" {
		return Frame{}, ErrNoID
	}
	return f, nil
}
