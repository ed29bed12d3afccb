package versn_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/config"
	"github.com/parsleybarrow/parsleybarrow/pkg/member"
	"github.com/parsleybarrow/parsleybarrow/pkg/rendez"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/versn"
)

// The model simulates instances in two data centres, the log, the list of
// instances and the links between them, in virtual time. One step is a second.
const (
	nodes     = 5
	retention = 90 * time.Second
	listLag   = 5 // steps
	// Overhead in bytes, besides the payload, of an HTTP call, of a record in the
	// log's JSON, and of a heartbeat (design page, section 6).
	callBytes, recordBytes, beatBytes = 300, 40, 200
)

// timedRecord is a record with the time at which it is added to the log.
type timedRecord struct {
	record sched.Record
	at     time.Time
}

// modelLog simulates the log. It holds every record ever added.
type modelLog struct {
	all     []timedRecord
	first   int           // index of the oldest record that is retained
	late    []timedRecord // records that will be added later
	outage  bool
	skipped map[int]bool // nodes whose next read gets no answer in time
}

func (l *modelLog) next() sched.Offset { return sched.Offset(len(l.all) + 1) }

func (l *modelLog) add(now time.Time, data []byte) {
	l.all = append(l.all, timedRecord{sched.Record{Offset: l.next(), Data: data}, now})
}

func (l *modelLog) tick(now time.Time) {
	var rest []timedRecord
	for _, p := range l.late {
		if now.Before(p.at) {
			rest = append(rest, p)
			continue
		}
		l.add(now, p.record.Data)
	}
	l.late = rest
	for l.first < len(l.all) && now.Sub(l.all[l.first].at) > retention {
		l.first++
	}
}

func (l *modelLog) page(from sched.Offset, limit int) (sched.Page, int) {
	p := sched.Page{Earliest: sched.Offset(l.first + 1), Next: l.next()}
	bytes := callBytes
	for o := from; o < p.Next && len(p.Records) < limit; o++ {
		r := l.all[o-1].record
		p.Records = append(p.Records, r)
		bytes += recordBytes + len(r.Data)*4/3
	}
	return p, bytes
}

// modelNode is one instance. In each step it does what the daemon does every
// second.
type modelNode struct {
	index       int
	self        sched.Member
	replay      *versn.Replay
	table       *member.Table
	noLog       bool         // the node can't reach the log
	noList      bool         // the node can't reach the list of instances
	seen        sched.Offset // the highest version in force in this incarnation
	bytes       []traffic    // per step
	startedAt   int          // step of the last start
	incarnation sched.Incarnation
	logReached  time.Time
	// heard holds the newest heartbeat of each peer.
	heard map[sched.InstanceID]sched.Heartbeat
}

// traffic is the number of bytes sent and received, by purpose.
type traffic struct{ log, beats, copies, snapshots int }

func (t traffic) sum() int { return t.log + t.beats + t.copies + t.snapshots }

// current returns the traffic of the current step.
func (n *modelNode) current() *traffic { return &n.bytes[len(n.bytes)-1] }

type model struct {
	now     time.Time
	log     modelLog
	nodes   []*modelNode
	links   [nodes][nodes]bool // true if calls from the first to the second node are lost
	lists   [][]sched.Member   // the list of instances at each step
	copies  []sched.ConfigCopy // copies that may be delivered once more, late
	patches int                // number of patches proposed
	chain   []accepted         // versions accepted so far
	chained int                // number of records that chain covers
}

// accepted is a version that the log accepted.
type accepted struct {
	version sched.Offset
	doc     config.Document
}

func newModel() *model {
	m := &model{now: epoch}
	m.log.skipped = map[int]bool{}
	m.chain = []accepted{{}}
	for k := range nodes {
		m.nodes = append(m.nodes, &modelNode{index: k})
		m.start(k)
	}
	return m
}

func (m *model) start(k int) {
	n := m.nodes[k]
	n.incarnation++
	n.seen = 0
	n.logReached = time.Time{}
	n.heard = map[sched.InstanceID]sched.Heartbeat{}
	n.startedAt = len(n.bytes)
	n.self = sched.Member{
		ID: sched.InstanceID(fmt.Sprint("entry-", k)), Incarnation: n.incarnation, Role: sched.RoleEntry,
		State: sched.StateLive, DataCentre: sched.DataCentre(fmt.Sprint("dc-", k%2)), Address: fmt.Sprint(k),
	}
	n.table = member.New(m.now, member.Options{Self: n.self})
	n.replay = versn.New(versn.Options{Self: n.self.ID, Retention: retention, Decode: codec.DecodeConfig})
	if len(m.lists) > 0 { // a process reads the list when it starts
		n.table.ApplyList(m.now, m.lists[max(0, len(m.lists)-listLag)])
	}
}

// oracle returns the version in force according to all records ever added,
// trimmed ones included.
func (m *model) oracle() accepted {
	for ; m.chained < len(m.log.all); m.chained++ {
		r := m.log.all[m.chained].record
		e, err := codec.DecodeConfig(r.Data)
		last := m.chain[len(m.chain)-1]
		if err != nil || e.Patch == nil || e.Patch.Base != last.version {
			continue
		}
		p, perr := config.DecodePatch(e.Patch.Changes)
		doc, aerr := last.doc.Apply(p)
		if perr == nil && aerr == nil && doc.Hash() == e.Patch.Hash {
			m.chain = append(m.chain, accepted{r.Offset, doc})
		}
	}
	return m.chain[len(m.chain)-1]
}

