// Package admin holds the JSON messages of an instance's admin surface and of
// its task submission, and the client that the command line uses.
package admin
