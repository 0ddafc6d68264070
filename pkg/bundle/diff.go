package bundle

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/flamingomount/flamingomount/pkg/published"
)

// Change is one value that differs between two configurations.
type Change struct {
	// Path names the value, for example "services.orders.max_rank".
	Path string `json:"path"`
	// Before and After are the values as text; "-" stands for absent.
	Before string `json:"before"`
	After  string `json:"after"`
}

// String returns "path: before -> after".
func (c Change) String() string {
	return fmt.Sprintf("%s: %s -> %s", c.Path, c.Before, c.After)
}

// absent is the text of a value that is not there.
const absent = "-"

// Diff lists the values in which two configurations differ, sorted by path.
// Revision, hash and time of publishing are not compared.
func Diff(before, after *published.Configuration) []Change {
	var changes []Change
	a, b := coreOf(before), coreOf(after)
	diffValue("", reflect.ValueOf(a), reflect.ValueOf(b), &changes)
	diffValue("organisations", reflect.ValueOf(before.Orgs), reflect.ValueOf(after.Orgs), &changes)
	diffValue("credentials", reflect.ValueOf(before.Credentials), reflect.ValueOf(after.Credentials), &changes)
	slices.SortFunc(changes, func(x, y Change) int { return cmp.Compare(x.Path, y.Path) })
	return changes
}

func diffValue(path string, a, b reflect.Value, out *[]Change) {
	if !a.IsValid() || !b.IsValid() {
		if a.IsValid() != b.IsValid() {
			*out = append(*out, Change{path, text(a), text(b)})
		}
		return
	}
	switch a.Kind() {
	case reflect.Pointer:
		diffValue(path, a.Elem(), b.Elem(), out)
	case reflect.Map:
		diffMap(path, a, b, out)
	case reflect.Struct:
		diffStruct(path, a, b, out)
	case reflect.Slice, reflect.Array:
		diffList(path, a, b, out)
	default:
		if !a.Equal(b) {
			*out = append(*out, Change{path, text(a), text(b)})
		}
	}
}

func diffMap(path string, a, b reflect.Value, out *[]Change) {
	for _, key := range a.MapKeys() {
		diffValue(join(path, fmt.Sprint(key.Interface())), a.MapIndex(key), b.MapIndex(key), out)
	}
	for _, key := range b.MapKeys() {
		if !a.MapIndex(key).IsValid() {
			diffValue(join(path, fmt.Sprint(key.Interface())), reflect.Value{}, b.MapIndex(key), out)
		}
	}
}

func diffStruct(path string, a, b reflect.Value, out *[]Change) {
	for i := range a.NumField() {
		name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("json"), ",")
		diffValue(join(path, name), a.Field(i), b.Field(i), out)
	}
}

// diffList compares lists of the same length item by item and others whole.
func diffList(path string, a, b reflect.Value, out *[]Change) {
	if a.Len() != b.Len() {
		*out = append(*out, Change{path, text(a), text(b)})
		return
	}
	for i := range a.Len() {
		diffValue(fmt.Sprintf("%s[%d]", path, i), a.Index(i), b.Index(i), out)
	}
}

func text(v reflect.Value) string {
	if !v.IsValid() {
		return absent
	}
	if v.Kind() == reflect.Pointer {
		v = v.Elem()
	}
	if d, ok := v.Interface().(time.Duration); ok {
		return d.String()
	}
	return fmt.Sprintf("%+v", v.Interface())
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
