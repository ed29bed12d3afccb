// Package pjson encodes and decodes the JSON messages of calls to the platform.
// The stand-ins and the clients share it, so that both sides use the same
// format.
//
// Decoders return an error for what the types of package sched can't express,
// such as an unknown name of a state, command or role.
package pjson
