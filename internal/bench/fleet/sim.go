package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/parsleybarrow/parsleybarrow/internal/wire/pb"
	"github.com/parsleybarrow/parsleybarrow/internal/wire/pjson"
	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/config"
	"github.com/parsleybarrow/parsleybarrow/pkg/member"
	"github.com/parsleybarrow/parsleybarrow/pkg/quota"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/versn"
)

// Overhead is the number of HTTP bytes besides the payload.
type Overhead struct {
	// Heartbeat is the overhead of one exchange of heartbeats or one copy of the
	// configuration, both ways.
	Heartbeat int
	// Read is the overhead of one read of the log, both ways.
	Read int
}

// listPause is the interval between two reads of the member list in seconds.
const listPause = 10

// ByteCounts counts the bytes sent and received for heartbeats, demand reports and
// configuration.
type ByteCounts struct{ Heartbeats, Demand, Config int }

// Sim is a fleet of instances. Exported fields are set before Run.
type Sim struct {
	Instances int
	Centres   int
	Teams     []sched.TeamSettings
	// ChangesADay is the rate of configuration changes; Burst is the number of
	// changes in one second in the middle of the run.
	ChangesADay int
	Burst       int
	Seed        uint64
	Overhead    Overhead
	// First is the document that the changes start from.
	First config.Document
	// Flooded reports whether a team offers about five times its quota; the
	// others offer about two fifths of theirs.
	Flooded func(team int) bool
	// PathCut reports whether messages from one instance to another get lost, and
	// LogUnreachable reports whether an instance reaches neither the log nor the member list.
	// Both may be nil.
	PathCut        func(from, to sched.Member) bool
	LogUnreachable func(m sched.Member) bool
	// Total is the sum over all instances, Worst the maximum of one instance in
	// one second, for each field.
	Total ByteCounts
	Worst ByteCounts
	// Exchanges counts heartbeat exchanges, each once at either end.
	Exchanges int

	list        []sched.Member
	random      *rand.Rand
	now         time.Time
	nodes       []*node
	byID        map[sched.InstanceID]*node
	stream      []sched.Record
	document    config.Document
	changesMade int
}

type node struct {
	self            sched.Member
	table           *member.Table
	quotas          *quota.Splitter
	replay          *versn.Replay
	counts          []quota.Count
	rates           []float64
	spentThisSecond ByteCounts
	logReached      time.Time
	lastHeartbeat   map[sched.InstanceID]sched.Heartbeat
}

// Prepare appends the first document and creates the instances, each with the
// full member list. It is called once, before Run.
func (s *Sim) Prepare() {
	s.appendPatch(s.First.Bytes())
	s.random = rand.New(rand.NewPCG(s.Seed, 1))
	s.now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s.byID = map[sched.InstanceID]*node{}
	for k := range s.Instances {
		s.list = append(s.list, sched.Member{
			ID: sched.InstanceID(fmt.Sprintf("entry-%03d", k)), Incarnation: 1, Role: sched.RoleEntry,
			State: sched.StateLive, Region: sched.Region(fmt.Sprint("region-", k%s.Centres%5)),
			DataCentre: sched.DataCentre(fmt.Sprint("centre-", k%s.Centres)), Address: fmt.Sprintf("10.0.%d.%d:7400", k/250, k%250),
		})
	}
	for _, m := range s.list {
		n := &node{
			self:          m,
			lastHeartbeat: map[sched.InstanceID]sched.Heartbeat{},
			table:         member.New(s.now, member.Options{Self: m}),
			quotas:        quota.New(quota.Options{Self: m.ID, DataCentre: m.DataCentre}),
			replay:        versn.New(versn.Options{Self: m.ID, Retention: 24 * time.Hour, Decode: codec.DecodeConfig}),
		}
		n.table.ApplyList(s.now, s.list)
		n.quotas.SetTeams(s.Teams)
		for k, t := range s.Teams {
			n.counts = append(n.counts, quota.Count{Team: t.Name})
			// At each instance a team is idle with probability one half; else its
			// rate varies over two orders of magnitude. The mean factor of both
			// cases together is 1.07.
			rate := 0.0
			if s.random.IntN(2) == 0 {
				rate = t.Requests / float64(s.Instances) * math.Pow(10, 2*s.random.Float64()-1)
			}
			if s.Flooded(k) {
				rate *= 5
			} else {
				rate *= 0.4
			}
			n.rates = append(n.rates, rate)
		}
		s.nodes = append(s.nodes, n)
		s.byID[m.ID] = n
	}
}

