// Package cli is the command line of parsleybarrow, parsed with kong. Every
// command ends with one line on standard error and a numbered exit code when
// it fails; docs/codes.md has the table.
package cli
