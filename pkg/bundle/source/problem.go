package source

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one thing that is wrong in a file.
type Problem struct {
	File string `json:"file"`
	// Line is 0 when the problem has no line, as when a field is absent.
	Line    int    `json:"line,omitempty"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// String returns "file:line: field: message".
func (p Problem) String() string {
	text := p.File
	if p.Line > 0 {
		text += fmt.Sprintf(":%d", p.Line)
	}
	if p.Field != "" {
		text += ": " + p.Field
	}
	return text + ": " + p.Message
}

// Problems is the error that lists everything wrong in a set of files.
type Problems []Problem

var _ error = Problems(nil)

// Error returns one problem a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

func (p Problems) sort() {
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
}
