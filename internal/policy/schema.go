package policy

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// jsonSchema holds the JSON Schema keywords that describe a configuration.
type jsonSchema struct {
	Schema               string                `json:"$schema,omitempty"`
	Title                string                `json:"title,omitempty"`
	Type                 string                `json:"type"`
	Properties           map[string]jsonSchema `json:"properties,omitempty"`
	Required             []string              `json:"required,omitempty"`
	AdditionalProperties *bool                 `json:"additionalProperties,omitempty"`
	Items                *jsonSchema           `json:"items,omitempty"`
	MaxItems             *int64                `json:"maxItems,omitempty"`
	Minimum              *int64                `json:"minimum,omitempty"`
	Maximum              *int64                `json:"maximum,omitempty"`
	MinLength            *int64                `json:"minLength,omitempty"`
	MaxLength            *int64                `json:"maxLength,omitempty"`
	Pattern              string                `json:"pattern,omitempty"`
	Enum                 []string              `json:"enum,omitempty"`
}

// Schema returns the JSON Schema of a configuration, generated from the Go types and their validate tags. Rules that
// involve several fields, such as unique names, are not in the schema; only Parse checks them.
func Schema() ([]byte, error) {
	s := schemaOf(reflect.TypeFor[Config](), "")
	s.Schema = "https://json-schema.org/draft/2020-12/schema"
	s.Title = "redwinggauge configuration"
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode schema: %w", err)
	}
	return append(data, '\n'), nil
}

// schemaOf returns the schema of a type whose field has the validate tag rules.
func schemaOf(typ reflect.Type, rules string) jsonSchema {
	s := jsonSchema{Type: schemaType(typ)}
	switch typ.Kind() {
	case reflect.Struct:
		s.Properties = make(map[string]jsonSchema)
		for name, f := range fieldsOf(typ) {
			s.Properties[name] = schemaOf(f.typ, f.rules)
		}
		s.Required = requiredNames(typ)
		s.AdditionalProperties = new(bool)
	case reflect.Slice:
		items := schemaOf(typ.Elem(), "")
		s.Items = &items
	}
	for rule := range strings.SplitSeq(rules, ",") {
		s.applyRule(typ, rule)
	}
	return s
}

func schemaType(typ reflect.Type) string {
	switch typ.Kind() {
	case reflect.Struct:
		return "object"
	case reflect.Slice:
		return "array"
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "boolean"
	default:
		return "integer"
	}
}

// applyRule adds the keyword for one rule of a validate tag.
func (s *jsonSchema) applyRule(typ reflect.Type, rule string) {
	name, param, _ := strings.Cut(rule, "=")
	number, _ := strconv.ParseInt(param, 10, 64)
	switch {
	case name == "name":
		s.Pattern = namePattern
	case name == "required":
		s.MinLength = new(int64)
		*s.MinLength = 1
	case name == "oneof":
		s.Enum = strings.Fields(param)
	case name == "min":
		s.Minimum = &number
	case name == "max" && typ.Kind() == reflect.Slice:
		s.MaxItems = &number
	case name == "max" && typ.Kind() == reflect.String:
		s.MaxLength = &number
	case name == "max":
		s.Maximum = &number
	}
}
