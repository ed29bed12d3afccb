package coloc

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// Field numbers of the saved scores, which are encoded as the protobuf messages
//
//	message Scores  { repeated Service services = 1; }
//	message Service { string name = 1; double scale = 2; repeated Coefficient coefficients = 3; }
//	message Coefficient { string kind = 1; float mean = 2; float variance = 3; }
//
// The first two coefficients of a service are the fixed ones and have empty
// kinds. Covariances between coefficients are not saved and start at 0 after
// Load.
const (
	fieldServices     = 1
	fieldName         = 1
	fieldScale        = 2
	fieldCoefficients = 3
	fieldMean         = 2
	fieldVariance     = 3
)

var errMalformedScores = errors.New("malformed interference scores")

// Save returns the learned coefficients of all services in encoded form. The
// state of single workers is not included.
func (m *Model) Save() []byte {
	var out []byte
	for _, name := range slices.Sorted(maps.Keys(m.filters)) {
		f := m.filters[name]
		kinds := make([]string, len(f.mean))
		for k, n := range f.kinds {
			kinds[n] = k
		}
		b := protowire.AppendTag(nil, fieldName, protowire.BytesType)
		b = protowire.AppendString(b, name)
		b = protowire.AppendTag(b, fieldScale, protowire.Fixed64Type)
		b = protowire.AppendFixed64(b, math.Float64bits(f.scale))
		for n, kind := range kinds {
			c := protowire.AppendTag(nil, fieldName, protowire.BytesType)
			c = protowire.AppendString(c, kind)
			c = protowire.AppendTag(c, fieldMean, protowire.Fixed32Type)
			c = protowire.AppendFixed32(c, math.Float32bits(float32(f.mean[n])))
			c = protowire.AppendTag(c, fieldVariance, protowire.Fixed32Type)
			c = protowire.AppendFixed32(c, math.Float32bits(float32(f.cov[n][n])))
			b = protowire.AppendTag(b, fieldCoefficients, protowire.BytesType)
			b = protowire.AppendBytes(b, c)
		}
		out = protowire.AppendTag(out, fieldServices, protowire.BytesType)
		out = protowire.AppendBytes(out, b)
	}
	return out
}

// Load replaces the learned coefficients by those from Save. If scores can't be
// decoded, the model starts without coefficients and learns them anew.
func (m *Model) Load(scores []byte) {
	filters, err := decodeScores(scores)
	if err != nil {
		filters = map[string]*filter{}
	}
	m.filters = filters
}

func decodeScores(data []byte) (map[string]*filter, error) {
	filters := map[string]*filter{}
	err := forEachField(data, func(n protowire.Number, v []byte, _ uint64) error {
		if n != fieldServices {
			return nil
		}
		name, f, err := decodeService(v)
		filters[name] = f
		return err
	})
	return filters, err
}

func decodeService(data []byte) (string, *filter, error) {
	name, seen := "", 0
	f := newFilter(0, time.Time{})
	err := forEachField(data, func(n protowire.Number, v []byte, bits uint64) error {
		switch int(n) {
		case fieldName:
			name = string(v)
		case fieldScale:
			f.scale = math.Float64frombits(bits)
		case fieldCoefficients:
			seen++
			return f.decodeCoefficient(seen-1, v)
		}
		return nil
	})
	if err == nil && (name == "" || seen < firstKindIndex || !(f.scale > 0) || math.IsInf(f.scale, 0)) {
		err = fmt.Errorf("%w: service %q has %d coefficients and scale %v", errMalformedScores, name, seen, f.scale)
	}
	return name, f, err
}

func (f *filter) decodeCoefficient(n int, data []byte) error {
	kind, mean, variance := "", 0.0, 0.0
	err := forEachField(data, func(n protowire.Number, v []byte, bits uint64) error {
		switch int(n) {
		case fieldName:
			kind = string(v)
		case fieldMean:
			mean = float64(math.Float32frombits(uint32(bits)))
		case fieldVariance:
			variance = float64(math.Float32frombits(uint32(bits)))
		}
		return nil
	})
	if err != nil {
		return err
	}
	if n >= firstKindIndex {
		if n = f.index(kind); n < 0 {
			return fmt.Errorf("%w: more than %d task kinds", errMalformedScores, maxKinds)
		}
	}
	if !(math.Abs(mean) <= maxCoefficient) || !(variance >= 0 && variance <= maxCoefficient) {
		return fmt.Errorf("%w: kind %q has mean %v, variance %v", errMalformedScores, kind, mean, variance)
	}
	f.mean[n], f.cov[n][n] = mean, variance
	return nil
}

// maxCoefficient bounds decoded means and variances. It is far beyond any real
// latency ratio.
const maxCoefficient = 1e6

// forEachField calls f for each field of a protobuf message, with the field's
// bytes or the bits of its fixed-size value.
func forEachField(data []byte, f func(n protowire.Number, v []byte, bits uint64) error) error {
	for len(data) > 0 {
		num, wireType, n := protowire.ConsumeTag(data)
		if n < 0 {
			return fmt.Errorf("%w: %w", errMalformedScores, protowire.ParseError(n))
		}
		data = data[n:]
		var v []byte
		var bits uint64
		switch wireType {
		case protowire.BytesType:
			v, n = protowire.ConsumeBytes(data)
		case protowire.Fixed64Type:
			bits, n = protowire.ConsumeFixed64(data)
		case protowire.Fixed32Type:
			var b uint32
			b, n = protowire.ConsumeFixed32(data)
			bits = uint64(b)
		default:
			n = protowire.ConsumeFieldValue(num, wireType, data)
		}
		if n < 0 {
			return fmt.Errorf("%w: %w", errMalformedScores, protowire.ParseError(n))
		}
		if err := f(num, v, bits); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}
