package trail

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is one decoded line of a log.
type Line struct {
	At       time.Time
	Level    string
	Instance string
	Message  string
	// Fields are the remaining fields, sorted by name.
	Fields []Field
}

// Field is one field of a line. The value is its JSON text, strings decoded.
type Field struct{ Name, Value string }

// Filter selects the lines that match all of its fields. An empty field matches every
// line.
type Filter struct {
	// Job is the id of a job. Lines about its tasks match too.
	Job, Worker, Instance, Message string
	// From and To bound the time of a line; both are included.
	From, To time.Time
}

// Timeline collects the lines of several logs that its filter selects. The zero value is
// empty and selects all lines.
type Timeline struct {
	Filter Filter

	lines   []Line
	skipped int
}

// maxLineBytes bounds a line of a log. Read fails on a longer one.
const maxLineBytes = 1 << 20

// Read adds the lines of a log that the filter selects. Text before the first brace
// of a line, such as the prefix of a log collector, is ignored. Lines without a valid
// JSON object or timestamp are counted as skipped.
func (t *Timeline) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		l, ok := parse(s.Bytes())
		switch {
		case !ok:
			t.skipped++
		case t.Filter.matches(l):
			t.lines = append(t.lines, l)
		}
	}
	if err := s.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

// Lines returns the selected lines, sorted by time.
func (t *Timeline) Lines() []Line {
	out := slices.Clone(t.lines)
	slices.SortStableFunc(out, func(a, b Line) int { return a.At.Compare(b.At) })
	return out
}

// Skipped returns the number of lines read so far that weren't log lines.
func (t *Timeline) Skipped() int { return t.skipped }

// Names of the fields that each line has.
const (
	levelField    = "level"
	timeField     = "ts"
	messageField  = "msg"
	instanceField = "instance"
)

func parse(line []byte) (Line, bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(line[start:], &fields) != nil {
		return Line{}, false
	}
	var l Line
	for name, raw := range fields {
		value := string(raw)
		var text string
		if json.Unmarshal(raw, &text) == nil {
			value = text
		}
		switch name {
		case levelField:
			l.Level = value
		case timeField:
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return Line{}, false
			}
			l.At = at
		case messageField:
			l.Message = value
		case instanceField:
			l.Instance = value
		default:
			l.Fields = append(l.Fields, Field{name, value})
		}
	}
	slices.SortFunc(l.Fields, func(a, b Field) int { return cmp.Compare(a.Name, b.Name) })
	return l, !l.At.IsZero()
}

func (f Filter) matches(l Line) bool {
	switch {
	case f.Instance != "" && l.Instance != f.Instance, f.Message != "" && l.Message != f.Message:
		return false
	case !f.From.IsZero() && l.At.Before(f.From), !f.To.IsZero() && l.At.After(f.To):
		return false
	case f.Worker != "" && l.field("worker") != f.Worker:
		return false
	case f.Job != "" && l.field("job") != f.Job && !strings.HasPrefix(l.field("task"), f.Job+"."):
		return false
	}
	return true
}

func (l Line) field(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// String formats the line for display: the UTC time of day, instance, message and
// fields. The level is left out.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-16s %-16s", l.At.UTC().Format("15:04:05.000"), l.Instance, l.Message)
	for _, f := range l.Fields {
		fmt.Fprintf(&b, " %s=%s", f.Name, f.Value)
	}
	return b.String()
}
