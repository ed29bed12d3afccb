package config

import (
	"encoding/json"
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// scalar is a type of scalar values.
type scalar struct {
	// allowed describes the allowed values for operators.
	allowed string
	// parse returns the canonical value, a string or a json.Number, and false if
	// the value is not allowed. Equal values have the same canonical form however
	// they are written.
	parse func(n *node) (any, bool)
}

const nameRule = "a name of 1 to 63 letters, digits, underscores and hyphens that begins with a letter"

var namePattern = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9_-]{0,62}$`)

func nameScalar() scalar {
	return scalar{allowed: nameRule, parse: func(n *node) (any, bool) {
		return n.text, n.kind == nodeText && namePattern.MatchString(n.text)
	}}
}

func oneOf(values ...string) scalar {
	return scalar{allowed: strings.Join(values, ", "), parse: func(n *node) (any, bool) {
		for _, v := range values {
			if n.kind == nodeText && n.text == v {
				return v, true
			}
		}
		return nil, false
	}}
}

func number(low, high float64) scalar {
	return scalar{
		allowed: "a number from " + formatNumber(low) + " to " + formatNumber(high),
		parse: func(n *node) (any, bool) {
			f, err := strconv.ParseFloat(n.text, 64)
			ok := n.kind == nodeNumber && err == nil && f >= low && f <= high
			return json.Number(formatNumber(f)), ok
		},
	}
}

// thousandths returns the type of numbers with at most three decimals.
func thousandths(low, high float64) scalar {
	s := number(low, high)
	base := s.parse
	s.allowed += " with at most 3 decimals"
	s.parse = func(n *node) (any, bool) {
		v, ok := base(n)
		if !ok {
			return nil, false
		}
		f, _ := v.(json.Number).Float64()
		return v, math.Abs(f*1000-math.Round(f*1000)) < 1e-6
	}
	return s
}

func integer(low, high int64) scalar {
	return scalar{
		allowed: fmt.Sprintf("a whole number from %d to %d", low, high),
		parse: func(n *node) (any, bool) {
			v, err := strconv.ParseInt(n.text, 10, 64)
			return json.Number(strconv.FormatInt(v, 10)), n.kind == nodeNumber && err == nil && v >= low && v <= high
		},
	}
}

func duration(low, high time.Duration) scalar {
	return scalar{
		allowed: "a duration from " + formatDuration(low) + " to " + formatDuration(high) + " such as 10s or 1h30m",
		parse: func(n *node) (any, bool) {
			d, err := time.ParseDuration(n.text)
			return formatDuration(d), n.kind == nodeText && err == nil && d >= low && d <= high
		},
	}
}

func size(low, high int64) scalar {
	return scalar{
		allowed: "a size from " + formatSize(low) + " to " + formatSize(high) + " in B, KiB, MiB, GiB or TiB, such as 60GiB",
		parse: func(n *node) (any, bool) {
			v, ok := parseSize(n.text)
			return formatSize(v), ok && n.kind == nodeText && v >= low && v <= high
		},
	}
}

// unit is a unit of size.
type unit struct {
	name  string
	bytes int64
}

// sizeUnits are ordered from the largest, because "B" is a suffix of the others.
var sizeUnits = []unit{{"TiB", 1 << 40}, {"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// parseSize parses a whole number of a unit, such as 60GiB, and returns bytes.
func parseSize(s string) (int64, bool) {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(s, u.name)
		if !ok {
			continue
		}
		v, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || v < 0 || v > math.MaxInt64/u.bytes {
			return 0, false
		}
		return v * u.bytes, true
	}
	return 0, false
}

// formatSize formats bytes in the largest unit of which they are a multiple.
func formatSize(v int64) string {
	for _, u := range sizeUnits {
		if v != 0 && v%u.bytes == 0 {
			return strconv.FormatInt(v/u.bytes, 10) + u.name
		}
	}
	return "0B"
}

// formatDuration formats a duration without trailing zero units, such as 1h
// instead of 1h0m0s.
func formatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

func formatNumber(f float64) string {
	if f == 0 {
		return "0" // also for negative zero
	}
	return strconv.FormatFloat(f, 'f', -1, 64)
}
