package source

import (
	"bytes"
	"errors"
	"io"
	"regexp"
	"strconv"

	"go.yaml.in/yaml/v3"
)

var (
	lineMessage  = regexp.MustCompile(`^line (\d+): (.*)$`)
	unknownField = regexp.MustCompile(`^field (\S+) not found in type .*$`)
)

// decode reads one file strictly: unknown fields, duplicate keys and a second
// document are problems.
func decode(file File) (*document, Problems) {
	doc := &document{}
	decoder := yaml.NewDecoder(bytes.NewReader(file.Data))
	decoder.KnownFields(true)
	if err := decoder.Decode(doc); err != nil {
		return nil, yamlProblems(file.Name, err)
	}
	var second yaml.Node
	if err := decoder.Decode(&second); !errors.Is(err, io.EOF) {
		return nil, Problems{{File: file.Name, Line: second.Line, Message: "a file holds one YAML document only"}}
	}
	return doc, nil
}

func yamlProblems(name string, err error) Problems {
	if errors.Is(err, io.EOF) {
		return Problems{{File: name, Message: "the file is empty"}}
	}
	var typed *yaml.TypeError
	if !errors.As(err, &typed) {
		return Problems{lineProblem(name, trimYAML(err.Error()))}
	}
	var problems Problems
	for _, text := range typed.Errors {
		problems = append(problems, lineProblem(name, text))
	}
	return problems
}

// lineProblem takes the line out of a message of the YAML library.
func lineProblem(name, text string) Problem {
	problem := Problem{File: name, Message: text}
	if parts := lineMessage.FindStringSubmatch(text); parts != nil {
		problem.Line, _ = strconv.Atoi(parts[1])
		problem.Message = parts[2]
	}
	if parts := unknownField.FindStringSubmatch(problem.Message); parts != nil {
		problem.Field, problem.Message = parts[1], "unknown field"
	}
	return problem
}

func trimYAML(text string) string {
	const prefix = "yaml: "
	if len(text) > len(prefix) && text[:len(prefix)] == prefix {
		return text[len(prefix):]
	}
	return text
}
