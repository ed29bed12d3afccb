// Package retry bounds retries: by a budget per service that is a share of its
// requests, and by a jittered exponential backoff that never passes the deadline.
//
// The backoff is implemented here because cenkalti/backoff takes its jitter from a
// global random source, so that its delays can't be reproduced from a seed.
package retry
