package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one error in the operators' files.
type Problem struct {
	File string
	// Line and Column count from 1. A Line of 0 stands for the file or folder as a
	// whole.
	Line   int
	Column int
	// Field is the dotted path of the value, empty for syntax errors.
	Field   string
	Message string
	// Allowed describes the allowed values, empty if that doesn't apply.
	Allowed string
}

// Error implements error, in the form "file:line:column: field: message; allowed:
// values".
func (p Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", p.Line, p.Column)
	}
	b.WriteString(": ")
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	b.WriteString(p.Message)
	if p.Allowed != "" {
		b.WriteString("; allowed: " + p.Allowed)
	}
	return b.String()
}

// Problems holds all errors of a folder, ordered by file, line and column.
type Problems []Problem

// Error implements error with one line per problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, q := range p {
		lines = append(lines, q.Error())
	}
	return strings.Join(lines, "\n")
}

func (p Problems) sorted() Problems {
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return p
}

// maxProblems limits the report on files that are not a configuration at all.
const maxProblems = 1000

// truncated replaces the problems beyond maxProblems by one that gives their
// number.
func (p Problems) truncated() Problems {
	if len(p) <= maxProblems {
		return p
	}
	more := Problem{File: "folder", Message: fmt.Sprintf("%d more problems", len(p)-maxProblems)}
	return append(p[:maxProblems:maxProblems], more)
}
