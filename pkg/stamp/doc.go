// Package stamp implements a hybrid logical clock: stamps stay close to the
// wall clock, rise strictly at one process, and order an event after every
// event whose stamp the process had observed before.
package stamp
