// Package apply applies an operator's configuration change: it computes the
// patch against the base version, appends it to the configuration stream, reads
// it back and reports the outcome.
//
// The append is idempotent. A record may be appended more than once, for
// instance after its acknowledgement was lost, but the first copy that takes
// effect changes the version in force, so the other copies no longer fit their
// base and have no effect.
package apply
