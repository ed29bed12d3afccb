// Package pjson maps the calls to the platform to JSON and back. The stand-ins
// and the clients share it, so the two sides can't drift apart.
//
// Decoders accept nothing that the types of package sched can't express: an
// unknown name of a state, command or role is an error.
package pjson
