// Package work emulates the workers of the platform according to their protocol:
// fencing tokens, leases on the worker's own clock, runs, checkpoints, gangs, ends
// that are reported until they are acknowledged, paces, and the interference of
// tasks on one worker.
package work
