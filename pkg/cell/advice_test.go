package cell_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// ticketValidity is how long the tickets of the advisor in the tests are valid.
const ticketValidity = 10 * time.Second

// advisedRig is a rig with an advisor that gives tickets for the permitted workers.
type advisedRig struct {
	*rig
	permitted []sched.InstanceID
	// asked holds the workers of all questions.
	asked []sched.InstanceID
}

// newAdvisedRig returns a rig with n workers.
func newAdvisedRig(t *testing.T, n int, permitted ...sched.InstanceID) *advisedRig {
	r := &advisedRig{newRig(t), permitted, nil}
	r.listFirst(n)
	return r
}

// submitAdvised submits job "a" with a step for which the queue needs advice.
func (r *advisedRig) submitAdvised(s sched.Step) {
	j := job("a", s)
	j.Queue.Advice = &sched.AdviceSettings{}
	r.submit(j)
}

// run lets the advisor answer each question after 100 ms and returns the starts.
func (r *advisedRig) run(d time.Duration) []cell.StartCall {
	var out []cell.StartCall
	for end := r.now.Add(d); r.now.Before(end); {
		r.commit()
		calls := r.effects.Advice
		r.effects.Advice = nil
		sent := r.now
		r.pass(100 * time.Millisecond)
		for _, c := range calls {
			var tickets []sched.Ticket
			for _, id := range c.Workers {
				r.asked = append(r.asked, id)
				if slices.Contains(r.permitted, id) {
					tickets = append(tickets, sched.Ticket{Worker: id, Text: "t"})
				}
			}
			r.planner.Advised(r.now, cell.AdviceResult{Call: c, Sent: sent, Received: r.now, Tickets: tickets, Validity: ticketValidity})
		}
		for _, l := range slices.Clone(r.effects.Leases) {
			r.exchange(l.Worker.ID, sched.LeaseAnswer{}, nil)
		}
		r.commit()
		out = append(out, r.starts()...)
	}
	return out
}

func (r *advisedRig) askedAbout(id sched.InstanceID) int {
	n := 0
	for _, x := range r.asked {
		if x == id {
			n++
		}
	}
	return n
}

// gangOf returns a gang of n tasks, each on a worker of its own.
func gangOf(n int) sched.Step {
	s := step()
	s.Gang, s.Tasks, s.PerWorker = true, n, 1
	return s
}

// Guards against a gang that waits for the end of its tickets, since these don't suffice
// and further workers aren't asked about.
func TestAGangAsksAboutFurtherWorkersWhileItsTicketsDoNotSuffice(t *testing.T) {
	i := is.New(t)
	// A question has at most 30 workers: first w1, w10, w11 and so on, then w4 to w9.
	r := newAdvisedRig(t, 40, "w1", "w8", "w9")
	r.submitAdvised(gangOf(3))
	starts := r.run(time.Second)
	i.Equal(len(starts), 3)
	for _, s := range starts {
		i.Equal(s.Order.Ticket, "t")
	}
	i.Equal(r.askedAbout("w1"), 1) // its ticket is kept
	i.Equal(len(r.asked), 40)
}

// Guards against questions about workers that can't help, since the gang lacks room.
func TestAGangWithoutRoomAsksOnlyOnceInTheTimeOfATicket(t *testing.T) {
	i := is.New(t)
	r := newAdvisedRig(t, 40, "w1")
	r.submitAdvised(gangOf(41))
	i.Equal(len(r.run(9*time.Second)), 0)
	i.Equal(len(r.asked), 30)
}

// Guards against a ticket that is used after its end, or asked for again before it, since
// tickets of the same step end at another time.
func TestATicketEndsWithItsOwnValidity(t *testing.T) {
	i := is.New(t)
	r := newAdvisedRig(t, 3, "w1", "w2")
	r.planner.Unlisted(r.now, "w2")
	r.planner.Unlisted(r.now, "w3")
	r.submitAdvised(gangOf(3))
	r.run(6 * time.Second)
	i.Equal(r.asked, []sched.InstanceID{"w1"})
	r.planner.Listed(r.now, worker(2))
	r.planner.Listed(r.now, worker(3))
	i.Equal(len(r.run(5*time.Second)), 0)
	i.Equal(r.asked, []sched.InstanceID{"w1", "w2", "w3"})
	w := worker(3)
	w.Incarnation = 2
	r.planner.Listed(r.now, w)
	r.permitted = append(r.permitted, "w3")
	i.Equal(len(r.run(time.Second)), 3)
	i.Equal(r.asked, []sched.InstanceID{"w1", "w2", "w3", "w1", "w3"})
}

// Guards against a worker that is never asked about again, though it has restarted since
// it was refused and may be of another kind; and against tickets of before a restart.
func TestAdviceEndsWithTheIncarnationOfTheWorker(t *testing.T) {
	rows := []struct {
		name          string
		before, after []sched.InstanceID // the permitted workers
		starts        int
	}{
		{"refused before", nil, []sched.InstanceID{"w1"}, 1},
		{"permitted before", []sched.InstanceID{"w1"}, nil, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			i := is.New(t)
			r := newAdvisedRig(t, 1, row.before...)
			r.submitAdvised(gangOf(1))
			r.commit()
			r.now = r.now.Add(10 * time.Millisecond)
			call := r.effects.Advice[0]
			r.effects.Advice = nil
			var tickets []sched.Ticket
			for _, id := range row.before {
				tickets = append(tickets, sched.Ticket{Worker: id, Text: "t"})
			}
			r.planner.Advised(r.now, cell.AdviceResult{Call: call, Sent: r.now, Received: r.now, Tickets: tickets, Validity: ticketValidity})
			w := worker(1)
			w.Incarnation = 2
			r.planner.Listed(r.now, w)
			r.permitted = row.after
			i.Equal(len(r.run(2*time.Second)), row.starts)
			i.Equal(r.asked, []sched.InstanceID{"w1"})
		})
	}
}

// Guards against starts that the worker refuses, over and over, since the advisor's answer
// names the worker and has no ticket for it.
func TestAnEmptyTicketIsNone(t *testing.T) {
	i := is.New(t)
	r := newAdvisedRig(t, 1)
	r.submitAdvised(step())
	r.commit()
	call := r.effects.Advice[0]
	r.effects.Advice = nil
	r.planner.Advised(r.now, cell.AdviceResult{
		Call: call, Sent: r.now, Received: r.now, Tickets: []sched.Ticket{{Worker: "w1"}}, Validity: ticketValidity,
	})
	i.Equal(len(r.run(time.Second)), 0)
	i.Equal(len(r.asked), 0)
}
