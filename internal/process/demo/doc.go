// Package demo runs three entry instances in two regions against stand-ins in
// one process, on loopback ports, while requests and tasks go through the real
// paths, one instance is killed and replaced, and the log is away for a while.
// The verdict comes from the callers and the stand-ins' observers.
package demo
