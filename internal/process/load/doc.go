// Package load sends requests and batch tasks to entry instances, as callers
// behind a load balancer do, and counts how each of them ended. The commands
// demo and soak use it.
package load
