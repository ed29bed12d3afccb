package lead

import (
	"sync"
	"sync/atomic"
	"time"
)

// lag is the scheduling lag of this process: how late it does what is due, for
// lack of processor time. It is safe for concurrent use.
type lag struct{ nanoseconds atomic.Int64 }

// lagDecay is the factor by which an earlier delay shrinks with each tick.
const lagDecay = 0.9

// observe records by how much a tick was late.
func (l *lag) observe(by time.Duration) {
	old := time.Duration(l.nanoseconds.Load())
	l.nanoseconds.Store(int64(max(by, time.Duration(lagDecay*float64(old)), 0)))
}

// recent returns the maximum of the observed delays, each decayed by its age.
func (l *lag) recent() time.Duration { return time.Duration(l.nanoseconds.Load()) }

// backlog estimates how long a message waits for the planner's actor. It is safe for
// concurrent use.
type backlog struct {
	waiting atomic.Int64 // messages
	mean    atomic.Int64 // exponentially weighted moving average of the time per message, in nanoseconds
}

const (
	// messageWeight is the weight of one message in the mean.
	messageWeight = 0.02
	// maxMessageTime bounds what one message adds to the mean, so that a single pause of the
	// process doesn't make calls appear hopeless.
	maxMessageTime = 20 * time.Millisecond
)

func (b *backlog) posted() { b.waiting.Add(1) }

// handled records that a message took the given time.
func (b *backlog) handled(took time.Duration) {
	b.waiting.Add(-1)
	mean := float64(b.mean.Load())
	b.mean.Store(int64(mean + messageWeight*(float64(min(took, maxMessageTime))-mean)))
}

// estimate returns how long a message that is posted now waits.
func (b *backlog) estimate() time.Duration { return time.Duration(b.waiting.Load() * b.mean.Load()) }

// urgent holds the messages that the planner's actor handles before all others. It is safe
// for concurrent use.
type urgent struct {
	mu       sync.Mutex
	messages []message
}

func (u *urgent) put(m message) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.messages = append(u.messages, m)
}

// take removes the oldest message and returns it, false if there is none.
func (u *urgent) take() (message, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.messages) == 0 {
		return message{}, false
	}
	m := u.messages[0]
	u.messages = u.messages[1:]
	return m, true
}
