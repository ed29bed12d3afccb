package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one fault of the operators' files.
type Problem struct {
	File string
	// Line and Column count from 1; 0 means the file as a whole.
	Line   int
	Column int
	// Field is the dotted path of the value, empty for faults of the syntax.
	Field   string
	Message string
	// Allowed describes the allowed values, empty if there is nothing to
	// choose from.
	Allowed string
}

// Error implements error.
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

// Problems are all faults of a folder, ordered by file and line.
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

// maxProblems bounds the report on a file that is not a configuration at all.
const maxProblems = 1000

func (p Problems) bounded() Problems {
	if len(p) <= maxProblems {
		return p
	}
	more := Problem{File: "folder", Message: fmt.Sprintf("%d more problems", len(p)-maxProblems)}
	return append(p[:maxProblems:maxProblems], more)
}
