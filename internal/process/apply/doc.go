// Package apply is the operator's side of a configuration change: it makes the
// patch against the base, appends it, reads it back and reports what became of
// it.
//
// The record may be appended more than once, for instance after an
// acknowledgement was lost: the first copy that takes effect moves the version
// in force away from the base that the others name, so they are no-ops.
package apply
