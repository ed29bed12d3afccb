package daemon

import "sync/atomic"

// Pause blocks the control actor until the returned function is called. It
// stands for a pause of the whole process.
func (d *Daemon) Pause() (resume func()) {
	stopped, wake := make(chan struct{}), make(chan struct{})
	d.post(controlCall{do: func(*control) {
		close(stopped)
		<-wake
	}, done: make(chan struct{}), taken: &atomic.Bool{}})
	<-stopped
	return func() { close(wake) }
}