// Run advances the fleet by a number of seconds.
func (s *Sim) Run(seconds int) {
	for k := range seconds {
		s.now = s.now.Add(time.Second)
		changes := 0
		if s.random.Float64() < float64(s.ChangesADay)/86400 {
			changes = 1
		}
		if k == seconds/2 {
			changes += s.Burst
		}
		s.appendChanges(changes)
		for _, n := range s.nodes {
			s.offerRequests(n)
			n.spentThisSecond = ByteCounts{}
		}
		for _, n := range s.nodes {
			s.exchange(n)
			s.pollLog(n)
			n.table.Tick(s.now)
			v := n.table.View()
			n.quotas.Parts(s.now, v.EntryCount(), v.MaxEntryCount())
		}
		for _, n := range s.nodes {
			s.Total = ByteCounts{s.Total.Heartbeats + n.spentThisSecond.Heartbeats, s.Total.Demand + n.spentThisSecond.Demand, s.Total.Config + n.spentThisSecond.Config}
			s.Worst = ByteCounts{max(s.Worst.Heartbeats, n.spentThisSecond.Heartbeats), max(s.Worst.Demand, n.spentThisSecond.Demand), max(s.Worst.Config, n.spentThisSecond.Config)}
		}
	}
}

// appendChanges appends n patches that change one value each, as an operator's
// tool does.
func (s *Sim) appendChanges(n int) {
	for range n {
		s.changesMade++
		s.appendPatch(fmt.Appendf(nil, `{"teams":{"team-%03d":{"requests":%d}}}`, s.changesMade%170, 1000+s.changesMade))
	}
}

// appendPatch appends a patch based on the newest version, even if no instance
// has read that version yet.
func (s *Sim) appendPatch(changes []byte) {
	p, err := config.DecodePatch(changes)
	if err == nil {
		s.document, err = s.document.Apply(p)
	}
	if err != nil {
		panic(err)
	}
	data, err := codec.EncodeConfig(versn.Entry{Patch: &versn.Patch{
		ID: fmt.Sprintf("0197f3c2-0000-7000-8000-%012d", s.changesMade), Base: sched.Offset(len(s.stream)), Operator: "operator@example",
		Changes: changes, Hash: s.document.Hash(),
	}})
	if err != nil {
		panic(err)
	}
	s.stream = append(s.stream, sched.Record{Offset: sched.Offset(len(s.stream) + 1), Data: data})
}

// offerRequests draws the requests of one second. Each rate follows a random walk.
func (s *Sim) offerRequests(n *node) {
	for k := range n.counts {
		n.rates[k] *= math.Exp(0.02 * s.random.NormFloat64())
		got := int64(max(0, n.rates[k]+math.Sqrt(n.rates[k])*s.random.NormFloat64()+0.5))
		n.counts[k].Offered += got
		n.counts[k].Admitted += got
	}
	n.quotas.Sample(s.now, n.counts)
}

func (s *Sim) isCut(from, to *node) bool { return s.PathCut != nil && s.PathCut(from.self, to.self) }

func (s *Sim) exchange(n *node) {
	for _, c := range n.table.Contacts(s.now) {
		p := s.byID[c.ID]
		spent := s.send(n, p)
		answer := ByteCounts{}
		lost := s.isCut(n, p)
		if !lost {
			answer = s.send(p, n)
			lost = s.isCut(p, n)
		}
		if lost {
			n.table.RecordFailedContact(s.now, c.ID, c.Incarnation)
			n.quotas.HeartbeatFailed(c.ID, c.DataCentre)
		}
		s.Exchanges += 2
		for _, m := range []*node{n, p} {
			m.spentThisSecond.Heartbeats += spent.Heartbeats + answer.Heartbeats + s.Overhead.Heartbeat
			m.spentThisSecond.Demand += spent.Demand + answer.Demand
		}
	}
}

