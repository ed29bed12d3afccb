package conns

import "time"

const (
	// minSilence is the shortest time without progress after which a connection
	// can count as silent.
	minSilence = 250 * time.Millisecond
	// slowFactor times the longest recent service time is another lower bound
	// of that time, so that the connection of a slow request isn't taken for a
	// silent one.
	slowFactor = 4
	// minSiblingAnswers is the number of answers to requests that were sent on
	// other connections after the last progress of the connection.
	minSiblingAnswers = 3
	// maxServiceTimeDecay is the factor by which the longest recent service
	// time is reduced with each answer.
	maxServiceTimeDecay = 0.99
)

// Conn is the state of one connection.
type Conn struct {
	// aliveAt is the time when bytes last arrived, or when the connection was
	// opened.
	aliveAt time.Time
	// sentAt is the time when the open request was sent, zero if there is none.
	sentAt time.Time
	// lastProgress is the time when the open request was sent or when bytes of
	// its answer last arrived.
	lastProgress time.Time
	// laterAnswers is the number of answers on other connections to requests
	// that were sent after lastProgress.
	laterAnswers int
}

// Tracker holds the connections to one backend server. It isn't safe for
// concurrent use.
type Tracker struct {
	conns map[*Conn]struct{}
	// maxServiceTime is the longest recent service time.
	maxServiceTime time.Duration
}

// Opened adds a connection that was opened now, which proves it alive.
func (t *Tracker) Opened(now time.Time) *Conn {
	if t.conns == nil {
		t.conns = map[*Conn]struct{}{}
	}
	c := &Conn{aliveAt: now}
	t.conns[c] = struct{}{}
	return c
}

// Closed removes a connection. It does nothing for a connection that Finished
// has returned.
func (t *Tracker) Closed(c *Conn) { delete(t.conns, c) }

// Sent records that a request was sent on c.
func (t *Tracker) Sent(c *Conn, now time.Time) {
	c.sentAt, c.lastProgress, c.laterAnswers = now, now, 0
}

// Progress records that bytes of an answer arrived on c.
func (t *Tracker) Progress(c *Conn, now time.Time) {
	c.aliveAt, c.lastProgress, c.laterAnswers = now, now, 0
}

// Finished records that the answer on c is complete, and returns the
// connections that are silent: without progress for long, while at least
// minSiblingAnswers requests that were sent later have been answered on other
// connections. It removes the returned connections, so that each is returned
// once.
func (t *Tracker) Finished(c *Conn, now time.Time) []*Conn {
	sent := c.sentAt
	c.aliveAt, c.sentAt = now, time.Time{}
	if sent.IsZero() {
		return nil
	}
	t.maxServiceTime = max(time.Duration(float64(t.maxServiceTime)*maxServiceTimeDecay), now.Sub(sent))
	quiet := max(minSilence, slowFactor*t.maxServiceTime)
	var silent []*Conn
	for s := range t.conns {
		if s.sentAt.IsZero() || !sent.After(s.lastProgress) {
			continue
		}
		s.laterAnswers++
		if s.laterAnswers >= minSiblingAnswers && now.Sub(s.lastProgress) >= quiet {
			silent = append(silent, s)
			delete(t.conns, s)
		}
	}
	return silent
}

// StopDetection excludes the open request on c from the detection, because its
// progress depends on how fast the caller reads from now on.
func (t *Tracker) StopDetection(c *Conn) { c.sentAt = time.Time{} }

// AliveAt returns the time when c last proved alive.
func (t *Tracker) AliveAt(c *Conn) time.Time { return c.aliveAt }
