package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem describes one invalid or missing value in a settings file.
type Problem struct {
	File string
	// Line is the line number, starting at 1. It is zero when the problem has
	// no line, for example because the field is missing altogether.
	Line int
	// Field is the path of the field, such as "caller.address".
	Field string
	// Got describes the value in the file; Accepts describes the valid values.
	Got     string
	Accepts string
}

// String returns "file:line: field: got ..., accepts ...".
func (p Problem) String() string {
	location := p.File
	if p.Line > 0 {
		location += fmt.Sprintf(":%d", p.Line)
	}
	field := p.Field
	if field == "" {
		field = "(file)"
	}
	return fmt.Sprintf("%s: %s: got %s, accepts %s", location, field, p.Got, p.Accepts)
}

// Problems lists all problems of a settings file, sorted by line.
type Problems []Problem

var _ error = Problems(nil)

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return strings.Join(lines, "\n")
}

func (p Problems) sort() {
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Compare(a.Line, b.Line)
	})
}
