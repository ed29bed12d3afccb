// Package stamp implements a hybrid logical clock. Its stamps stay close to the
// wall clock, rise strictly within a process, and order an event after every
// event whose stamp the process has observed before.
package stamp
