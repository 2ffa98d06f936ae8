package configcheck

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
)

// maxDepth is the maximum nesting of the checked fields; what lies deeper is an unknown field anyway.
const maxDepth = 100

// Document is a configuration file that is valid JSON.
type Document struct {
	Data    []byte
	Secrets Secrets // Values of fields whose name contains "key", anywhere in the document.
	fields  map[string]bool
}

// ReadDocument checks that the data is one JSON object. Its error contains a line and column, and nothing from the data:
// encoding/json quotes parts of the document, which may be keys.
func ReadDocument(data []byte) (*Document, error) {
	var fields map[string]json.RawMessage
	err := json.Unmarshal(data, &fields)
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &syntax):
		return nil, fmt.Errorf("line %s: not valid JSON", position(data, syntax.Offset))
	case err != nil || fields == nil:
		return nil, errors.New("not a JSON object")
	}
	d := &Document{Data: data, fields: make(map[string]bool)}
	for name := range fields {
		d.fields[strings.ToLower(name)] = true
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	var tree any
	if err := dec.Decode(&tree); err != nil {
		return nil, errors.New("not valid JSON")
	}
	d.collectSecrets(tree, false)
	return d, nil
}

// Has reports whether the document's object has one of the fields.
func (d *Document) Has(names ...string) bool {
	for _, name := range names {
		if d.fields[name] {
			return true
		}
	}
	return false
}

// collectSecrets collects the values below fields whose name contains "key", also where the value has the wrong type.
func (d *Document) collectSecrets(node any, secret bool) {
	switch v := node.(type) {
	case map[string]any:
		for name, child := range v {
			if secret {
				d.Secrets = append(d.Secrets, name)
			}
			d.collectSecrets(child, secret || strings.Contains(strings.ToLower(name), "key"))
		}
	case []any:
		for _, child := range v {
			d.collectSecrets(child, secret)
		}
	case string, json.Number:
		if secret {
			d.Secrets = append(d.Secrets, fmt.Sprint(v))
		}
	}
}

// position returns the line and column of a byte, both counted from 1.
func position(data []byte, offset int64) string {
	before := data[:min(int(offset), len(data))]
	line := bytes.Count(before, []byte{'\n'}) + 1
	return fmt.Sprintf("%d, column %d", line, len(before)-bytes.LastIndexByte(before, '\n')-1)
}

// shape compares a document with a Go type.
type shape struct {
	data []byte
	dec  *json.Decoder
	findings
}

// CheckShape finds the unknown and repeated fields of the document and the values of the wrong type. Field names are compared
// as encoding/json does, without case. Unknown names are not printed, since a misplaced key may be one.
func (d *Document) CheckShape(typ reflect.Type) []Finding {
	s := &shape{data: d.Data, dec: json.NewDecoder(bytes.NewReader(d.Data))}
	s.dec.UseNumber()
	if err := s.value("", typ, 0); err != nil {
		s.error("", "line %s: not valid JSON", position(s.data, s.dec.InputOffset()))
	}
	return s.findings
}

// value reads one value. A nil type accepts any value.
func (s *shape) value(place string, typ reflect.Type, depth int) error {
	if typ == nil || depth > maxDepth {
		var skipped json.RawMessage
		return s.dec.Decode(&skipped)
	}
	optional := typ.Kind() == reflect.Pointer
	if optional {
		typ = typ.Elem()
	}
	token, err := s.dec.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		return s.object(place, typ, depth)
	case json.Delim('['):
		return s.array(place, typ, depth)
	case nil:
		if optional {
			return nil
		}
	}
	if !scalarFits(typ, token) {
		s.error(place, "line %s: must be %s", position(s.data, s.dec.InputOffset()), typeName(typ))
	}
	return nil
}

func scalarFits(typ reflect.Type, token json.Token) bool {
	switch v := token.(type) {
	case string:
		return typ.Kind() == reflect.String
	case bool:
		return typ.Kind() == reflect.Bool
	case json.Number:
		if typ.Kind() == reflect.Float64 {
			_, err := v.Float64()
			return err == nil
		}
		_, err := strconv.ParseInt(v.String(), 10, 64)
		return err == nil && typ.Kind() >= reflect.Int && typ.Kind() <= reflect.Int64
	}
	return false
}

func (s *shape) object(place string, typ reflect.Type, depth int) error {
	fields := make(map[string]reflect.StructField)
	if typ.Kind() != reflect.Struct {
		s.error(place, "line %s: must be %s", position(s.data, s.dec.InputOffset()), typeName(typ))
	} else {
		for i := range typ.NumField() {
			name, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
			fields[name] = typ.Field(i)
		}
	}
	seen := make(map[string]bool)
	for s.dec.More() {
		token, err := s.dec.Token()
		if err != nil {
			return err
		}
		name := strings.ToLower(fmt.Sprint(token))
		field, known := fields[name]
		if !known {
			if typ.Kind() == reflect.Struct {
				s.error(place, "line %s: unknown field", position(s.data, s.dec.InputOffset()))
			}
			if err := s.value(place, nil, depth+1); err != nil {
				return err
			}
			continue
		}
		child := strings.TrimPrefix(place+"."+name, ".")
		if seen[name] {
			s.error(child, "line %s: occurs more than once", position(s.data, s.dec.InputOffset()))
		}
		seen[name] = true
		if err := s.value(child, field.Type, depth+1); err != nil {
			return err
		}
	}
	_, err := s.dec.Token()
	return err
}

func (s *shape) array(place string, typ reflect.Type, depth int) error {
	var elem reflect.Type
	if typ.Kind() == reflect.Slice {
		elem = typ.Elem()
	} else {
		s.error(place, "line %s: must be %s", position(s.data, s.dec.InputOffset()), typeName(typ))
	}
	for i := 0; s.dec.More(); i++ {
		if err := s.value(fmt.Sprintf("%s[%d]", place, i), elem, depth+1); err != nil {
			return err
		}
	}
	_, err := s.dec.Token()
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
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
	case reflect.Float64:
		return "a number"
	default:
		return "an integer"
	}
}
