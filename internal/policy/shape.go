package policy

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"
)

// shapeChecker compares a JSON document with Go types. It finds unknown, repeated and missing fields and values of the
// wrong type. A field whose tag has neither omitempty nor omitzero is required.
type shapeChecker struct {
	dec    *json.Decoder
	faults Errors
}

// checkShape returns the differences between a JSON document and Config, or a syntax error.
func checkShape(data []byte) Errors {
	s := &shapeChecker{dec: json.NewDecoder(bytes.NewReader(data))}
	s.dec.UseNumber()
	if err := s.checkValue("", reflect.TypeFor[Config]()); err != nil {
		s.faults.add("", "invalid JSON at byte %d: %v", s.dec.InputOffset(), err)
		return s.faults
	}
	if _, err := s.dec.Token(); err != io.EOF {
		s.faults.add("", "unexpected data after the configuration, at byte %d", s.dec.InputOffset())
	}
	return s.faults
}

// checkValue reads one value and compares it with typ. A nil typ, used below unknown fields and values of the wrong
// type, accepts any value. Its error is a JSON syntax error, which ends the check.
func (s *shapeChecker) checkValue(path string, typ reflect.Type) error {
	token, err := s.dec.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		return s.checkObject(path, typ)
	case json.Delim('['):
		return s.checkArray(path, typ)
	}
	s.checkScalar(path, typ, token)
	return nil
}

func (s *shapeChecker) checkScalar(path string, typ reflect.Type, token json.Token) {
	if typ == nil {
		return
	}
	ok := false
	switch v := token.(type) {
	case string:
		ok = typ.Kind() == reflect.String
	case bool:
		ok = typ.Kind() == reflect.Bool
	case json.Number:
		_, err := v.Int64()
		ok = err == nil && typ.Kind() >= reflect.Int && typ.Kind() <= reflect.Int64
	}
	if !ok {
		s.faults.add(path, "must be %s", typeName(typ))
	}
}

func (s *shapeChecker) checkObject(path string, typ reflect.Type) error {
	fields := fieldsOf(typ)
	if typ != nil && typ.Kind() != reflect.Struct {
		s.faults.add(path, "must be %s", typeName(typ))
	}
	var seen []string
	for s.dec.More() {
		token, err := s.dec.Token()
		if err != nil {
			return err
		}
		name := fmt.Sprint(token)
		child := joinPath(path, name)
		if slices.Contains(seen, name) {
			s.faults.add(child, "occurs more than once")
		}
		seen = append(seen, name)
		field, known := fields[name]
		if !known && typ != nil && typ.Kind() == reflect.Struct {
			s.faults.add(child, "is an unknown field")
		}
		if err := s.checkValue(child, field.typ); err != nil {
			return err
		}
	}
	for _, name := range requiredNames(typ) {
		if !slices.Contains(seen, name) {
			s.faults.add(joinPath(path, name), "is missing")
		}
	}
	_, err := s.dec.Token()
	return err
}

func (s *shapeChecker) checkArray(path string, typ reflect.Type) error {
	var elem reflect.Type
	if typ != nil {
		if typ.Kind() != reflect.Slice {
			s.faults.add(path, "must be %s", typeName(typ))
		} else {
			elem = typ.Elem()
		}
	}
	for i := 0; s.dec.More(); i++ {
		if err := s.checkValue(fmt.Sprintf("%s[%d]", path, i), elem); err != nil {
			return err
		}
	}
	_, err := s.dec.Token()
	return err
}

// jsonField describes how an exported struct field appears in JSON.
type jsonField struct {
	typ      reflect.Type
	required bool
	rules    string // The validate tag.
}

// fieldsOf returns the fields of a struct type by JSON name, or nil for any other type.
func fieldsOf(typ reflect.Type) map[string]jsonField {
	if typ == nil || typ.Kind() != reflect.Struct {
		return nil
	}
	out := make(map[string]jsonField, typ.NumField())
	for i := range typ.NumField() {
		f := typ.Field(i)
		if !f.IsExported() {
			continue
		}
		name, options, _ := strings.Cut(f.Tag.Get("json"), ",")
		out[name] = jsonField{typ: f.Type, required: !strings.Contains(options, "omit"), rules: f.Tag.Get("validate")}
	}
	return out
}

// requiredNames returns the sorted JSON names of a struct type's required fields.
func requiredNames(typ reflect.Type) []string {
	var out []string
	for name, f := range fieldsOf(typ) {
		if f.required {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// typeName returns the name of the JSON type of typ, for error messages.
func typeName(typ reflect.Type) string {
	switch typ.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	default:
		return "an integer"
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
