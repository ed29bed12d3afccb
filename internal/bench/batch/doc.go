// Package batch simulates the batch path of one data centre on a virtual
// clock: planners, the log, the network and workers, with faults drawn from a
// seeded source. An observer at the workers counts what really ran; it shares
// no code with the planners.
package batch
