package dedup_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/parsleybarrow/parsleybarrow/pkg/dedup"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	window = time.Hour
	bound  = 2 * time.Second
	// retention is how long the model's log keeps records.
	retention = window + 10*bound
)

// attempt is one request of a caller to an instance under an id.
type attempt struct {
	id    dedup.ID
	claim dedup.Claim
	code  sched.Code
	// sent is set once the instance has sent the request to the backend server.
	sent bool
}

// member is one instance with its own clock and its own position in the log.
type member struct {
	holder   *dedup.Holder
	skew     time.Duration
	waiting  map[uint64]*attempt
	granted  []*attempt
	inFlight *dedup.Batch
	added    dedup.AppendResult
}

// model simulates the log, the instances, the callers, and a backend server that
// counts the runs of each id. Apart from the holders under test it shares no code
// with the replay.
type model struct {
	now      time.Time
	log      []dedup.Batch
	trimmed  int
	delayed  []dedup.Batch
	down     bool
	members  []*member
	attempts []*attempt
	ids      []dedup.ID
	times    map[dedup.ID]time.Time
	runs     map[dedup.ID]int
	// answers holds, by id, the position of the answer that the run produced.
	answers map[dedup.ID]dedup.AnswerRef
	// network holds requests that an instance has sent and that may run at any
	// time.
	network    []*attempt
	nonce      uint64
	idsCreated int
	// mayKill allows instances to crash. A crash can lose abandoned entries, so
	// only runs without crashes check that refused ids become free.
	mayKill bool
}

func newModel() *model {
	m := &model{
		now: time.UnixMilli(1_800_000_000_000), times: map[dedup.ID]time.Time{},
		runs: map[dedup.ID]int{}, answers: map[dedup.ID]dedup.AnswerRef{},
	}
	for range 3 {
		m.members = append(m.members, m.start())
	}
	return m
}

func (m *model) start() *member {
	h := &dedup.Holder{Incarnation: 1, Nonce: func() uint64 { m.nonce++; return m.nonce }}
	h.Window, h.ClockBound = window, bound
	return &member{holder: h, waiting: map[uint64]*attempt{}}
}

func (m *model) member(t *rapid.T) *member {
	return m.members[rapid.IntRange(0, len(m.members)-1).Draw(t, "instance")]
}

func (e *member) now(m *model) time.Time { return m.now.Add(e.skew) }

// claim sends a request under a new or a recently used id to an instance.
func (m *model) claim(t *rapid.T) {
	if len(m.ids) == 0 || rapid.IntRange(0, 5).Draw(t, "new") == 0 {
		m.idsCreated++
		u := uuid.UUID{0: byte(m.idsCreated >> 8), 1: byte(m.idsCreated), 6: 0x70, 8: 0x80}
		i := dedup.MakeID("tunog", u)
		m.ids = append(m.ids, i)
		m.times[i] = m.now
	}
	recent := m.ids[max(0, len(m.ids)-3):]
	i := rapid.SampledFrom(recent).Draw(t, "id")
	e := m.member(t)
	a := &attempt{id: i}
	m.attempts = append(m.attempts, a)
	v, decided := e.holder.Claim(i, m.times[i], e.now(m))
	a.claim = v.Claim
	if decided {
		m.settle(t, e, a, v)
		return
	}
	e.waiting[v.Claim.Nonce] = a
}

// settle checks a verdict and records it for the attempt.
func (m *model) settle(t *rapid.T, e *member, a *attempt, v dedup.Verdict) {
	if v.Granted {
		e.granted = append(e.granted, a)
		return
	}
	a.code = v.Code
	if (v.Code == sched.CodeAnsweredBefore) && (m.runs[a.id] != 1 || v.Answer != m.answers[a.id]) {
		t.Fatalf("kept answer %v, but the run of the id gave %v in %d runs", v.Answer, m.answers[a.id], m.runs[a.id])
	}
}

func (m *model) settleAll(t *rapid.T, e *member, verdicts []dedup.Verdict) {
	for _, v := range verdicts {
		a := e.waiting[v.Claim.Nonce]
		if a == nil {
			t.Fatalf("verdict on a claim that isn't waiting: %+v", v)
		}
		delete(e.waiting, v.Claim.Nonce)
		m.settle(t, e, a, v)
	}
}

