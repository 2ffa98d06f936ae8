package operator_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"slices"
	"testing"
)

// schema is a JSON Schema with the keywords that docs/config.schema.json uses.
type schema struct {
	Schema               string            `json:"$schema"`
	Title                string            `json:"title"`
	Type                 string            `json:"type"`
	Properties           map[string]schema `json:"properties"`
	Required             []string          `json:"required"`
	AdditionalProperties *bool             `json:"additionalProperties"`
	Items                *schema           `json:"items"`
	MaxItems             *int              `json:"maxItems"`
	Minimum              *float64          `json:"minimum"`
	Maximum              *float64          `json:"maximum"`
	MinLength            *int              `json:"minLength"`
	MaxLength            *int              `json:"maxLength"`
	Pattern              *string           `json:"pattern"`
	Enum                 []string          `json:"enum"`
}

// readSchema reads docs/config.schema.json. It fails on an unknown keyword, which would otherwise not be checked.
func readSchema(t *testing.T) schema {
	t.Helper()
	data, err := os.ReadFile("../docs/config.schema.json")
	if err != nil {
		t.Fatal(err)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var s schema
	if err := dec.Decode(&s); err != nil {
		t.Fatal(err)
	}
	return s
}

func decode(t *testing.T, data []byte) any {
	t.Helper()
	var v any
	if err := json.Unmarshal(data, &v); err != nil {
		t.Fatal(err)
	}
	return v
}

// faults returns the violations of the schema in a decoded value, each with its path.
func (s schema) faults(path string, value any) []string {
	fault := func(format string, args ...any) []string { return []string{path + ": " + fmt.Sprintf(format, args...)} }
	switch v := value.(type) {
	case map[string]any:
		if s.Type != "object" {
			return fault("is an object, not %s", s.Type)
		}
		return s.objectFaults(path, v)
	case []any:
		if s.Type != "array" || s.MaxItems != nil && len(v) > *s.MaxItems {
			return fault("is an array of %d, not %s", len(v), s.Type)
		}
		var out []string
		for i, item := range v {
			out = append(out, s.Items.faults(fmt.Sprintf("%s[%d]", path, i), item)...)
		}
		return out
	case string:
		short := s.MinLength != nil && len(v) < *s.MinLength
		long := s.MaxLength != nil && len(v) > *s.MaxLength
		mismatched := s.Pattern != nil && !regexp.MustCompile(*s.Pattern).MatchString(v)
		unlisted := s.Enum != nil && !slices.Contains(s.Enum, v)
		if s.Type != "string" || short || long || mismatched || unlisted {
			return fault("%q is not allowed", v)
		}
	case float64:
		outside := s.Minimum != nil && v < *s.Minimum || s.Maximum != nil && v > *s.Maximum
		if s.Type != "integer" || v != float64(int64(v)) || outside {
			return fault("%v is not allowed", v)
		}
	default:
		if _, ok := v.(bool); !ok || s.Type != "boolean" {
			return fault("%v is not allowed", v)
		}
	}
	return nil
}

// objectFaults returns the unknown and missing fields of an object and the violations in its values.
func (s schema) objectFaults(path string, object map[string]any) []string {
	var out []string
	for name, value := range object {
		property, known := s.Properties[name]
		if !known {
			if s.AdditionalProperties == nil || !*s.AdditionalProperties {
				out = append(out, path+"."+name+": is an unknown field")
			}
			continue
		}
		out = append(out, property.faults(path+"."+name, value)...)
	}
	for _, name := range s.Required {
		if _, given := object[name]; !given {
			out = append(out, path+"."+name+": is missing")
		}
	}
	return out
}
