package evac_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/parsleybarrow/parsleybarrow/pkg/evac"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

var epoch = time.Date(2026, 12, 7, 12, 0, 0, 0, time.UTC)

// Guards against a set that differs from the store's after reads in pages that aren't a
// snapshot, after records that were compacted away, and after records that come again late.
func TestTheSetIsThatOfTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []sched.Evacuation
		write := func() {
			d := sched.DataCentre(fmt.Sprint("dc", rapid.IntRange(0, 2).Draw(t, "data centre")))
			history = append(history, sched.Evacuation{DataCentre: d, InForce: rapid.Bool().Draw(t, "in force"), Offset: sched.Offset(len(history))})
		}
		newest := func(d sched.DataCentre) (sched.Evacuation, bool) {
			for _, e := range slices.Backward(history) {
				if e.DataCentre == d {
					return e, e.InForce
				}
			}
			return sched.Evacuation{}, false
		}
		var s *evac.Set
		next := sched.Offset(0)
		now := epoch
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Second)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				write()
			case 2: // each key is on a page of its own, and records are appended between the pages
				end := sched.Offset(len(history))
				var found []sched.Evacuation
				for k := range 3 {
					if e, inForce := newest(sched.DataCentre(fmt.Sprint("dc", k))); inForce {
						found = append(found, e)
					}
					if rapid.IntRange(0, 3).Draw(t, "meanwhile") == 0 {
						write()
					}
				}
				s, next = s.WithFullRead(now, now, found, end), end
			case 3:
				end := min(sched.Offset(len(history)), next+sched.Offset(rapid.IntRange(0, 4).Draw(t, "records")))
				s = s.WithAppended(now, now, history[next:end], end)
				if s != nil {
					next = end
				}
				if s != nil && end > 0 { // records that come again change nothing
					again := s.WithAppended(now, now, history[:end], end)
					if !slices.Equal(again.DataCentres(), s.DataCentres()) {
						t.Fatalf("%v after old records, before %v", again.DataCentres(), s.DataCentres())
					}
				}
			}
		}
		end := sched.Offset(len(history))
		if s == nil {
			s = s.WithFullRead(now, now, nil, 0)
		}
		s = s.WithAppended(now, now, history[next:], end)
		for k := range 3 {
			d := sched.DataCentre(fmt.Sprint("dc", k))
			if _, want := newest(d); s.Covers(d) != want {
				t.Fatalf("%s evacuated: %v, by the store: %v; history %v", d, s.Covers(d), want, history)
			}
		}
	})
}

// Guards against an evacuation that stays in force though a read of all records lacks its
// key, and against an older read that ends one.
func TestAReadOfAllRecordsReplacesTheSet(t *testing.T) {
	i := is.New(t)
	var s *evac.Set
	s = s.WithAppended(epoch, epoch, []sched.Evacuation{{DataCentre: "a", InForce: true}}, 1)
	i.Equal(s, nil) // earlier records aren't known
	s = s.WithFullRead(epoch, epoch, []sched.Evacuation{{DataCentre: "a", InForce: true, Offset: 7}}, 8)
	i.True(s.Covers("a"))
	i.Equal(s.WithFullRead(epoch, epoch, nil, 5).DataCentres(), []sched.DataCentre{"a"})
	s = s.WithFullRead(epoch, epoch, nil, 9)
	i.Equal(len(s.DataCentres()), 0)
	old := []sched.Evacuation{{DataCentre: "b", InForce: true, Offset: 3}}
	i.Equal(len(s.WithFullRead(epoch, epoch, old, 5).DataCentres()), 0)
	i.True(s.WithAppended(epoch, epoch, []sched.Evacuation{{DataCentre: "a", InForce: true, Offset: 9}}, 10).Covers("a"))
}

// Guards against an evacuation that is out of force for a moment: its record was found by a
// read of all records, and an earlier withdrawal is passed on afterwards.
func TestAnEarlierWithdrawalChangesNothing(t *testing.T) {
	i := is.New(t)
	var s *evac.Set
	s = s.WithFullRead(epoch, epoch, []sched.Evacuation{{DataCentre: "a", InForce: true, Offset: 12}}, 10)
	i.True(s.WithAppended(epoch, epoch, []sched.Evacuation{{DataCentre: "a", Offset: 11}}, 12).Covers("a"))
}

// Guards against starts by a planner that can't know of a new evacuation, and against a
// deployment without evacuations that is stopped for as long as only reads fail.
func TestStartsAreHeldWhileReadsFail(t *testing.T) {
	var none *evac.Set
	empty := none.WithFullRead(epoch, epoch, nil, 3)
	one := none.WithFullRead(epoch, epoch, []sched.Evacuation{{DataCentre: "a", InForce: true}}, 3)
	withdrawn := one.WithFullRead(epoch, epoch, nil, 4)
	const limit = 5 * time.Second
	rows := []struct {
		name string
		set  *evac.Set
		age  time.Duration
		held bool
	}{
		{"before the first read", none, 0, true},
		{"in time", one, 3999 * time.Millisecond, false},
		{"too old", one, 4 * time.Second, true},
		{"too old for a minute", one, time.Minute, true},
		{"too old for a minute, withdrawn", withdrawn, time.Minute, true},
		{"never an evacuation, too old", empty, 4 * time.Second, true},
		{"never an evacuation, too old for long", empty, 8 * time.Second, false},
		{"a read that was sent later", one.WithAppended(epoch.Add(time.Minute), epoch.Add(time.Minute), nil, 3), time.Minute, false},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) { is.New(t).Equal(r.set.Held(epoch.Add(r.age), limit), r.held) })
	}
}
