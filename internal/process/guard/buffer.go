package guard

import (
	"net"
	"syscall"
)

// setReceiveBuffer sets the size of the kernel's receive buffers for the connections of a
// listener, in bytes. Connections inherit it.
func setReceiveBuffer(l *net.TCPListener, size int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
	})
	if err != nil {
		return err
	}
	return failed
}
