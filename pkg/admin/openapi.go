package admin

import (
	"reflect"
	"strings"
	"time"
)

// Document is an OpenAPI 3.1 description.
type Document struct {
	OpenAPI    string                         `json:"openapi"`
	Info       Info                           `json:"info"`
	Paths      map[string]map[string]*PathOp  `json:"paths"`
	Components Components                     `json:"components"`
	Security   []map[SecuritySchemeName][]any `json:"security"`
}

// SecuritySchemeName names a security scheme of the description.
type SecuritySchemeName string

// bearerScheme is the only security scheme.
const bearerScheme SecuritySchemeName = "bearer"

// Info names the API.
type Info struct {
	Title   string `json:"title"`
	Version string `json:"version"`
}

// Components holds what the paths refer to.
type Components struct {
	SecuritySchemes map[SecuritySchemeName]SecurityScheme `json:"securitySchemes"`
}

// SecurityScheme says how callers identify themselves.
type SecurityScheme struct {
	Type   string `json:"type"`
	Scheme string `json:"scheme"`
}

// PathOp describes one operation.
type PathOp struct {
	OperationID string               `json:"operationId"`
	Summary     string               `json:"summary"`
	Parameters  []Parameter          `json:"parameters,omitempty"`
	Responses   map[string]*Response `json:"responses"`
}

// Parameter describes one query parameter.
type Parameter struct {
	Name        string  `json:"name"`
	In          string  `json:"in"`
	Required    bool    `json:"required"`
	Description string  `json:"description"`
	Schema      *Schema `json:"schema"`
}

// Response describes one answer.
type Response struct {
	Description string                `json:"description"`
	Content     map[string]*MediaType `json:"content"`
}

// MediaType holds an answer's schema.
type MediaType struct {
	Schema *Schema `json:"schema"`
}

// Schema is the part of JSON Schema that the description needs.
type Schema struct {
	Type                 string             `json:"type,omitempty"`
	Format               string             `json:"format,omitempty"`
	Properties           map[string]*Schema `json:"properties,omitempty"`
	Items                *Schema            `json:"items,omitempty"`
	AdditionalProperties *Schema            `json:"additionalProperties,omitempty"`
}

// Describe returns the API's description, made from the same list of operations
// as its routes.
func Describe() Document {
	doc := Document{
		OpenAPI: "3.1.0",
		Info:    Info{Title: "flamingomount administration", Version: "1"},
		Paths:   make(map[string]map[string]*PathOp),
		Components: Components{SecuritySchemes: map[SecuritySchemeName]SecurityScheme{
			bearerScheme: {Type: "http", Scheme: "bearer"},
		}},
		Security: []map[SecuritySchemeName][]any{{bearerScheme: {}}},
	}
	problem := schemaOf(reflect.TypeOf(Problem{}), nil)
	for _, op := range operations {
		described := &PathOp{OperationID: op.ID, Summary: op.Summary, Responses: map[string]*Response{
			"200":     answerOf("The answer", schemaOf(reflect.TypeOf(op.Answer), nil)),
			"default": answerOf("Why there is no answer", problem),
		}}
		for _, query := range op.Query {
			described.Parameters = append(described.Parameters, Parameter{
				Name:        query.Name,
				In:          "query",
				Required:    query.Required,
				Description: query.Help,
				Schema:      &Schema{Type: "string"},
			})
		}
		if doc.Paths[op.Path] == nil {
			doc.Paths[op.Path] = make(map[string]*PathOp)
		}
		doc.Paths[op.Path][strings.ToLower(op.Method)] = described
	}
	return doc
}

func answerOf(description string, schema *Schema) *Response {
	return &Response{Description: description, Content: map[string]*MediaType{"application/json": {Schema: schema}}}
}

var (
	timeType  = reflect.TypeOf(time.Time{})
	bytesType = reflect.TypeOf([]byte(nil))
	textType  = reflect.TypeFor[interface{ MarshalText() ([]byte, error) }]()
)

// schemaOf returns the JSON schema of a Go type. A type inside itself becomes
// an open schema.
func schemaOf(t reflect.Type, within []reflect.Type) *Schema {
	for _, outer := range within {
		if outer == t {
			return &Schema{}
		}
	}
	switch {
	case t == timeType:
		return &Schema{Type: "string", Format: "date-time"}
	case t == bytesType:
		return &Schema{Type: "string", Format: "byte"}
	case t.Implements(textType):
		return &Schema{Type: "string"}
	}
	switch t.Kind() {
	case reflect.Pointer:
		return schemaOf(t.Elem(), within)
	case reflect.Struct:
		return structSchema(t, append(within, t))
	case reflect.Slice, reflect.Array:
		return &Schema{Type: "array", Items: schemaOf(t.Elem(), within)}
	case reflect.Map:
		return &Schema{Type: "object", AdditionalProperties: schemaOf(t.Elem(), within)}
	case reflect.String:
		return &Schema{Type: "string"}
	case reflect.Bool:
		return &Schema{Type: "boolean"}
	case reflect.Float32, reflect.Float64:
		return &Schema{Type: "number"}
	case reflect.Interface:
		return &Schema{}
	default:
		return &Schema{Type: "integer"}
	}
}

func structSchema(t reflect.Type, within []reflect.Type) *Schema {
	schema := &Schema{Type: "object", Properties: make(map[string]*Schema)}
	for field := range fields(t) {
		if field.Anonymous && field.Tag.Get("json") == "" {
			inner := schemaOf(field.Type, within)
			for name, property := range inner.Properties {
				schema.Properties[name] = property
			}
			continue
		}
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		schema.Properties[name] = schemaOf(field.Type, within)
	}
	return schema
}

// fields yields the exported fields of a struct type.
func fields(t reflect.Type) func(yield func(reflect.StructField) bool) {
	return func(yield func(reflect.StructField) bool) {
		for i := range t.NumField() {
			if !t.Field(i).IsExported() {
				continue
			}
			if !yield(t.Field(i)) {
				return
			}
		}
	}
}
