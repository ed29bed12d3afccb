// Package demo runs three entry instances in two regions and the stand-ins of
// the platform in one process, on loopback ports. Requests and tasks take the
// same paths as in production, while one instance is killed and replaced and
// the log has an outage. The result is computed from what the callers and the
// observers of the stand-ins counted.
package demo
