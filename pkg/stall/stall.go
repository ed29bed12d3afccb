package stall

import (
	"context"
	"time"
)

// Limits bound a call.
type Limits struct {
	// First is the time until the first data arrives.
	First time.Duration
	// Idle is the time between two arrivals of data.
	Idle time.Duration
	// Total is the time of the whole call, data included.
	Total time.Duration
}

// key is the key of the progress function in a context.
type key struct{}

// Context returns a context that ends when a limit is exceeded, and a function that releases it. The transport that makes
// the call under this context reports arriving data with Progressed.
func (l Limits) Context(c context.Context) (context.Context, context.CancelFunc) {
	c, cancel := context.WithTimeout(c, max(l.First, l.Total))
	timer := time.AfterFunc(l.First, cancel)
	progressed := func() { timer.Reset(l.Idle) }
	return context.WithValue(c, key{}, progressed), func() {
		timer.Stop()
		cancel()
	}
}

// Progressed reports that data has arrived for the call under the context. It has no effect under a context that isn't
// derived from one of Limits.Context.
func Progressed(c context.Context) {
	if f, limited := c.Value(key{}).(func()); limited {
		f()
	}
}