// startAppend starts the append of an instance's next record. The record may be
// added at once, later or never.
func (m *model) startAppend(t *rapid.T) {
	e := m.member(t)
	b, ok := e.holder.Next(e.now(m))
	if !ok {
		return
	}
	e.inFlight, e.added = &b, dedup.AppendSucceeded
	if m.down {
		e.added = dedup.AppendFailed
		return
	}
	switch rapid.IntRange(0, 7).Draw(t, "fate") {
	case 0:
		e.added = dedup.AppendFailed
		return
	case 1:
		e.added = dedup.AppendUncertain
		return
	case 2:
		e.added = dedup.AppendUncertain
		m.delayed = append(m.delayed, b)
		return
	case 3:
		e.added = dedup.AppendUncertain
	}
	m.log = append(m.log, b)
}

// endAppend reports the result of the append to the instance, which is uncertain
// if the acknowledgement was lost.
func (m *model) endAppend(t *rapid.T) {
	if e := m.member(t); e.inFlight != nil {
		e.inFlight = nil
		m.settleAll(t, e, e.holder.Appended(e.added, e.now(m)))
	}
}

// land adds the oldest delayed record to the log.
func (m *model) land(*rapid.T) {
	if len(m.delayed) > 0 {
		m.log = append(m.log, m.delayed[0])
		m.delayed = m.delayed[1:]
	}
}

// read lets an instance read some records of the log, skipping trimmed ones.
func (m *model) read(t *rapid.T) {
	e := m.member(t)
	n := rapid.IntRange(1, 8).Draw(t, "records")
	for at := int(e.holder.Table.Next()) - 1; at < len(m.log) && n > 0; n-- {
		at = max(at, m.trimmed)
		if at == len(m.log) {
			e.holder.SkipTrimmed(sched.Offset(at+1), nil, e.now(m))
			break
		}
		e.holder.SkipTrimmed(sched.Offset(at+1), &m.log[at], e.now(m))
		verdicts, ok := e.holder.Apply(sched.Offset(at+1), m.log[at], e.now(m))
		if !ok {
			t.Fatalf("record %d was not applied", at+1)
		}
		m.settleAll(t, e, verdicts)
		at++
	}
}

// send lets an instance send its oldest granted request, however long ago it was
// granted.
func (m *model) send(t *rapid.T) {
	e := m.member(t)
	if len(e.granted) == 0 {
		return
	}
	a := e.granted[0]
	e.granted = e.granted[1:]
	switch rapid.IntRange(0, 4).Draw(t, "result") {
	case 0: // The backend server refuses the request without running it.
		a.code = e.holder.Abandon(a.claim).Code
		if a.code.Outcome() != sched.OutcomeRefusedNotRun {
			a.code = sched.CodeOverloaded
		}
	case 1: // The answer is lost; the request may run later.
		a.sent, a.code = true, sched.CodeUnknown
		m.network = append(m.network, a)
		e.holder.RecordOutcome(a.claim, sched.OutcomeUnknown, dedup.AnswerRef{})
	default:
		a.sent, a.code = true, sched.CodeAnswered
		m.run(a)
		e.holder.RecordOutcome(a.claim, sched.OutcomeAnswered, m.answers[a.id])
	}
}

func (m *model) run(a *attempt) {
	m.runs[a.id]++
	m.answers[a.id] = dedup.AnswerRef{Offset: sched.Offset(a.claim.Nonce), Index: 1}
}

// runLate runs a request that has been delayed in the network.
func (m *model) runLate(*rapid.T) {
	if len(m.network) > 0 {
		m.run(m.network[0])
		m.network = m.network[1:]
	}
}

// giveUp abandons the oldest undecided claim of an instance.
func (m *model) giveUp(t *rapid.T) {
	e := m.member(t)
	var first *attempt
	for _, a := range e.waiting {
		if first == nil || a.claim.Nonce < first.claim.Nonce {
			first = a
		}
	}
	if first != nil {
		delete(e.waiting, first.claim.Nonce)
		first.code = e.holder.Abandon(first.claim).Code
	}
}

// kill crashes an instance and starts a new one. Granted requests may have been
// sent or may be lost, and the callers get no answer.
func (m *model) kill(t *rapid.T) {
	if !m.mayKill {
		return
	}
	n := rapid.IntRange(0, len(m.members)-1).Draw(t, "killed")
	e := m.members[n]
	for _, a := range e.granted {
		a.code = sched.CodeUnknown
		if a.sent = rapid.Bool().Draw(t, "on its way"); a.sent {
			m.network = append(m.network, a)
		}
	}
	for _, a := range e.waiting {
		a.code = sched.CodeUnknown
	}
	m.members[n] = m.start()
	m.members[n].skew = time.Duration(rapid.IntRange(0, int(bound/time.Millisecond)).Draw(t, "skew")) * time.Millisecond
}

