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

// MaxFileBytes bounds a settings file.
const MaxFileBytes = 1 << 20

// Load reads and checks a settings file. Its error is of type Problems when
// the file could be read.
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

// Parse reads and checks the content of a settings file; the name is for
// messages. Its error is of type Problems.
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

// validate checks the values; a field that could not be decoded is not
// reported a second time.
func (d *decoder) validate(settings *Settings) {
	reported := make(map[string]bool, len(d.problems))
	for _, problem := range d.problems {
		reported[problem.Field] = true
	}
	if settings.Platform.URL == "" && !settings.Static.Enabled() && !reported["platform.url"] {
		d.problems = append(d.problems, Problem{
			File: d.file, Line: d.lines["platform.url"], Field: "platform.url", Got: "nothing",
			Accepts: acceptsOf("Settings.Platform.URL"),
		})
	}
	var faults validator.ValidationErrors
	if !errors.As(newValidator().Struct(settings), &faults) {
		return
	}
	for _, fault := range faults {
		field := strings.TrimPrefix(fault.Namespace(), "Settings.")
		if reported[field] {
			continue
		}
		d.problems = append(d.problems, Problem{
			File: d.file, Line: d.lineOf(field), Field: field,
			Got: gotOf(fault.Value()), Accepts: acceptsOf(fault.StructNamespace()),
		})
	}
}

// lineOf returns the line of a field or of the nearest field around it.
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
	checks := validator.New(validator.WithRequiredStructEnabled())
	checks.RegisterTagNameFunc(func(field reflect.StructField) string {
		return field.Tag.Get("yaml")
	})
	// The tag and the function are constants, so that this never fails.
	_ = checks.RegisterValidation("ip_port", func(level validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(level.Field().String())
		return err == nil
	})
	return checks
}

func gotOf(value any) string {
	text := fmt.Sprint(value)
	if text == "" || text == "[]" {
		return "nothing"
	}
	return quote(text)
}

// acceptsOf finds the accepts tag by the Go path of a field.
func acceptsOf(path string) string {
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
