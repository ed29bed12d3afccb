// Package cli is the command line of parsleybarrow, parsed with kong. A
// command that fails writes one line to standard error and ends with one of the
// exit codes that docs/codes.md lists.
package cli
