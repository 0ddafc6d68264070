package source

import (
	"fmt"
	"time"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// loader collects files into one configuration.
type loader struct {
	config   *published.Configuration
	problems Problems
	// where notes the place that first defined a name.
	where map[string]place
	// uses are names that must be defined by some file.
	uses []use
}

type place struct {
	file string
	line int
}

// use is a reference from one file to a name that any file may define.
type use struct {
	place
	field string
	name  string // as in where
	text  string // as messages call it
}

// Load builds the configuration of the files. All problems are returned at
// once, as Problems; the configuration is nil then.
func Load(files []File, revision types.Revision, publishedAt time.Time) (*published.Configuration, error) {
	l := &loader{where: map[string]place{}, config: &published.Configuration{
		Revision: revision, PublishedAt: publishedAt.UTC(),
		Regions:     map[types.Region]*published.Region{},
		Services:    map[types.ServiceName]*published.Service{},
		Orgs:        map[types.OrgName]*published.Organisation{},
		Credentials: map[published.CredentialHash]*published.Credential{},
		Placement:   map[types.ServiceName]published.PlacementRequest{},

		Administrators: map[published.CredentialHash]*published.Administrator{},
		Policy:         defaultPolicy(),
	}}
	for _, file := range files {
		doc, problems := decode(file)
		l.problems = append(l.problems, problems...)
		if doc != nil {
			l.addDocument(file.Name, doc)
		}
	}
	l.checkUses()
	if len(l.problems) == 0 && len(l.config.Regions) == 0 {
		l.problems = append(l.problems, Problem{File: "all files", Field: "regions", Message: "no file defines a region"})
	}
	if len(l.problems) > 0 {
		l.problems.sort()
		return nil, l.problems
	}
	return l.config, nil
}

func (l *loader) addDocument(file string, doc *document) {
	empty := !doc.Service.set() && len(doc.Regions) == 0 && len(doc.Links) == 0 && doc.Policy == nil &&
		len(doc.Organisations) == 0 && len(doc.Administrators) == 0
	if empty {
		l.report(file, 0, "", "the file defines no service, regions, links, policy or organisations")
	}
	for i := range doc.Regions {
		l.addRegion(file, &doc.Regions[i])
	}
	for i := range doc.Links {
		l.addLink(file, &doc.Links[i])
	}
	if doc.Policy != nil {
		l.addPolicy(file, doc.Policy)
	}
	if doc.Service.set() {
		l.addService(file, doc)
	} else if doc.Team.set() || doc.Kind.set() || len(doc.ServiceRegions) > 0 {
		l.report(file, 0, "service", "is missing: the file sets fields of a service")
	}
	for i := range doc.Organisations {
		l.addOrg(file, &doc.Organisations[i])
	}
	for i := range doc.Administrators {
		l.addAdministrator(file, &doc.Administrators[i])
	}
}

func (l *loader) report(file string, line int, field, format string, args ...any) {
	l.problems = append(l.problems, Problem{File: file, Line: line, Field: field, Message: fmt.Sprintf(format, args...)})
}

// define notes a name; it reports a second definition and returns false then.
func (l *loader) define(file string, line int, field, kind, name string) bool {
	key := kind + " " + name
	if name == "" {
		l.report(file, line, field, "must not be empty")
		return false
	}
	if first, ok := l.where[key]; ok {
		l.report(file, line, field, "%s %q is already defined at %s:%d", kind, name, first.file, first.line)
		return false
	}
	l.where[key] = place{file, line}
	return true
}

// refer notes a name that some file must define.
func (l *loader) refer(file string, line int, field, kind, name string) {
	l.uses = append(l.uses, use{place{file, line}, field, kind + " " + name, fmt.Sprintf("%s %q", kind, name)})
}

func (l *loader) checkUses() {
	for _, u := range l.uses {
		if _, ok := l.where[u.name]; !ok {
			l.report(u.file, u.line, u.field, "%s is not defined in any file", u.text)
		}
	}
}

// The kinds of names that files define.
const (
	kindRegion     = "region"
	kindService    = "service"
	kindOrg        = "organisation"
	kindCredential = "credential"
	kindDataCentre = "data centre"
	kindPolicy     = "policy"
)

// share checks a number between 0 and 1.
func (l *loader) share(file, name string, f field[float64], into *float64) {
	if !f.set() {
		return
	}
	if !(f.Value >= 0 && f.Value <= 1) {
		l.report(file, f.Line, name, "is %v; it must be between 0 and 1", f.Value)
		return
	}
	*into = f.Value
}

// positive checks a number that must be above zero.
func positive[T int | int64 | float64 | time.Duration](l *loader, file, name string, f field[T], into *T) {
	if !f.set() {
		return
	}
	if !(f.Value > 0) {
		l.report(file, f.Line, name, "is %v; it must be above 0", f.Value)
		return
	}
	*into = f.Value
}
