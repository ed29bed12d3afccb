// Package load drives requests and batch tasks against entry instances, as
// callers behind a load balancer do, and counts how each of them ended. Demo
// and soak use it.
package load
