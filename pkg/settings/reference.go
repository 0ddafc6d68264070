package settings

import (
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// Field documents one setting.
type Field struct {
	// Path is the YAML path, such as "caller.tls.key"; "[]" marks a list.
	Path string `json:"path"`
	// Type is "text", "number", "duration" or "list".
	Type string `json:"type"`
	// Default is the value without a file; empty when there is none.
	Default string `json:"default,omitempty"`
	Accepts string `json:"accepts"`
	Effect  string `json:"effect"`
}

// Reference documents every setting, in the order of the file. It is made from
// the same tags that check a file.
func Reference() []Field {
	return fieldsOf(reflect.ValueOf(Defaults()), "")
}

func fieldsOf(value reflect.Value, prefix string) []Field {
	var fields []Field
	for i := range value.NumField() {
		field, inner := value.Type().Field(i), value.Field(i)
		path := prefix + field.Tag.Get("yaml")
		if inner.Kind() == reflect.Struct {
			fields = append(fields, fieldsOf(inner, path+".")...)
			continue
		}
		fields = append(fields, Field{
			Path: path, Type: typeName(field.Type), Default: defaultOf(inner),
			Accepts: field.Tag.Get("accepts"), Effect: field.Tag.Get("effect"),
		})
		if inner.Kind() == reflect.Slice && field.Type.Elem().Kind() == reflect.Struct {
			fields = append(fields, fieldsOf(reflect.Zero(field.Type.Elem()), path+"[].")...)
		}
	}
	return fields
}

func typeName(t reflect.Type) string {
	switch {
	case t == durationType:
		return "duration"
	case t.Kind() == reflect.Slice:
		return "list"
	case t.Kind() == reflect.String:
		return "text"
	default:
		return "number"
	}
}

func defaultOf(value reflect.Value) string {
	if value.IsZero() {
		return ""
	}
	return fmt.Sprint(value.Interface())
}

// WriteMarkdown writes the reference as a page.
func WriteMarkdown(out io.Writer) error {
	var text strings.Builder
	text.WriteString("# Reference of a daemon's settings\n\nMade by `flamingomount config explain --output markdown`.\n\n")
	text.WriteString("| Setting | Type | Default | Accepts | Effect |\n| --- | --- | --- | --- | --- |\n")
	for _, field := range Reference() {
		fmt.Fprintf(&text, "| `%s` | %s | %s | %s | %s |\n", field.Path, field.Type, field.Default, field.Accepts, field.Effect)
	}
	_, err := io.WriteString(out, text.String())
	return eris.Wrap(err, "write reference")
}

// WriteDefaults writes the settings without a file as YAML.
func WriteDefaults(out io.Writer) error {
	encoder := yaml.NewEncoder(out)
	err := encoder.Encode(Defaults())
	if err != nil {
		return eris.Wrap(err, "write defaults")
	}
	return eris.Wrap(encoder.Close(), "write defaults")
}

// Schema is the part of JSON Schema that describes a settings file.
type Schema struct {
	Schema      string             `json:"$schema,omitempty"`
	Type        string             `json:"type"`
	Description string             `json:"description,omitempty"`
	Default     string             `json:"default,omitempty"`
	Properties  map[string]*Schema `json:"properties,omitempty"`
	Items       *Schema            `json:"items,omitempty"`
	// AdditionalProperties is false for objects: unknown fields are refused.
	AdditionalProperties *bool    `json:"additionalProperties,omitempty"`
	Required             []string `json:"required,omitempty"`
}

// JSONSchema describes a settings file, for editors.
func JSONSchema() *Schema {
	schema := objectSchema(reflect.ValueOf(Defaults()))
	schema.Schema = "https://json-schema.org/draft/2020-12/schema"
	return schema
}

func objectSchema(value reflect.Value) *Schema {
	closed := false
	schema := &Schema{Type: "object", Properties: make(map[string]*Schema), AdditionalProperties: &closed}
	for i := range value.NumField() {
		field := value.Type().Field(i)
		name := field.Tag.Get("yaml")
		schema.Properties[name] = fieldSchema(field, value.Field(i))
		if field.Tag.Get("validate") == "required" || strings.HasPrefix(field.Tag.Get("validate"), "required,") {
			schema.Required = append(schema.Required, name)
		}
	}
	return schema
}

func fieldSchema(field reflect.StructField, value reflect.Value) *Schema {
	if value.Kind() == reflect.Struct {
		return objectSchema(value)
	}
	schema := &Schema{
		Description: field.Tag.Get("effect") + "; accepts " + field.Tag.Get("accepts"),
		Default:     defaultOf(value),
	}
	switch typeName(field.Type) {
	case "number":
		schema.Type = "integer"
	case "list":
		schema.Type = "array"
		schema.Items = &Schema{Type: "string"}
		if field.Type.Elem().Kind() == reflect.Struct {
			schema.Items = objectSchema(reflect.Zero(field.Type.Elem()))
		}
	default:
		schema.Type = "string"
	}
	return schema
}
