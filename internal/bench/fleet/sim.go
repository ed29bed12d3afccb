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

// Overhead is the number of bytes of HTTP besides the payload.
type Overhead struct {
	// Beat is that of one exchange of heartbeats, both ways.
	Beat int
	// Read is that of one read of the log, both ways.
	Read int
}

// listPause is the time between two reads of the list in seconds.
const listPause = 10

// Spent is a number of bytes by what they are for.
type Spent struct{ Beats, Demand, Config int }

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
	// Flooded tells which teams offer about five times their quota; the others
	// offer two fifths of it.
	Flooded func(team int) bool
	// Cut tells whether messages from one instance to another get lost, NoLog
	// whether an instance reaches neither the log nor the list. Both may be nil.
	Cut   func(from, to sched.Member) bool
	NoLog func(m sched.Member) bool
	// Total is what all instances spent, Worst the most of one instance in one
	// second.
	Total Spent
	Worst Spent
	// Exchanges counts the exchanges of all instances, each at both ends.
	Exchanges int

	list   []sched.Member
	random *rand.Rand
	now    time.Time
	nodes  []*node
	byID   map[sched.InstanceID]*node
	stream []sched.Record
	doc    config.Document
	asked  int
}

type node struct {
	self   sched.Member
	table  *member.Table
	book   *quota.Splitter
	replay *versn.Replay
	counts []quota.Count
	rates  []float64
	second Spent
	// logReached, versions and reached are what heartbeats and news need.
	logReached time.Time
	heard      map[sched.InstanceID]sched.Heartbeat
}

// Prepare makes the instances. Every one knows the list.
func (s *Sim) Prepare() {
	s.append(s.First.Bytes())
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
			self:   m,
			heard:  map[sched.InstanceID]sched.Heartbeat{},
			table:  member.New(s.now, member.Options{Self: m}),
			book:   quota.New(quota.Options{Self: m.ID, DataCentre: m.DataCentre}),
			replay: versn.New(versn.Options{Self: m.ID, Retention: 24 * time.Hour, Decode: codec.DecodeConfig}),
		}
		n.table.ApplyList(s.now, s.list)
		n.book.SetTeams(s.Teams)
		for k, t := range s.Teams {
			n.counts = append(n.counts, quota.Count{Team: t.Name})
			// Half of the teams are idle here; the others offer more or less,
			// over two orders of magnitude. The mean of the factor is 1.07.
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

// Run moves the fleet on by a number of seconds.
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
		s.change(changes)
		for _, n := range s.nodes {
			s.offer(n)
			n.second = Spent{}
		}
		for _, n := range s.nodes {
			s.exchange(n)
			s.read(n)
			n.table.Tick(s.now)
			v := n.table.View()
			n.book.Parts(s.now, v.EntryCount(), v.MaxEntryCount())
		}
		for _, n := range s.nodes {
			s.Total = Spent{s.Total.Beats + n.second.Beats, s.Total.Demand + n.second.Demand, s.Total.Config + n.second.Config}
			s.Worst = Spent{max(s.Worst.Beats, n.second.Beats), max(s.Worst.Demand, n.second.Demand), max(s.Worst.Config, n.second.Config)}
		}
	}
}

// change appends patches of one value each, like those of an operator's tool.
func (s *Sim) change(n int) {
	for range n {
		s.asked++
		s.append(fmt.Appendf(nil, `{"teams":{"team-%03d":{"requests":%d}}}`, s.asked%170, 1000+s.asked))
	}
}

// append adds a patch to the newest version. The chain goes on although nobody
// may have read its end.
func (s *Sim) append(changes []byte) {
	p, err := config.DecodePatch(changes)
	if err == nil {
		s.doc, err = s.doc.Apply(p)
	}
	if err != nil {
		panic(err)
	}
	data, err := codec.EncodeConfig(versn.Entry{Patch: &versn.Patch{
		ID: fmt.Sprintf("0197f3c2-0000-7000-8000-%012d", s.asked), Base: sched.Offset(len(s.stream)), Operator: "operator@example",
		Changes: changes, Hash: s.doc.Hash(),
	}})
	if err != nil {
		panic(err)
	}
	s.stream = append(s.stream, sched.Record{Offset: sched.Offset(len(s.stream) + 1), Data: data})
}

