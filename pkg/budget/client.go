package budget

import (
	"cmp"
	"slices"
	"time"
)

// Stage is what a connection is doing.
type Stage int32

// Stages. A connection is in the stage Idle before its first byte and between requests,
// in Deciding while its request is being decided.
const (
	Idle Stage = iota
	Header
	Body
	Deciding
	Writing
)

// Client is the state of one connection. Times are since the start of the process.
type Client struct {
	Stage Stage
	// Began is when the stage began, Last when bytes last arrived, and Got how many
	// bytes have arrived in the stage.
	Began, Last time.Duration
	Got         int64
	// Held is the memory reserved for the connection, in bytes.
	Held int64
	// Crowded is set if the client's address has more than its share of the connections.
	Crowded bool
}

// spared is the age below which a stage doesn't count as slow: a client that is just
// sending its request, or a balancer that is about to use a connection again.
const spared = 500 * time.Millisecond

// rank returns the order in which connections are closed, lower first, and false if the
// connection stays.
func (c Client) rank(now time.Duration) (int, bool) {
	if c.Stage == Deciding || now-c.Began < spared {
		return 0, false
	}
	n := 0
	if c.Stage != Idle {
		n += 2
	}
	if !c.Crowded {
		n++
	}
	return n, true
}

// Victims returns the indexes of connections to close when a share is used up, first
// those to close first: idle ones, then those that have sent the least for the longest
// time. Among both, those of addresses with more than their share come first. It returns
// as many as are needed for the given number of bytes and connections, or all that
// may be closed.
func Victims(now time.Duration, clients []Client, bytes int64, connections int) []int {
	type row struct {
		index, rank int
		pace        float64
	}
	var rows []row
	for k, c := range clients {
		if n, ok := c.rank(now); ok {
			rows = append(rows, row{k, n, c.pace(now)})
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.pace, b.pace)) })
	var out []int
	for _, r := range rows {
		if bytes <= 0 && len(out) >= connections {
			break
		}
		out = append(out, r.index)
		bytes -= clients[r.index].Held
	}
	return out
}

// pace orders connections of a rank: idle ones by the time of their last bytes, others by
// their bytes a second.
func (c Client) pace(now time.Duration) float64 {
	if c.Stage == Idle {
		return float64(c.Last)
	}
	return float64(c.Got) / (now - c.Began).Seconds()
}

// Slow reports whether a body or the writing of an answer is too slow to go on. Headers
// and idle connections have timeouts of their own in net/http.
func (l Limits) Slow(now time.Duration, c Client) bool {
	age := now - c.Began
	switch c.Stage {
	case Writing:
		return age > l.Stall
	case Body:
		return now-max(c.Last, c.Began) > l.Stall || age > l.Stall && float64(c.Got) < age.Seconds()*float64(l.Rate)
	default:
		return false
	}
}
