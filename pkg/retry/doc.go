// Package retry bounds retries: a budget per service that is a share of its
// traffic, and a jittered exponential back-off that never passes the deadline.
//
// cenkalti/backoff takes its jitter from a global random source, so its delays
// can't be replayed from a seed; the few lines of the back-off are therefore
// written here.
package retry
