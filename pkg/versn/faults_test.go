package versn_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/config"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/versn"
)

const (
	// convergence is the bound of invariant I9 for agreement after a fault, in
	// steps of one second.
	convergence = 13
	// byteBudget is the maximum traffic of a node, in bytes per second.
	byteBudget = 8 << 10
	// longestOutage is the longest outage of the whole log, in steps. It is shorter
	// than the part of the retention time that is left when a snapshot is due.
	longestOutage = 20
)

// padding makes the documents about 4 KB large, which is realistic.
var padding = strings.Repeat("0123456789abcdef", 256)

// propose returns the record of a patch that is based on the version in force at a
// node, which may be an old one.
func (m *model) propose(n *modelNode) []byte {
	base, doc := n.replay.InForce()
	m.patches++
	fields := map[string]string{"/": padding}
	for _, c := range config.Diff(config.Document{}, doc) {
		fields[c.Field] = strings.Trim(c.New, `"`)
	}
	fields[fmt.Sprint("k", m.patches%7)] = fmt.Sprint(m.patches)
	var text []string
	for k, v := range fields {
		text = append(text, fmt.Sprintf("%q:%q", k, v))
	}
	to := document("{" + strings.Join(text, ",") + "}")
	data, _ := codec.EncodeConfig(versn.Entry{Patch: &versn.Patch{
		ID: fmt.Sprint("p", m.patches), Base: base, Changes: config.NewPatch(doc, to).Bytes(), Hash: to.Hash(),
	}})
	return data
}

// machine draws operators' actions and faults for a model.
type machine struct {
	*model
	outage int // remaining steps of the outage
	quiet  int // steps until the next outage may begin
}

// run executes steps of the model and checks it after each.
func (f *machine) run(t *rapid.T, steps int) {
	for range steps {
		if f.outage > 0 {
			f.outage--
		}
		f.quiet--
		f.log.outage = f.outage > 0
		f.step()
		if err := f.check(); err != nil {
			t.Fatalf("after %s: %v", f.now.Sub(epoch), err)
		}
	}
}

func (f *machine) node(t *rapid.T) *modelNode {
	return f.nodes[rapid.IntRange(0, nodes-1).Draw(t, "node")]
}

func (f *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"wait": func(t *rapid.T) { f.run(t, rapid.IntRange(1, 30).Draw(t, "steps")) },
		"apply": func(t *rapid.T) {
			// Several operators apply patches in the same second.
			for range rapid.IntRange(1, 4).Draw(t, "operators") {
				n := f.node(t)
				if n.seen == 0 {
					continue // an instance without a version doesn't serve operators
				}
				data := f.propose(n)
				switch rapid.IntRange(0, 3).Draw(t, "fate") {
				case 0: // the acknowledgement is lost and the operator appends again
					f.append(data)
					f.append(data)
				case 1: // the append takes effect late
					late := f.now.Add(time.Duration(rapid.IntRange(1, 5).Draw(t, "late")) * time.Second)
					f.log.late = append(f.log.late, timedRecord{sched.Record{Data: data}, late})
				default:
					f.append(data)
				}
			}
			f.run(t, 1)
		},
		// Up to more records than one read returns, so that a reader may stop among
		// them.
		"broken records": func(t *rapid.T) {
			for range rapid.IntRange(1, versn.ReadLimit+5).Draw(t, "records") {
				f.append([]byte{0xff, 0x00})
			}
		},
		"outage": func(t *rapid.T) {
			if f.outage == 0 && f.quiet <= 0 {
				f.outage = rapid.IntRange(1, longestOutage).Draw(t, "steps")
				f.quiet = f.outage + int(retention/time.Second)
			}
		},
		"slow": func(t *rapid.T) { f.log.skipped[f.node(t).index] = true },
		"cut from log": func(t *rapid.T) {
			// Node 0 always reaches the log unless there is an outage. If no
			// instance reached it, none could know its records.
			if n := f.node(t); n.index > 0 {
				n.noLog = !n.noLog
			}
		},
		"cut from list": func(t *rapid.T) { n := f.node(t); n.noList = !n.noList },
		"one-way cut": func(t *rapid.T) {
			a, b := f.node(t).index, f.node(t).index
			f.links[a][b] = a != b && !f.links[a][b]
		},
		"crash": func(t *rapid.T) {
			// A new process has to read a snapshot. The byte budget, which is
			// checked over 10 s, doesn't allow for more than one start in that time.
			if n := f.node(t); len(n.bytes)-n.startedAt > 10 {
				f.start(n.index)
			}
		},
		"late copy": func(t *rapid.T) {
			if len(f.copies) > 0 {
				f.node(t).replay.TakeCopy(f.copies[rapid.IntRange(0, len(f.copies)-1).Draw(t, "copy")])
			}
		},
	}
}

func (f *machine) append(data []byte) {
	if !f.log.outage {
		f.log.add(f.now, data)
	}
}

// heal ends all faults, waits for late appends to take effect, and checks that the
// instances agree in time and that no node exceeded the byte budget.
func (f *machine) heal(t *rapid.T) {
	f.outage, f.log.outage = 0, false
	f.links = [nodes][nodes]bool{}
	for _, n := range f.nodes {
		n.noLog, n.noList = false, false
	}
	for len(f.log.late) > 0 {
		f.run(t, 1)
	}
	f.run(t, convergence)
	want := f.oracle()
	for _, n := range f.nodes {
		if v, _ := n.replay.InForce(); v != want.version {
			t.Fatalf("%s has version %d in force %d s after the last fault, the log has %d",
				n.self.ID, v, convergence, want.version)
		}
		if want.version > 0 && !n.replay.Ready(f.now) {
			t.Fatalf("%s is not ready %d s after the last fault", n.self.ID, convergence)
		}
	}
	if rate, id := f.byteRate(); rate > byteBudget {
		t.Fatalf("traffic of %s is %d bytes/s over 10 s, more than %d", id, rate, byteBudget)
	}
}

func faults(t *rapid.T) {
	f := &machine{model: newModel()}
	f.append(f.propose(f.nodes[0])) // the first version is large, later patches are small
	f.run(t, 1)
	t.Repeat(f.actions())
	f.heal(t)
}

// Guards against a version in force that decreases or that the log did not accept, an
// accepted version that is lost, instances that don't agree in time after a fault, and
// catching up that exceeds a node's byte budget.
func TestFaults(t *testing.T) { rapid.Check(t, faults) }
