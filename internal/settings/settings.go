// Package settings reads a YAML settings file into a struct and validates the fields of the struct.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
)

// Error reports that a settings file is invalid, and where.
type Error struct {
	File   string
	Line   int    // Counted from 1; 0 if the error cannot be assigned to a line.
	Field  string // Path of the field, such as "engine.address"; for a YAML error, the text at the error's position, which may be empty.
	Reason string
}

// Error implements error.
func (e *Error) Error() string {
	location := e.File
	if e.Line > 0 {
		location = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Field == "" {
		return fmt.Sprintf("%s: %s", location, e.Reason)
	}
	return fmt.Sprintf("%s: field %q: %s", location, e.Field, e.Reason)
}

// Load reads the YAML file at path into the struct that into points to. Fields that the file does not contain keep their
// values, so callers set the defaults before. Unknown fields, and values that violate a `validate` tag of the struct, are
// reported as an *Error.
func Load(path string, into any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, data, into)
}

// Parse is like Load for the content of a file. name is the file's name in errors.
func Parse(name string, data []byte, into any) error {
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	if err := decoder.Decode(into); err != nil && !errors.Is(err, io.EOF) {
		return decodeError(name, err)
	}
	return validate(name, data, into)
}

// decodeError converts an error of the YAML library to an *Error, with the line if the library reports one.
func decodeError(name string, err error) error {
	out := &Error{File: name, Reason: err.Error()}
	var positioned yaml.Error
	if !errors.As(err, &positioned) {
		return out
	}
	out.Reason = positioned.GetMessage()
	if token := positioned.GetToken(); token != nil {
		out.Line = token.Position.Line
		out.Field = strings.TrimSpace(token.Value)
	}
	return out
}

// validate checks the struct against its `validate` tags and returns the first violation as an *Error.
func validate(name string, data []byte, into any) error {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlName)
	err := v.Struct(into)
	if err == nil {
		return nil
	}
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) {
		return fmt.Errorf("validate settings of %s: %w", name, err)
	}
	first := violations[0]
	_, field, _ := strings.Cut(first.Namespace(), ".")
	return &Error{File: name, Line: lineOf(data, field), Field: field, Reason: describeViolation(first)}
}

// yamlName returns the name of a struct field in the file.
func yamlName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	if name == "" {
		return strings.ToLower(field.Name)
	}
	return name
}

// describeViolation returns the reason to report for a violation.
func describeViolation(v validator.FieldError) string {
	if v.Tag() == "required" {
		return "a value is required"
	}
	if v.Param() == "" {
		return fmt.Sprintf("the value %v violates the rule %q", v.Value(), v.Tag())
	}
	return fmt.Sprintf("the value %v violates the rule %q", v.Value(), v.Tag()+"="+v.Param())
}

// lineOf returns the line of the field in the file. If the file does not contain the field, it returns the line of the
// nearest parent, or 0 if there is none.
func lineOf(data []byte, field string) int {
	for field != "" {
		path, err := yaml.PathString("$." + field)
		if err != nil {
			return 0
		}
		if node, err := path.ReadNode(bytes.NewReader(data)); err == nil && node != nil {
			return node.GetToken().Position.Line
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			return 0
		}
		field = field[:cut]
	}
	return 0
}
