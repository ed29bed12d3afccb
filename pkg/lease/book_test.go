package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

var epoch = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func atSecond(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }

func newBook() *Tracker {
	b := New(Limits{Lease: 10 * time.Second, ClockBound: time.Second, Isolation: 30 * time.Second})
	b.RecordContact(Contact{List: epoch, Peer: epoch}, epoch)
	b.LogRead(epoch)
	return b
}

// Guards against an attempt that counts as dead while a call of the own term or of
// an earlier one may keep it alive.
func TestLapsed(t *testing.T) {
	for _, c := range []struct {
		name  string
		open  []sched.TermStatus
		ended float64 // when the earlier term ended, 0 if it has not
		sent  float64 // latest deadline, 0 if none
		at    float64
		want  bool
	}{
		{"right after the begin", nil, 0, 0, 10.9, false},
		{"a lease and the bound after the begin", nil, 0, 0, 11.1, true},
		{"own deadline ahead", nil, 0, 20, 20.5, false},
		{"own deadline passed on every clock", nil, 0, 20, 21.1, true},
		{"earlier term open", []sched.TermStatus{{Term: 3}}, 0, 0, 1000, false},
		{"earlier term ended just now", []sched.TermStatus{{Term: 3}}, 50, 0, 60.9, false},
		{"earlier term ended long ago", []sched.TermStatus{{Term: 3}}, 50, 0, 61.1, true},
		{"the own term is not an earlier one", []sched.TermStatus{{Term: 5}}, 0, 0, 11.1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBook()
			b.BeginTerm(5, c.open, epoch)
			if c.sent > 0 {
				b.RecordDeadline("w", atSecond(c.sent))
				b.RecordDeadline("w", atSecond(c.sent-5)) // an earlier deadline changes nothing
			}
			if c.ended > 0 {
				b.EarlierTermEnded(3, atSecond(c.ended))
			}
			is.New(t).Equal(b.LeaseExpired("w", atSecond(c.at)), c.want)
		})
	}
}

// Guards against calls from a planner that was paused, is isolated or has no term,
// and against deadlines later than its last read of the log allows.
func TestNotAfter(t *testing.T) {
	for _, c := range []struct {
		name  string
		setup func(b *Tracker)
		at    float64
		want  float64 // 0 if no call may be made
	}{
		{"anchored at the read", func(*Tracker) {}, 4, 10},
		{"read too old", func(*Tracker) {}, 5, 0},
		{"failed read starts outage mode", func(b *Tracker) { b.LogFailed(atSecond(4)) }, 6, 16},
		{"paused in an outage", func(b *Tracker) { b.LogFailed(atSecond(4)) }, 9, 0},
		{"isolated", func(b *Tracker) { b.LogFailed(atSecond(30)) }, 30, 0},
		{"peer heard in an outage", func(b *Tracker) {
			b.RecordContact(Contact{Peer: atSecond(29)}, atSecond(29))
			b.LogFailed(atSecond(30))
		}, 30, 40},
		{"peer heard after isolation", func(b *Tracker) {
			b.RecordContact(Contact{Peer: atSecond(31)}, atSecond(31))
			b.LogFailed(atSecond(32))
		}, 32, 0},
		{"log read after isolation", func(b *Tracker) {
			b.RecordContact(Contact{Peer: atSecond(31)}, atSecond(31))
			b.LogRead(atSecond(32))
		}, 33, 42},
		{"alone in its data centre", func(b *Tracker) {
			b.RecordContact(Contact{List: epoch, Alone: true}, epoch)
			b.LogFailed(atSecond(300))
		}, 301, 311},
		{"term given up", func(b *Tracker) { b.EndTerm() }, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBook()
			b.BeginTerm(5, nil, epoch)
			c.setup(b)
			got, ok := b.NotAfter(atSecond(c.at))
			is.Equal(ok, c.want != 0)
			if ok {
				is.Equal(got, atSecond(c.want))
			}
		})
	}
}

// Guards against attempts that count as dead too early after the lease was
// shortened, while calls with the longer lease are still valid.
func TestShorterLeaseWaits(t *testing.T) {
	is := is.New(t)
	b := newBook()
	b.BeginTerm(5, nil, epoch)
	b.SetLimits(Limits{Lease: time.Second, ClockBound: time.Second, Isolation: 30 * time.Second})
	is.True(!b.EarlierTermsExpired(atSecond(10.9)))
}
