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

// pastDeadline is a deadline that makes pending and later reads and writes fail
// at once.
var pastDeadline = time.Unix(1, 0)

// conn is one connection with its buffers.
type conn struct {
	net.Conn
	server *server
	clock  sched.Clock
	// tracked is the connection in the server's tracker.
	tracked *conns.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	// writtenBytes counts the bytes that were passed to the kernel.
	writtenBytes int64
	// silent is set when the connection is given up because it made no progress
	// while others did.
	silent atomic.Bool
}

func newConn(n net.Conn, s *server, clock sched.Clock) *conn {
	k := &conn{Conn: n, server: s, clock: clock}
	k.reader = bufio.NewReader(readSide{k})
	k.writer = bufio.NewWriter(writeSide{k})
	return k
}

// readSide reads from the connection and reports received bytes to the tracker
// as progress.
type readSide struct{ conn *conn }

func (r readSide) Read(b []byte) (int, error) {
	n, err := r.conn.Read(b)
	if n > 0 {
		s := r.conn.server
		s.mu.Lock()
		s.tracker.Progress(r.conn.tracked, r.conn.clock.Now())
		s.mu.Unlock()
	}
	return n, err
}

// writeSide writes to the connection and counts the written bytes.
type writeSide struct{ conn *conn }

func (w writeSide) Write(b []byte) (int, error) {
	n, err := w.conn.Write(b)
	w.conn.writtenBytes += int64(n)
	return n, err
}

// endSilent ends the exchange on a connection that makes no progress.
func (k *conn) endSilent() {
	k.silent.Store(true)
	_ = k.SetDeadline(pastDeadline)
}

// unusable reports whether the other end closed an idle connection or sent bytes
// that belong to no request. A connection that isn't a socket is never reported
// as closed.
func (k *conn) unusable() bool {
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
	unusable := true
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unusable = e != syscall.EAGAIN && e != syscall.EWOULDBLOCK
		return true
	})
	return err != nil || unusable
}