// send encodes and decodes one heartbeat, delivers it unless the path is cut,
// and returns the bytes sent.
func (s *Sim) send(from, to *node) ByteCounts {
	w, plain := s.heartbeat(from, to)
	data, err := proto.Marshal(w)
	if err != nil {
		panic(err)
	}
	spent := ByteCounts{Heartbeats: plain, Demand: len(data) - plain}
	if s.isCut(from, to) {
		return spent
	}
	got := &pb.Heartbeat{}
	if err := proto.Unmarshal(data, got); err != nil {
		panic(err)
	}
	h := sched.Heartbeat{
		From: sched.InstanceID(got.From), Incarnation: 1, DataCentre: sched.DataCentre(got.DataCentre), Region: sched.Region(got.Region),
		Address: got.Address, State: sched.StateLive, Version: sched.Offset(got.Version), SentAt: time.Unix(0, got.SentAt), LogReached: time.Unix(0, got.LogReached),
		Demand: demandFromWire(got.Demand), Config: codec.NewsFromWire(got.Config), Unheard: got.Unheard, Partial: got.Partial,
	}
	for _, a := range got.Areas {
		h.Areas = append(h.Areas, sched.AreaDemand{
			DataCentre: sched.DataCentre(a.DataCentre), Instances: int(a.Instances), AsOf: time.Unix(0, a.AsOf), Partial: a.Partial, Demand: demandFromWire(a.Demand),
		})
	}
	s.receive(to, from, h)
	return spent
}

// heartbeat returns the message and its size without demand reports in bytes.
func (s *Sim) heartbeat(from, to *node) (*pb.Heartbeat, int) {
	v, _ := from.replay.InForce()
	last := from.lastHeartbeat[to.self.ID]
	w := &pb.Heartbeat{
		From: string(from.self.ID), Incarnation: 1, DataCentre: string(from.self.DataCentre),
		Region: string(from.self.Region), Address: from.self.Address, State: int32(sched.StateLive),
		SentAt: s.now.UnixNano(), Version: int64(v), TaskApplied: 1_000_000, TermSeen: 999_000, LogReached: from.logReached.UnixNano(),
		Unheard: from.quotas.Unheard(s.now, to.self.ID, to.self.DataCentre), Partial: from.quotas.Partial(s.now),
	}
	w.Config = codec.NewsToWire(from.replay.News(s.now, last.SentAt, last))
	plain := proto.Size(w)
	demand, areas := from.quotas.HeartbeatDemand(s.now, to.self.ID, to.self.DataCentre)
	w.Demand = demandToWire(demand)
	for _, a := range areas {
		w.Areas = append(w.Areas, &pb.AreaDemand{
			DataCentre: string(a.DataCentre), Instances: int32(a.Instances), AsOf: a.AsOf.UnixNano(), Partial: a.Partial, Demand: demandToWire(a.Demand),
		})
	}
	return w, plain
}

func (s *Sim) receive(n, from *node, h sched.Heartbeat) {
	n.lastHeartbeat[h.From] = h
	n.table.ApplyHeartbeat(s.now, h)
	n.quotas.ApplyHeartbeat(s.now, h)
	n.replay.PeerReported(s.now, h.Version)
	n.replay.TakeNews(h.Config)
	if !n.replay.ShouldFetchCopy(s.now, h.Version) || s.isCut(n, from) || !from.replay.ShouldServeCopy(s.now) {
		return
	}
	c := from.replay.Copy()
	n.replay.TakeCopy(c)
	for _, m := range []*node{n, from} {
		m.spentThisSecond.Config += len(c.Document) + s.Overhead.Heartbeat
	}
}

func demandToWire(all []sched.TeamDemand) []*pb.TeamDemand {
	out := make([]*pb.TeamDemand, 0, len(all))
	for _, d := range all {
		out = append(out, &pb.TeamDemand{Team: d.Team, Offered: float32(d.Offered), Admitted: float32(d.Admitted)})
	}
	return out
}

func demandFromWire(all []*pb.TeamDemand) []sched.TeamDemand {
	out := make([]sched.TeamDemand, 0, len(all))
	for _, d := range all {
		out = append(out, sched.TeamDemand{Team: d.Team, Offered: float64(d.Offered), Admitted: float64(d.Admitted)})
	}
	return out
}

// pollLog reads the configuration stream through the JSON encoding of the log,
// and the member list when it is due.
func (s *Sim) pollLog(n *node) {
	if s.LogUnreachable != nil && s.LogUnreachable(n.self) {
		return
	}
	n.logReached = s.now
	if s.now.Unix()%listPause == 0 {
		n.table.ApplyList(s.now, s.list)
	}
	from := n.replay.Next()
	end := sched.Offset(len(s.stream) + 1)
	to := min(from+sched.Offset(n.replay.Limit()), end)
	data, err := pjson.EncodePage(sched.Page{Records: s.stream[from-1 : max(from, to)-1], Earliest: 1, Next: end})
	if err != nil {
		panic(err)
	}
	p, err := pjson.DecodePage(data)
	if err != nil {
		panic(err)
	}
	n.replay.LogReached(s.now)
	n.replay.Page(s.now, p)
	n.spentThisSecond.Config += len(data) + s.Overhead.Read
}
