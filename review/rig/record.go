package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of a play: a line for each thing sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *os.File
	begun time.Time
}

func (r *record) logf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, arguments...))
}
