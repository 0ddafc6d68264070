package trace

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Messages of the lines that tell what is withheld.
const (
	messageWithheld = "requests withheld: what they share crashed several endpoints"
	messageReleased = "requests no longer withheld"
)

// WithheldTrait is what requests have in common that are withheld from endpoints.
type WithheldTrait struct {
	// Since is when the first daemon withheld it, because of so many crashes. RetryAt
	// is when one request may try it.
	Since   time.Time
	Crashes int
	RetryAt time.Time
	// Sources lists the daemons that withheld it, Released those that no longer did at
	// the end of their logs.
	Sources  map[string]bool
	Released map[string]bool
	// Refused counts the requests that were refused because of it and have a line.
	Refused int
}

// FindWithheld returns what daemons withheld, by trait. Lines of one daemon have to
// be in order.
func FindWithheld(lines []Line) map[string]*WithheldTrait {
	found := make(map[string]*WithheldTrait)
	for _, line := range lines {
		if line.Withheld == "" {
			continue
		}
		trait := found[line.Withheld]
		if trait == nil {
			trait = &WithheldTrait{Sources: make(map[string]bool), Released: make(map[string]bool)}
			found[line.Withheld] = trait
		}
		trait.add(line)
	}
	return found
}

func (t *WithheldTrait) add(line Line) {
	switch line.Message {
	case messageWithheld:
		t.Sources[line.Source] = true
		delete(t.Released, line.Source)
		if t.Since.IsZero() || line.Since.Before(t.Since) {
			t.Since = line.Since
		}
		if line.RetryAt.After(t.RetryAt) {
			t.RetryAt = line.RetryAt
		}
		t.Crashes = max(t.Crashes, line.Crashes)
	case messageReleased:
		t.Released[line.Source] = true
	default:
		t.Refused++
	}
}

// PrintWithheld writes a table of what daemons withheld, the oldest first.
func PrintWithheld(found map[string]*WithheldTrait, out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "withheld\tsince\tcrashes\tretry at\trefused\tdaemons\tno longer")
	traits := slices.SortedFunc(maps.Keys(found), func(a, b string) int {
		return cmp.Or(found[a].Since.Compare(found[b].Since), cmp.Compare(a, b))
	})
	for _, name := range traits {
		trait := found[name]
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%d\t%s\t%s\n", name, clock(trait.Since), trait.Crashes, clock(trait.RetryAt), trait.Refused,
			joinSorted(trait.Sources), joinSorted(trait.Released))
	}
	return w.Flush()
}

func clock(at time.Time) string {
	if at.IsZero() {
		return "unknown"
	}
	return at.UTC().Format("15:04:05.000")
}

func joinSorted(names map[string]bool) string {
	return strings.Join(slices.Sorted(maps.Keys(names)), " ")
}
