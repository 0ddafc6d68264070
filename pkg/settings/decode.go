package settings

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// maxQuotedBytes is the maximum length of a value quoted in a Problem; longer
// values are truncated.
const maxQuotedBytes = 60

var durationType = reflect.TypeFor[time.Duration]()

// decoder decodes a YAML node into a struct. It collects all problems instead of
// stopping at the first one.
type decoder struct {
	file     string
	problems Problems
	// lines maps the path of each field that the file sets to its line.
	lines map[string]int
}

func (d *decoder) addProblem(node *yaml.Node, field, got, accepts string) {
	d.problems = append(d.problems, Problem{File: d.file, Line: node.Line, Field: field, Got: got, Accepts: accepts})
}

// decode decodes node into value. accepts is the text of the field's accepts
// tag, for problems.
func (d *decoder) decode(node *yaml.Node, value reflect.Value, field, accepts string) {
	d.lines[field] = node.Line
	if node.Kind == yaml.AliasNode {
		d.addProblem(node, field, "an alias", accepts)
		return
	}
	switch {
	case value.Type() == durationType:
		d.decodeDuration(node, value, field, accepts)
	case value.Kind() == reflect.Struct:
		d.decodeStruct(node, value, field)
	case value.Kind() == reflect.Slice:
		d.decodeSlice(node, value, field, accepts)
	default:
		d.decodeScalar(node, value, field, accepts)
	}
}

func (d *decoder) decodeStruct(node *yaml.Node, value reflect.Value, field string) {
	if isNull(node) {
		return
	}
	names := fieldNames(value.Type())
	if node.Kind != yaml.MappingNode {
		d.addProblem(node, field, describe(node), "a mapping with the fields "+strings.Join(names, ", "))
		return
	}
	seen := make(map[string]bool, len(names))
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, child := node.Content[i], node.Content[i+1]
		path := joinPath(field, key.Value)
		index := slices.Index(names, key.Value)
		switch {
		case index < 0:
			d.addProblem(key, path, "an unknown field", "the fields "+strings.Join(names, ", "))
		case seen[key.Value]:
			d.addProblem(key, path, "the field a second time", "each field once")
		default:
			d.decode(child, value.Field(index), path, value.Type().Field(index).Tag.Get("accepts"))
		}
		seen[key.Value] = true
	}
}

func (d *decoder) decodeSlice(node *yaml.Node, value reflect.Value, field, accepts string) {
	if isNull(node) {
		return
	}
	if node.Kind != yaml.SequenceNode {
		d.addProblem(node, field, describe(node), accepts)
		return
	}
	value.Set(reflect.MakeSlice(value.Type(), len(node.Content), len(node.Content)))
	for i, child := range node.Content {
		d.decode(child, value.Index(i), fmt.Sprintf("%s[%d]", field, i), accepts)
	}
}

func (d *decoder) decodeDuration(node *yaml.Node, value reflect.Value, field, accepts string) {
	duration, err := time.ParseDuration(node.Value)
	if node.Kind != yaml.ScalarNode || err != nil {
		d.addProblem(node, field, describe(node), "a duration such as 5s: "+accepts)
		return
	}
	value.SetInt(int64(duration))
}

func (d *decoder) decodeScalar(node *yaml.Node, value reflect.Value, field, accepts string) {
	if node.Kind != yaml.ScalarNode {
		d.addProblem(node, field, describe(node), accepts)
		return
	}
	if value.Kind() == reflect.String {
		if !isNull(node) {
			value.SetString(node.Value)
		}
		return
	}
	number, err := strconv.ParseInt(node.Value, 10, value.Type().Bits())
	if err != nil {
		d.addProblem(node, field, describe(node), "a whole number: "+accepts)
		return
	}
	value.SetInt(number)
}

func isNull(node *yaml.Node) bool {
	return node.Kind == yaml.ScalarNode && node.Tag == "!!null"
}

func describe(node *yaml.Node) string {
	switch node.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	default:
		return quote(node.Value)
	}
}

func quote(text string) string {
	if len(text) > maxQuotedBytes {
		text = text[:maxQuotedBytes] + "..."
	}
	return strconv.Quote(text)
}

func joinPath(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}

// fieldNames returns the YAML names of a struct's fields in declaration order.
func fieldNames(structure reflect.Type) []string {
	names := make([]string, structure.NumField())
	for i := range names {
		names[i] = structure.Field(i).Tag.Get("yaml")
	}
	return names
}