// pass lets time pass and trims the log.
func (m *model) pass(t *rapid.T) {
	steps := []time.Duration{time.Millisecond, time.Second, bound, window / 4, window / 3, window / 2}
	m.now = m.now.Add(rapid.SampledFrom(steps).Draw(t, "time"))
	for m.trimmed < len(m.log) && m.now.Sub(m.log[m.trimmed].WrittenAt) > retention {
		m.trimmed++
	}
}

func (m *model) check(t *rapid.T) {
	for i, n := range m.runs {
		if n > 1 {
			t.Fatalf("id %x ran %d times", i, n)
		}
	}
	totalSteps.Add(1)
}

// finish ends every open attempt and checks that each attempt has an outcome that
// agrees with the runs of its id.
func (m *model) finish(t *rapid.T) {
	for range len(m.network) {
		m.runLate(t)
	}
	m.check(t)
	refused, other := map[dedup.ID]int{}, map[dedup.ID]int{}
	for _, e := range m.members {
		for _, a := range e.waiting {
			a.code = e.holder.Abandon(a.claim).Code
		}
		for _, a := range e.granted {
			a.code = sched.CodeOverloaded
			e.holder.Abandon(a.claim)
		}
	}
	for _, a := range m.attempts {
		switch a.code.Outcome() {
		case sched.OutcomeRefusedNotRun:
			refused[a.id]++
			if a.sent {
				t.Fatalf("id %x was refused as not run after it was sent", a.id)
			}
		case sched.OutcomeAnswered, sched.OutcomeFailed, sched.OutcomeUnknown:
			other[a.id]++
		default:
			t.Fatalf("an attempt of id %x has no outcome, code %d", a.id, a.code)
		}
	}
	for i, n := range m.runs {
		if n > 0 && other[i] == 0 {
			t.Fatalf("id %x ran, but all of its %d attempts were refused as not run", i, refused[i])
		}
	}
}

// checkFree appends everything that is still queued or delayed, replays the whole
// log, and checks that no refused claim still holds its id.
func (m *model) checkFree(t *rapid.T) {
	if m.mayKill {
		return
	}
	m.log = append(m.log, m.delayed...)
	for _, e := range m.members {
		if e.inFlight != nil {
			e.holder.Appended(e.added, e.now(m))
		}
		for b, ok := e.holder.Next(e.now(m)); ok; b, ok = e.holder.Next(e.now(m)) {
			m.log = append(m.log, b)
			e.holder.Appended(dedup.AppendSucceeded, e.now(m))
		}
	}
	// A record that was delayed until now must not claim the id either.
	fresh := m.start().holder
	for n, b := range m.log {
		fresh.Apply(sched.Offset(n+1), b, m.now)
	}
	for _, a := range m.attempts {
		if s := fresh.State(a.id); a.code.Outcome() == sched.OutcomeRefusedNotRun && m.runs[a.id] == 0 &&
			s.Status == dedup.StatusOpen && s.Nonce == a.claim.Nonce {
			t.Fatalf("id %x is held by a claim that was refused with %d", a.id, a.code)
		}
	}
}

var totalSteps atomic.Int64

// Guards against a second run of an unrepeatable id, a "not run" refusal of a request
// that ran, and another run's kept answer, when instances crash or pause, appends are
// lost, late or doubled, the log is down or trimmed, and instances get an id at once.
func TestAtMostOneRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		m.mayKill = rapid.Bool().Draw(t, "instances die")
		t.Repeat(map[string]func(*rapid.T){
			"claim": m.claim, "claimAgain": m.claim, "append": m.startAppend, "acknowledge": m.endAppend,
			"land": m.land, "read": m.read, "readAgain": m.read, "send": m.send, "runLate": m.runLate,
			"giveUp": m.giveUp, "kill": m.kill, "pass": m.pass,
			"outage": func(t *rapid.T) { m.down = rapid.IntRange(0, 3).Draw(t, "down") == 0 },
			"configure": func(t *rapid.T) {
				m.member(t).holder.Window = rapid.SampledFrom([]time.Duration{0, window / 4, window}).Draw(t, "window")
			},
			"adjust": func(t *rapid.T) {
				m.member(t).skew = time.Duration(rapid.IntRange(0, 2000).Draw(t, "skew")) * time.Millisecond
			},
			"": m.check,
		})
		m.finish(t)
		m.checkFree(t)
	})
	t.Logf("%d generated steps", totalSteps.Load())
}
