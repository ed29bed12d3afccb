package sink_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/process/sink"
)

// output records each write. If blocked isn't nil, writes wait until it is closed.
type output struct {
	mu      sync.Mutex
	writes  [][]byte
	blocked chan struct{}
}

func (o *output) Write(b []byte) (int, error) {
	if o.blocked != nil {
		<-o.blocked
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writes = append(o.writes, bytes.Clone(b))
	return len(b), nil
}

// Guards against interleaved lines when several processes write to one pipe: only
// writes of up to 4,096 bytes are atomic.
func TestWritesEndWithALine(t *testing.T) {
	i := is.New(t)
	o := &output{}
	s := &sink.Sink{Out: o, Limit: 1 << 20, FlushDelay: time.Millisecond}
	var want strings.Builder
	for n := range 500 {
		line := fmt.Sprintf("line %d %s\n", n, strings.Repeat("x", n%300))
		want.WriteString(line)
		_, err := s.Write([]byte(line))
		i.NoErr(err)
	}
	i.NoErr(s.Close())
	var all []byte
	for _, w := range o.writes {
		i.True(len(w) <= 4096)
		i.Equal(w[len(w)-1], byte('\n'))
		all = append(all, w...)
	}
	i.Equal(string(all), want.String())
}

// Guards against a process that blocks because nobody reads its log, and against
// dropped lines that the log doesn't report.
func TestAReaderThatStandsStillHoldsNothingUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		o := &output{blocked: make(chan struct{})}
		s := &sink.Sink{Out: o, Limit: 100, FlushDelay: time.Millisecond}
		began := time.Now()
		for range 50 {
			_, err := s.Write([]byte("0123456789\n"))
			i.NoErr(err)
		}
		i.Equal(time.Since(began), time.Duration(0))
		i.True(s.Dropped() >= 30)
		i.NoErr(s.Sync()) // returns after its timeout
		close(o.blocked)
		time.Sleep(time.Second)
		synctest.Wait()
		o.mu.Lock()
		defer o.mu.Unlock()
		i.True(bytes.Contains(bytes.Join(o.writes, nil), []byte(`"logLinesDropped"`)))
		i.NoErr(s.Close())
	})
}
