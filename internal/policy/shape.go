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

// shape checks a JSON document against Go types: unknown, repeated and missing fields, and values of a wrong type.
// A field whose tag has neither omitempty nor omitzero is required.
type shape struct {
	dec    *json.Decoder
	faults Errors
}

func checkShape(data []byte) Errors {
	s := &shape{dec: json.NewDecoder(bytes.NewReader(data))}
	s.dec.UseNumber()
	if err := s.value("", reflect.TypeFor[Config]()); err != nil {
		s.faults.add("", "not valid JSON at byte %d: %v", s.dec.InputOffset(), err)
		return s.faults
	}
	if _, err := s.dec.Token(); err != io.EOF {
		s.faults.add("", "more data after the configuration, at byte %d", s.dec.InputOffset())
	}
	return s.faults
}

func (s *shape) value(path string, typ reflect.Type) error {
	token, err := s.dec.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		return s.object(path, typ)
	case json.Delim('['):
		return s.array(path, typ)
	}
	s.scalar(path, typ, token)
	return nil
}

func (s *shape) scalar(path string, typ reflect.Type, token json.Token) {
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

func (s *shape) object(path string, typ reflect.Type) error {
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
			s.faults.add(child, "is given twice")
		}
		seen = append(seen, name)
		field, known := fields[name]
		if !known && typ != nil && typ.Kind() == reflect.Struct {
			s.faults.add(child, "is not a known field")
		}
		if err := s.value(child, field.typ); err != nil {
			return err
		}
	}
	for _, name := range requiredOf(typ) {
		if !slices.Contains(seen, name) {
			s.faults.add(joinPath(path, name), "is missing")
		}
	}
	_, err := s.dec.Token()
	return err
}

func (s *shape) array(path string, typ reflect.Type) error {
	var elem reflect.Type
	if typ != nil {
		if typ.Kind() != reflect.Slice {
			s.faults.add(path, "must be %s", typeName(typ))
		} else {
			elem = typ.Elem()
		}
	}
	for i := 0; s.dec.More(); i++ {
		if err := s.value(fmt.Sprintf("%s[%d]", path, i), elem); err != nil {
			return err
		}
	}
	_, err := s.dec.Token()
	return err
}

// field is an exported field of a struct as JSON sees it.
type field struct {
	typ      reflect.Type
	required bool
	rules    string // The validate tag.
}

func fieldsOf(typ reflect.Type) map[string]field {
	if typ == nil || typ.Kind() != reflect.Struct {
		return nil
	}
	out := make(map[string]field, typ.NumField())
	for i := range typ.NumField() {
		f := typ.Field(i)
		if !f.IsExported() {
			continue
		}
		name, options, _ := strings.Cut(f.Tag.Get("json"), ",")
		out[name] = field{typ: f.Type, required: !strings.Contains(options, "omit"), rules: f.Tag.Get("validate")}
	}
	return out
}

func requiredOf(typ reflect.Type) []string {
	var out []string
	for name, f := range fieldsOf(typ) {
		if f.required {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

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
		return "a whole number"
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
