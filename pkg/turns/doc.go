// Package turns spaces the calls of a process to a server that handles them one at a
// time, in the order of their arrival. A call that is sent before its turn waits at the
// server: nothing can overtake it there, and the validity of what it asks for may already
// be running out. The callers therefore keep their waiting calls to themselves and send
// the next one when the server is about to be free.
//
// It is made for short bursts above what the server bears, and for lasting load above it:
// the server stays busy, and its answers stay as fresh as it can make them.
package turns
