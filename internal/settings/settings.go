// Package settings reads the YAML settings file of a process into a struct and validates every field.
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

// Error reports a settings file that cannot be used.
type Error struct {
	File   string
	Line   int    // 1-based; 0 when the problem belongs to no line.
	Field  string // Path of the field in the file, such as "engine.address"; empty for a syntax error.
	Reason string
}

// Error implements error.
func (e *Error) Error() string {
	where := e.File
	if e.Line > 0 {
		where = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Field == "" {
		return fmt.Sprintf("%s: %s", where, e.Reason)
	}
	return fmt.Sprintf("%s: field %q: %s", where, e.Field, e.Reason)
}

// Load reads the YAML file at path into the struct that into points to. Fields absent from the file keep the values
// that into holds, so that a caller fills in defaults first. Unknown fields and values that violate the struct's
// `validate` tags are refused with an *Error.
func Load(path string, into any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, data, into)
}

// Parse does what Load does for a file's content; name stands for the file in errors.
func Parse(name string, data []byte, into any) error {
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	if err := decoder.Decode(into); err != nil && !errors.Is(err, io.EOF) {
		return decodeError(name, err)
	}
	return validate(name, data, into)
}

// decodeError turns an error of the YAML library into an *Error.
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

// validate checks into against its tags and reports the first violation.
func validate(name string, data []byte, into any) error {
	check := validator.New(validator.WithRequiredStructEnabled())
	check.RegisterTagNameFunc(yamlName)
	err := check.Struct(into)
	if err == nil {
		return nil
	}
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) {
		return fmt.Errorf("validate settings of %s: %w", name, err)
	}
	first := violations[0]
	_, field, _ := strings.Cut(first.Namespace(), ".")
	return &Error{File: name, Line: lineOf(data, field), Field: field, Reason: reason(first)}
}

// yamlName returns the name that a struct field has in the file.
func yamlName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	if name == "" {
		return strings.ToLower(field.Name)
	}
	return name
}

// reason words a violation.
func reason(v validator.FieldError) string {
	if v.Tag() == "required" {
		return "a value is required"
	}
	if v.Param() == "" {
		return fmt.Sprintf("the value %v violates the rule %q", v.Value(), v.Tag())
	}
	return fmt.Sprintf("the value %v violates the rule %q", v.Value(), v.Tag()+"="+v.Param())
}

// lineOf returns the line of the field in the file, or that of its nearest parent; 0 when neither is there.
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