// offer draws the requests of a second from a rate that drifts.
func (s *Sim) offer(n *node) {
	for k := range n.counts {
		n.rates[k] *= math.Exp(0.02 * s.random.NormFloat64())
		got := int64(max(0, n.rates[k]+math.Sqrt(n.rates[k])*s.random.NormFloat64()+0.5))
		n.counts[k].Offered += got
		n.counts[k].Admitted += got
	}
	n.book.Sample(s.now, n.counts)
}

func (s *Sim) cut(from, to *node) bool { return s.Cut != nil && s.Cut(from.self, to.self) }

func (s *Sim) exchange(n *node) {
	for _, c := range n.table.Contacts(s.now) {
		p := s.byID[c.ID]
		spent := s.send(n, p)
		answer := Spent{}
		lost := s.cut(n, p)
		if !lost {
			answer = s.send(p, n)
			lost = s.cut(p, n)
		}
		if lost {
			n.table.RecordFailedContact(s.now, c.ID, c.Incarnation)
			n.book.HeartbeatFailed(c.ID, c.DataCentre)
		}
		s.Exchanges += 2
		for _, m := range []*node{n, p} {
			m.second.Beats += spent.Beats + answer.Beats + s.Overhead.Beat
			m.second.Demand += spent.Demand + answer.Demand
		}
	}
}

// send passes one heartbeat through its encoding.
func (s *Sim) send(from, to *node) Spent {
	w, plain := s.heartbeat(from, to)
	data, err := proto.Marshal(w)
	if err != nil {
		panic(err)
	}
	spent := Spent{Beats: plain, Demand: len(data) - plain}
	if s.cut(from, to) {
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
	s.hear(to, from, h)
	return spent
}

// heartbeat returns the message and its size without demand.
func (s *Sim) heartbeat(from, to *node) (*pb.Heartbeat, int) {
	v, _ := from.replay.InForce()
	last := from.heard[to.self.ID]
	w := &pb.Heartbeat{
		From: string(from.self.ID), Incarnation: 1, DataCentre: string(from.self.DataCentre),
		Region: string(from.self.Region), Address: from.self.Address, State: int32(sched.StateLive),
		SentAt: s.now.UnixNano(), Version: int64(v), TaskApplied: 1_000_000, TermSeen: 999_000, LogReached: from.logReached.UnixNano(),
		Unheard: from.book.Unheard(s.now, to.self.ID, to.self.DataCentre), Partial: from.book.Partial(s.now),
	}
	w.Config = codec.NewsToWire(from.replay.News(s.now, last.SentAt, last))
	plain := proto.Size(w)
	demand, areas := from.book.HeartbeatDemand(s.now, to.self.ID, to.self.DataCentre)
	w.Demand = demandToWire(demand)
	for _, a := range areas {
		w.Areas = append(w.Areas, &pb.AreaDemand{
			DataCentre: string(a.DataCentre), Instances: int32(a.Instances), AsOf: a.AsOf.UnixNano(), Partial: a.Partial, Demand: demandToWire(a.Demand),
		})
	}
	return w, plain
}

func (s *Sim) hear(n, from *node, h sched.Heartbeat) {
	n.heard[h.From] = h
	n.table.ApplyHeartbeat(s.now, h)
	n.book.ApplyHeartbeat(s.now, h)
	n.replay.PeerReported(s.now, h.Version)
	n.replay.TakeNews(h.Config)
	if !n.replay.ShouldFetchCopy(s.now, h.Version) || s.cut(n, from) || !from.replay.ShouldServeCopy(s.now) {
		return
	}
	c := from.replay.Copy()
	n.replay.TakeCopy(c)
	for _, m := range []*node{n, from} {
		m.second.Config += len(c.Document) + s.Overhead.Beat
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

// read polls the config stream through the JSON of the log.
func (s *Sim) read(n *node) {
	if s.NoLog != nil && s.NoLog(n.self) {
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
	n.second.Config += len(data) + s.Overhead.Read
}
