// Package platform plays the cases of the third review against processes of the system, with
// stand-ins of the platform's store, of its workers and of clients.
package platform

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Results of a case, as exit codes.
const (
	resultHeld   = 0
	resultBroken = 1
	resultNotRun = 2
)

// instanceCount is the number of processes of the system, and mostTime bounds a case.
const (
	instanceCount = 3
	mostTime      = 117 * time.Second
	readyTime     = 15 * time.Second
)

const (
	// finishTime is the users' finish_s.
	finishTime = 14 * time.Second
	// idleLimit is how long a submission may have nothing running while a task's turn has
	// come.
	idleLimit = 3 * time.Second
)

// play runs a case in a deployment and returns its result. Without trouble it does the same
// less the disruption.
type play func(s *system, trouble bool) int

// plays holds the cases by name.
var plays = map[string]play{
	"ends":     playEnds,
	"crowd":    playCrowd,
	"backfill": playBackfill,
}

// Main plays the case that the first argument names, writes its record to the folder that
// the second one names, and returns the exit code.
func Main(args []string, trouble bool) int {
	if len(args) != 2 || plays[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-3 CASE FOLDER")
		return resultNotRun
	}
	l, err := newRecorder(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return resultNotRun
	}
	defer l.close()
	s, err := newSystem(l)
	if err != nil {
		l.linef("not run: %v", err)
		return resultNotRun
	}
	defer s.end()
	result := s.playInTime(plays[args[0]], trouble)
	l.linef("result %d, trouble %t", result, trouble)
	fmt.Printf("%s: result %d, trouble %t\n", args[0], result, trouble)
	return result
}

// begin starts workers and processes and writes the configuration. It returns false if the
// system isn't ready in time.
func (s *system) begin(workers int, queues []queueRule, workOf func(string) (work, bool)) bool {
	if err := s.addWorkers(workers, workOf); err != nil {
		s.log.linef("not run: %v", err)
		return false
	}
	s.configure(queues)
	if err := s.addInstances(instanceCount); err != nil {
		s.log.linef("not run: %v", err)
		return false
	}
	if err := s.waitReady(readyTime); err != nil {
		s.log.linef("not run: %v", err)
		return false
	}
	return true
}

// playInTime plays the case. One that takes longer than mostTime, or that is ended by a
// signal, has not run.
func (s *system) playInTime(p play, trouble bool) int {
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	result := make(chan int, 1)
	go func() { result <- p(s, trouble) }()
	select {
	case r := <-result:
		return r
	case <-time.After(mostTime):
		s.log.linef("not run: it takes too long")
	case x := <-ended:
		s.log.linef("not run: %s", x)
	}
	return resultNotRun
}

// runs returns the number of runs on all workers.
func (s *system) runs() int {
	sum := 0
	for _, w := range s.workers {
		n, _ := w.load()
		sum += n
	}
	return sum
}

// jobID returns the id of the n-th submission of a kind.
func jobID(kind, n int) string { return fmt.Sprintf("%08x%08x", kind, n) }
