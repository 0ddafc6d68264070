package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// MaxFileBytes is the maximum size of a settings file.
const MaxFileBytes = 1 << 20

// Load reads and validates a settings file. If the file is larger than
// MaxFileBytes or its content is invalid, the error is of type Problems; if the
// file can't be read, it is a wrapped I/O error.
func Load(path string) (*Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	if info.Size() > MaxFileBytes {
		return nil, Problems{{File: path, Got: fmt.Sprintf("%d bytes", info.Size()), Accepts: fmt.Sprintf("at most %d bytes", MaxFileBytes)}}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse decodes and validates the content of a settings file. The name appears
// in the problems only. The error is of type Problems.
func Parse(name string, data []byte) (*Settings, error) {
	var document yaml.Node
	if err := yaml.Unmarshal(data, &document); err != nil {
		return nil, Problems{{File: name, Got: strings.TrimPrefix(err.Error(), "yaml: "), Accepts: "YAML"}}
	}
	settings := Defaults()
	d := &decoder{file: name, lines: make(map[string]int)}
	if len(document.Content) > 0 {
		d.decode(document.Content[0], reflect.ValueOf(&settings).Elem(), "", "")
	}
	d.validate(&settings)
	if len(d.problems) > 0 {
		d.problems.sort()
		return nil, d.problems
	}
	return &settings, nil
}

// validate checks the decoded values. It skips fields for which decoding has
// already reported a problem.
func (d *decoder) validate(settings *Settings) {
	reported := make(map[string]bool, len(d.problems))
	for _, problem := range d.problems {
		reported[problem.Field] = true
	}
	if settings.Platform.URL == "" && !settings.Static.Enabled() && !reported["platform.url"] {
		d.problems = append(d.problems, Problem{
			File: d.file, Line: d.lines["platform.url"], Field: "platform.url", Got: "nothing",
			Accepts: acceptsTag("Settings.Platform.URL"),
		})
	}
	var validationErrs validator.ValidationErrors
	if !errors.As(newValidator().Struct(settings), &validationErrs) {
		return
	}
	for _, fieldErr := range validationErrs {
		field := strings.TrimPrefix(fieldErr.Namespace(), "Settings.")
		if reported[field] {
			continue
		}
		d.problems = append(d.problems, Problem{
			File: d.file, Line: d.lineOf(field), Field: field,
			Got: describeValue(fieldErr.Value()), Accepts: acceptsTag(fieldErr.StructNamespace()),
		})
	}
}

// lineOf returns the line of a field. If the file does not set the field, it
// returns the line of the nearest enclosing field that the file sets, or zero.
func (d *decoder) lineOf(field string) int {
	for {
		if line, set := d.lines[field]; set {
			return line
		}
		dot := strings.LastIndex(field, ".")
		if dot < 0 {
			return 0
		}
		field = field[:dot]
	}
}

func newValidator() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string {
		return field.Tag.Get("yaml")
	})
	// Registration fails only for an empty tag or a nil function; both are
	// fixed here.
	_ = validate.RegisterValidation("ip_port", func(level validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(level.Field().String())
		return err == nil
	})
	return validate
}

func describeValue(value any) string {
	text := fmt.Sprint(value)
	if text == "" || text == "[]" {
		return "nothing"
	}
	return quote(text)
}

// acceptsTag returns the accepts tag of the field with the given Go path, such
// as "Settings.Platform.URL". Indexes in the path are ignored.
func acceptsTag(path string) string {
	current := reflect.TypeFor[Settings]()
	accepts := ""
	for _, name := range strings.Split(path, ".")[1:] {
		name, _, _ = strings.Cut(name, "[")
		if current.Kind() == reflect.Slice {
			current = current.Elem()
		}
		field, found := current.FieldByName(name)
		if !found {
			return accepts
		}
		accepts = field.Tag.Get("accepts")
		current = field.Type
	}
	return accepts
}
