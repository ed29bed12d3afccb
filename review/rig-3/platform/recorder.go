package platform

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// runStart is the start of a run as a worker has seen it.
type runStart struct {
	at           time.Time
	worker, task string
	run          int
}

// recorder writes what was sent, answered and run to a file.
type recorder struct {
	mu     sync.Mutex
	begun  time.Time
	file   *os.File
	out    *bufio.Writer
	starts []runStart
	ends   []string
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{begun: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

func (l *recorder) linef(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	if strings.Contains(text, " end ") {
		l.ends = append(l.ends, text)
	}
	_, _ = fmt.Fprintf(l.out, "%8.3f %s\n", time.Since(l.begun).Seconds(), text)
}

func (l *recorder) start(at time.Time, worker, task string, run int) {
	l.linef("worker %s start %s run %d", worker, task, run)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts = append(l.starts, runStart{at, worker, task, run})
}

// startsOf returns the starts of the tasks whose names begin with the prefix.
func (l *recorder) startsOf(prefix string) []runStart {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []runStart
	for _, s := range l.starts {
		if strings.HasPrefix(s.task, prefix) {
			out = append(out, s)
		}
	}
	return out
}

// endsOf returns how many runs of the tasks whose names begin with the prefix have ended so.
func (l *recorder) endsOf(prefix, how string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, e := range l.ends {
		if strings.Contains(e, " end "+prefix) && strings.HasSuffix(e, " "+how) {
			n++
		}
	}
	return n
}

func (l *recorder) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.out.Flush()
	_ = l.file.Close()
}
