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
	// Path is the YAML path, such as "caller.tls.key"; "[]" marks the
	// elements of a list.
	Path string `json:"path"`
	// Type is "text", "number", "duration" or "list".
	Type string `json:"type"`
	// Default is the value used when the file does not set the field; empty
	// means that there is no default.
	Default string `json:"default,omitempty"`
	Accepts string `json:"accepts"`
	Effect  string `json:"effect"`
}

// Reference documents every setting in declaration order. It is generated from
// the struct tags of Settings, which also validate a settings file.
func Reference() []Field {
	return fieldDocs(reflect.ValueOf(Defaults()), "")
}

func fieldDocs(value reflect.Value, prefix string) []Field {
	var fields []Field
	for i := range value.NumField() {
		field, fieldValue := value.Type().Field(i), value.Field(i)
		path := prefix + field.Tag.Get("yaml")
		if fieldValue.Kind() == reflect.Struct {
			fields = append(fields, fieldDocs(fieldValue, path+".")...)
			continue
		}
		fields = append(fields, Field{
			Path: path, Type: typeName(field.Type), Default: formatDefault(fieldValue),
			Accepts: field.Tag.Get("accepts"), Effect: field.Tag.Get("effect"),
		})
		if fieldValue.Kind() == reflect.Slice && field.Type.Elem().Kind() == reflect.Struct {
			fields = append(fields, fieldDocs(reflect.Zero(field.Type.Elem()), path+"[].")...)
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

func formatDefault(value reflect.Value) string {
	if value.IsZero() {
		return ""
	}
	return fmt.Sprint(value.Interface())
}

// WriteMarkdown writes the reference as a Markdown page.
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

// WriteDefaults writes the default settings as YAML.
func WriteDefaults(out io.Writer) error {
	encoder := yaml.NewEncoder(out)
	err := encoder.Encode(Defaults())
	if err != nil {
		return eris.Wrap(err, "write defaults")
	}
	return eris.Wrap(encoder.Close(), "write defaults")
}

// Schema is the subset of JSON Schema that is needed to describe a settings file.
type Schema struct {
	Schema      string             `json:"$schema,omitempty"`
	Type        string             `json:"type"`
	Description string             `json:"description,omitempty"`
	Default     string             `json:"default,omitempty"`
	Properties  map[string]*Schema `json:"properties,omitempty"`
	Items       *Schema            `json:"items,omitempty"`
	// AdditionalProperties is false for objects, because unknown fields are
	// rejected, and nil for other types.
	AdditionalProperties *bool    `json:"additionalProperties,omitempty"`
	Required             []string `json:"required,omitempty"`
}

// JSONSchema returns the JSON Schema of a settings file, for use by editors.
func JSONSchema() *Schema {
	schema := objectSchema(reflect.ValueOf(Defaults()))
	schema.Schema = "https://json-schema.org/draft/2020-12/schema"
	return schema
}

func objectSchema(value reflect.Value) *Schema {
	allowAdditional := false
	schema := &Schema{Type: "object", Properties: make(map[string]*Schema), AdditionalProperties: &allowAdditional}
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
		Default:     formatDefault(value),
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
