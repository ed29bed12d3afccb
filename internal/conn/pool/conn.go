package pool

import (
	"bufio"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/conns"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// past is a deadline that ends every read and write at once.
var past = time.Unix(1, 0)

// conn is one connection with its buffers.
type conn struct {
	net.Conn
	server *server
	clock  sched.Clock
	track  *conns.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// wrote counts the bytes that the kernel took.
	wrote int64
	// silent is set when the connection was discarded for lack of progress.
	silent atomic.Bool
}

func newConn(n net.Conn, s *server, clock sched.Clock) *conn {
	k := &conn{Conn: n, server: s, clock: clock}
	k.reader = bufio.NewReader(readSide{k})
	k.writer = bufio.NewWriter(writeSide{k})
	return k
}

// readSide notes progress.
type readSide struct{ k *conn }

func (r readSide) Read(b []byte) (int, error) {
	n, err := r.k.Read(b)
	if n > 0 {
		s := r.k.server
		s.mu.Lock()
		s.tracker.Progress(r.k.track, r.k.clock.Now())
		s.mu.Unlock()
	}
	return n, err
}

// writeSide counts what was written.
type writeSide struct{ k *conn }

func (w writeSide) Write(b []byte) (int, error) {
	n, err := w.k.Write(b)
	w.k.wrote += int64(n)
	return n, err
}

// silence ends the exchange on a connection that makes no progress.
func (k *conn) silence() {
	k.silent.Store(true)
	_ = k.SetDeadline(past)
}

// hungUp tells whether the other end closed an idle connection or sent bytes
// that no request asked for. A connection of another kind than a socket counts
// as open.
func (k *conn) hungUp() bool {
	if k.reader.Buffered() > 0 {
		return true
	}
	s, ok := k.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	hungUp := true
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		hungUp = e != syscall.EAGAIN && e != syscall.EWOULDBLOCK
		return true
	})
	return err != nil || hungUp
}
