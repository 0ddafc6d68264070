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

// maxQuotedBytes bounds a value that is quoted in a problem.
const maxQuotedBytes = 60

var durationType = reflect.TypeFor[time.Duration]()

// decoder fills a structure from a YAML node and gathers every problem.
type decoder struct {
	file     string
	problems Problems
	// lines holds the line of each field that the file sets.
	lines map[string]int
}

func (d *decoder) report(node *yaml.Node, field, got, accepts string) {
	d.problems = append(d.problems, Problem{File: d.file, Line: node.Line, Field: field, Got: got, Accepts: accepts})
}

// decode fills value, which accepts what the text says.
func (d *decoder) decode(node *yaml.Node, value reflect.Value, field, accepts string) {
	d.lines[field] = node.Line
	if node.Kind == yaml.AliasNode {
		d.report(node, field, "an alias", accepts)
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
		d.report(node, field, describe(node), "a mapping with the fields "+strings.Join(names, ", "))
		return
	}
	seen := make(map[string]bool, len(names))
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, child := node.Content[i], node.Content[i+1]
		path := join(field, key.Value)
		index := slices.Index(names, key.Value)
		switch {
		case index < 0:
			d.report(key, path, "an unknown field", "the fields "+strings.Join(names, ", "))
		case seen[key.Value]:
			d.report(key, path, "the field a second time", "each field once")
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
		d.report(node, field, describe(node), accepts)
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
		d.report(node, field, describe(node), "a duration such as 5s: "+accepts)
		return
	}
	value.SetInt(int64(duration))
}

func (d *decoder) decodeScalar(node *yaml.Node, value reflect.Value, field, accepts string) {
	if node.Kind != yaml.ScalarNode {
		d.report(node, field, describe(node), accepts)
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
		d.report(node, field, describe(node), "a whole number: "+accepts)
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

func join(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}

// fieldNames lists the YAML names of a structure's fields, in order.
func fieldNames(structure reflect.Type) []string {
	names := make([]string, structure.NumField())
	for i := range names {
		names[i] = structure.Field(i).Tag.Get("yaml")
	}
	return names
}
