package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one fault of a settings file.
type Problem struct {
	File string
	// Line counts from one; zero means that the field is missing altogether.
	Line int
	// Field is the path of the field, such as "caller.address".
	Field string
	// Got is what the file holds; Accepts is what the field takes.
	Got     string
	Accepts string
}

// String returns "file:line: field: got ..., accepts ...".
func (p Problem) String() string {
	place := p.File
	if p.Line > 0 {
		place += fmt.Sprintf(":%d", p.Line)
	}
	field := p.Field
	if field == "" {
		field = "(file)"
	}
	return fmt.Sprintf("%s: %s: got %s, accepts %s", place, field, p.Got, p.Accepts)
}

// Problems is every fault of a settings file, in the order of its lines.
type Problems []Problem

var _ error = Problems(nil)

// Error returns one line for each problem.
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
