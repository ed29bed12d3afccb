package daemon

import "sync/atomic"

// Pause stops the control actor until the returned function is called, as a
// pause of the whole process would stop it.
func (d *Daemon) Pause() (resume func()) {
	stopped, wake := make(chan struct{}), make(chan struct{})
	d.post(ask{f: func(*control) {
		close(stopped)
		<-wake
	}, done: make(chan struct{}), taken: &atomic.Bool{}})
	<-stopped
	return func() { close(wake) }
}
