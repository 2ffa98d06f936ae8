package policy

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// FieldError is one validation error of a configuration.
type FieldError struct {
	Path    string `json:"path"` // For example "services[0].actions[2].path"; empty for the whole document.
	Message string `json:"message"`
}

// Error implements error.
func (e FieldError) Error() string {
	if e.Path == "" {
		return e.Message
	}
	return e.Path + ": " + e.Message
}

// Errors lists all validation errors of a configuration.
type Errors []FieldError

// Error implements error.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "; ")
}

func (e *Errors) add(path, format string, args ...any) {
	*e = append(*e, FieldError{Path: path, Message: fmt.Sprintf(format, args...)})
}

// Parse decodes a configuration from JSON, validates it and prepares its lookups. Its error is an Errors value with the
// paths of all invalid fields.
func Parse(data []byte) (*Config, error) {
	if len(data) > MaxConfigBytes {
		return nil, Errors{{Message: fmt.Sprintf("configuration has %d bytes; the limit is %d", len(data), MaxConfigBytes)}}
	}
	if faults := checkShape(data); len(faults) > 0 {
		return nil, faults
	}
	var c Config
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, Errors{{Message: err.Error()}}
	}
	if faults := c.Validate(); len(faults) > 0 {
		return nil, faults
	}
	return c.Compile(), nil
}

// Encode returns the configuration as indented JSON that ends with a newline. Equal configurations give equal bytes.
func (c *Config) Encode() ([]byte, error) {
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	if err := enc.Encode(c); err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return out.Bytes(), nil
}
