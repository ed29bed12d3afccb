package conns

import "time"

const (
	// minQuiet is the shortest time without progress that counts as silence.
	minQuiet = 250 * time.Millisecond
	// slowFactor times the longest recent service time of the siblings is the
	// least quiet time, so that a slow request isn't taken for a silent
	// connection.
	slowFactor = 4
	// siblingAnswers is the number of answers that siblings must have received
	// to requests sent later than the quiet one.
	siblingAnswers = 3
	// slowestDecay is applied to the longest recent service time per answer.
	slowestDecay = 0.99
)

// Conn is the record of one connection.
type Conn struct {
	// alive is when bytes last arrived, or when the connection was opened.
	alive time.Time
	// sent is when the open request was sent, zero if there is none.
	sent time.Time
	// quietSince is the last progress of the open request.
	quietSince time.Time
	// later counts answers to siblings' requests that were sent after
	// quietSince.
	later int
}

// Tracker judges the connections to one backend server. It isn't safe for
// concurrent use.
type Tracker struct {
	conns   map[*Conn]struct{}
	slowest time.Duration
}

// Opened adds a connection that was opened now, which proves it alive.
func (t *Tracker) Opened(now time.Time) *Conn {
	if t.conns == nil {
		t.conns = map[*Conn]struct{}{}
	}
	c := &Conn{alive: now}
	t.conns[c] = struct{}{}
	return c
}

// Closed removes a connection.
func (t *Tracker) Closed(c *Conn) { delete(t.conns, c) }

// Sent tells that a request was sent on c.
func (t *Tracker) Sent(c *Conn, now time.Time) {
	c.sent, c.quietSince, c.later = now, now, 0
}

// Progress tells that bytes of an answer arrived on c.
func (t *Tracker) Progress(c *Conn, now time.Time) {
	c.alive, c.quietSince, c.later = now, now, 0
}

// Finished tells that the answer on c is complete and returns the siblings
// that are silent: without any progress for long, while several requests sent
// later were answered on other connections. A silent connection is returned
// once.
func (t *Tracker) Finished(c *Conn, now time.Time) []*Conn {
	sent := c.sent
	c.alive, c.sent = now, time.Time{}
	if sent.IsZero() {
		return nil
	}
	t.slowest = max(time.Duration(float64(t.slowest)*slowestDecay), now.Sub(sent))
	quiet := max(minQuiet, slowFactor*t.slowest)
	var silent []*Conn
	for s := range t.conns {
		if s.sent.IsZero() || !sent.After(s.quietSince) {
			continue
		}
		s.later++
		if s.later >= siblingAnswers && now.Sub(s.quietSince) >= quiet {
			silent = append(silent, s)
			delete(t.conns, s)
		}
	}
	return silent
}

// Streaming ends the judgement of the open request on c, because its progress
// now depends on how fast the caller reads.
func (t *Tracker) Streaming(c *Conn) { c.sent = time.Time{} }

// AliveAt returns when c last proved alive.
func (t *Tracker) AliveAt(c *Conn) time.Time { return c.alive }
