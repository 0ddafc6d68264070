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
	// Before and After are the values as text; "-" stands for an absent value.
	Before string `json:"before"`
	After  string `json:"after"`
}

// String returns "path: before -> after".
func (c Change) String() string {
	return fmt.Sprintf("%s: %s -> %s", c.Path, c.Before, c.After)
}

// absent is the text of an absent value.
const absent = "-"

// Diff lists the values that differ between two configurations, sorted by path.
// It does not compare revision, hash and publishing time.
func Diff(before, after *published.Configuration) []Change {
	var changes []Change
	a, b := coreOf(before), coreOf(after)
	diffValue("", reflect.ValueOf(a), reflect.ValueOf(b), &changes)
	diffValue("organisations", reflect.ValueOf(before.Orgs), reflect.ValueOf(after.Orgs), &changes)
	diffValue("credentials", reflect.ValueOf(before.Credentials), reflect.ValueOf(after.Credentials), &changes)
	slices.SortFunc(changes, func(x, y Change) int { return cmp.Compare(x.Path, y.Path) })
	return changes
}

func diffValue(path string, a, b reflect.Value, changes *[]Change) {
	if !a.IsValid() || !b.IsValid() {
		if a.IsValid() != b.IsValid() {
			*changes = append(*changes, Change{path, formatValue(a), formatValue(b)})
		}
		return
	}
	switch a.Kind() {
	case reflect.Pointer:
		diffValue(path, a.Elem(), b.Elem(), changes)
	case reflect.Map:
		diffMap(path, a, b, changes)
	case reflect.Struct:
		diffStruct(path, a, b, changes)
	case reflect.Slice, reflect.Array:
		diffList(path, a, b, changes)
	default:
		if !a.Equal(b) {
			*changes = append(*changes, Change{path, formatValue(a), formatValue(b)})
		}
	}
}

func diffMap(path string, a, b reflect.Value, changes *[]Change) {
	for _, key := range a.MapKeys() {
		diffValue(joinPath(path, fmt.Sprint(key.Interface())), a.MapIndex(key), b.MapIndex(key), changes)
	}
	for _, key := range b.MapKeys() {
		if !a.MapIndex(key).IsValid() {
			diffValue(joinPath(path, fmt.Sprint(key.Interface())), reflect.Value{}, b.MapIndex(key), changes)
		}
	}
}

func diffStruct(path string, a, b reflect.Value, changes *[]Change) {
	for i := range a.NumField() {
		name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("json"), ",")
		diffValue(joinPath(path, name), a.Field(i), b.Field(i), changes)
	}
}

// diffList compares lists of equal length element by element. Lists of different
// lengths are reported as a single change.
func diffList(path string, a, b reflect.Value, changes *[]Change) {
	if a.Len() != b.Len() {
		*changes = append(*changes, Change{path, formatValue(a), formatValue(b)})
		return
	}
	for i := range a.Len() {
		diffValue(fmt.Sprintf("%s[%d]", path, i), a.Index(i), b.Index(i), changes)
	}
}

func formatValue(v reflect.Value) string {
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

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
