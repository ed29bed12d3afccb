package sink

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxWriteBytes bounds one write. The kernel doesn't interleave writes of
	// several processes to one pipe up to this size (PIPE_BUF).
	maxWriteBytes = 4096
	// syncTimeout bounds Sync, so that a blocked reader doesn't delay the end of the
	// process for long.
	syncTimeout = 300 * time.Millisecond
)

// Sink buffers whole lines and writes them in pieces of at most 4,096 bytes. Lines
// that don't fit into the buffer, or can't be written, are dropped and counted.
// Exported fields are set before the first call. It is safe for concurrent use.
type Sink struct {
	Out io.Writer
	// Limit is the size of the buffer in bytes.
	Limit int
	// FlushDelay is the time for which lines are collected before they are written
	// together.
	FlushDelay time.Duration

	start      sync.Once
	wake       chan struct{}
	quit       chan struct{}
	flush      chan chan struct{}
	mu         sync.Mutex
	pending    []byte
	dropped    int64
	unreported int64 // dropped since the last logLinesDropped line
}

// Write implements io.Writer. The data is one whole line or several. If it doesn't
// fit into the buffer, all of it is dropped and counted as one line. Write never
// fails and never waits for the reader of the log.
func (s *Sink) Write(data []byte) (int, error) {
	s.ensureStarted()
	s.mu.Lock()
	fits := len(s.pending)+len(data) <= s.Limit
	if fits {
		s.pending = append(s.pending, data...)
	}
	s.mu.Unlock()
	if !fits {
		s.drop(1)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(data), nil
}

// Sync implements zapcore.WriteSyncer. It waits until the buffered lines are written,
// at most for syncTimeout, and always returns nil.
func (s *Sink) Sync() error {
	s.ensureStarted()
	done := make(chan struct{})
	t := time.NewTimer(syncTimeout)
	defer t.Stop()
	select {
	case s.flush <- done:
	case <-t.C:
		return nil
	}
	select {
	case <-done:
	case <-t.C:
	}
	return nil
}

// Close writes the buffered lines, as Sync does, and ends the background goroutine.
// It is called once, after the last Write.
func (s *Sink) Close() error {
	err := s.Sync()
	close(s.quit)
	return err
}

// drop counts dropped lines.
func (s *Sink) drop(lines int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped += lines
	s.unreported += lines
}

// Dropped returns the number of dropped lines so far.
func (s *Sink) Dropped() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// ensureStarted starts the background goroutine with the first call.
func (s *Sink) ensureStarted() {
	s.start.Do(func() {
		s.wake, s.flush, s.quit = make(chan struct{}, 1), make(chan chan struct{}), make(chan struct{})
		go s.run()
	})
}

func (s *Sink) run() {
	var spare []byte
	for {
		var done chan struct{}
		select {
		case <-s.wake:
			select {
			case <-time.After(s.FlushDelay):
			case done = <-s.flush:
			}
		case done = <-s.flush:
		case <-s.quit:
			return
		}
		lines := s.takePending(spare)
		s.writeLines(lines)
		spare = lines[:0]
		if done != nil {
			close(done)
		}
	}
}

// takePending returns the buffered lines, with a logLinesDropped line if any were
// dropped since the last one. The next lines are collected in the spare buffer.
func (s *Sink) takePending(spare []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines := s.pending
	s.pending = spare
	if s.unreported > 0 {
		lines = fmt.Appendf(lines, `{"level":"warn","msg":"logLinesDropped","lines":%d}`+"\n", s.unreported)
		s.unreported = 0
	}
	return lines
}

// writeLines writes lines in pieces that end with the end of a line, unless a line is
// longer than maxWriteBytes. If the output fails, the remaining lines are dropped and
// counted: the failure can't be logged, since this is the output of the log.
func (s *Sink) writeLines(lines []byte) {
	for len(lines) > 0 {
		n := len(lines)
		if n > maxWriteBytes {
			n = maxWriteBytes
			if end := bytes.LastIndexByte(lines[:n], '\n'); end >= 0 {
				n = end + 1
			}
		}
		if _, err := s.Out.Write(lines[:n]); err != nil {
			s.drop(int64(bytes.Count(lines, []byte{'\n'})))
			return
		}
		lines = lines[n:]
	}
}