func (m *model) step() {
	m.now = m.now.Add(time.Second)
	m.log.tick(m.now)
	var list []sched.Member
	for _, n := range m.nodes {
		list = append(list, n.self)
		n.bytes = append(n.bytes, traffic{})
	}
	m.lists = append(m.lists, list)
	for _, n := range m.nodes {
		m.readLog(n)
		m.exchange(n)
		if !n.noList && len(m.lists) > listLag {
			n.table.ApplyList(m.now, m.lists[len(m.lists)-1-listLag])
		}
		n.table.Tick(m.now)
		m.writeSnapshot(n)
	}
	clear(m.log.skipped)
}

func (m *model) readLog(n *modelNode) {
	if n.noLog || m.log.outage || m.log.skipped[n.index] {
		return
	}
	if earliest := sched.Offset(m.log.first + 1); n.replay.Next() < earliest {
		n.current().log += callBytes
		n.replay.LogReached(m.now)
		n.replay.Trimmed(earliest)
	}
	p, bytes := m.log.page(n.replay.Next(), n.replay.Limit())
	n.current().log += bytes
	n.logReached = m.now
	n.replay.LogReached(m.now)
	n.replay.Page(m.now, p)
}

func (m *model) exchange(n *modelNode) {
	for _, c := range n.table.Contacts(m.now) {
		k := slices.IndexFunc(m.nodes, func(o *modelNode) bool { return o.self.Address == c.Address })
		p := m.nodes[k]
		if m.links[n.index][k] {
			n.table.RecordFailedContact(m.now, c.ID, c.Incarnation)
			continue
		}
		ask := n.heartbeat(m.now)
		ask.Config = n.replay.News(m.now, n.heard[c.ID].SentAt, n.heard[c.ID])
		m.hear(p, n, ask)
		answer := p.heartbeat(m.now)
		answer.Config = p.replay.News(m.now, m.now, ask)
		if m.links[k][n.index] { // the peer's answer is lost
			n.table.RecordFailedContact(m.now, c.ID, c.Incarnation)
			continue
		}
		m.hear(n, p, answer)
	}
}

func (n *modelNode) heartbeat(now time.Time) sched.Heartbeat {
	v, _ := n.replay.InForce()
	return sched.Heartbeat{
		From: n.self.ID, Incarnation: n.incarnation, DataCentre: n.self.DataCentre,
		Address: n.self.Address, State: sched.StateLive, Version: v, SentAt: now, LogReached: n.logReached,
	}
}

func (m *model) hear(n, from *modelNode, h sched.Heartbeat) {
	bytes := beatBytes
	for _, s := range h.Config.Steps {
		bytes += len(s.Changes) + len(s.Hash) + 20
	}
	n.current().beats += bytes
	from.current().beats += bytes
	n.heard[h.From] = h
	n.table.ApplyHeartbeat(m.now, h)
	n.replay.PeerReported(m.now, h.Version)
	n.replay.TakeNews(h.Config)
	if !n.replay.ShouldFetchCopy(m.now, h.Version) {
		return
	}
	// The receiver of the heartbeat makes this call, so it fails if calls in that
	// direction are lost.
	if m.links[n.index][from.index] || !from.replay.ShouldServeCopy(m.now) {
		return
	}
	c := from.replay.Copy()
	m.copies = append(m.copies, c)
	n.current().copies += callBytes + len(c.Document)
	from.current().copies += callBytes + len(c.Document)
	n.replay.TakeCopy(c)
}

func (m *model) writeSnapshot(n *modelNode) {
	owner, _ := rendez.SnapshotWriterKey(sched.ConfigStream).Owner(n.table.View().AllCandidates())
	if n.noLog || m.log.outage || !n.replay.SnapshotDue(m.now, owner == n.self.ID) {
		return
	}
	s := n.replay.Snapshot(m.now)
	data, _ := codec.EncodeConfig(versn.Entry{Snapshot: &s})
	n.current().snapshots += callBytes + len(data)*4/3
	m.log.add(m.now, data)
}

// check returns an error if a node has a version in force that decreased or that
// the log did not accept, or the wrong document for a version.
func (m *model) check() error {
	m.oracle()
	for _, n := range m.nodes {
		v, doc := n.replay.InForce()
		if v < n.seen {
			return fmt.Errorf("version in force at %s decreased from %d to %d", n.self.ID, n.seen, v)
		}
		n.seen = v
		k := slices.IndexFunc(m.chain, func(a accepted) bool { return a.version == v })
		if k < 0 {
			return fmt.Errorf("%s has version %d in force, which the log did not accept", n.self.ID, v)
		}
		if doc.Hash() != m.chain[k].doc.Hash() {
			return fmt.Errorf("%s has the wrong document for version %d: %s", n.self.ID, v, doc.Bytes())
		}
	}
	return nil
}

// byteRate returns the highest average traffic of any node over any 10 steps, in
// bytes per second, and describes where it occurred.
func (m *model) byteRate() (rate int, what string) {
	const window = 10
	for _, n := range m.nodes {
		sum := 0
		for k, b := range n.bytes {
			sum += b.sum()
			if k >= window {
				sum -= n.bytes[k-window].sum()
			}
			if sum/window > rate {
				rate, what = sum/window, fmt.Sprintf("%s until step %d, log, beats, copies, snapshots %v",
					n.self.ID, k, n.bytes[max(0, k-window+1):k+1])
			}
		}
	}
	return rate, what
}
