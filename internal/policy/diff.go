package policy

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Change is a difference in one scalar value between two configurations.
type Change struct {
	Path string `json:"path"`          // For example "classes[interactive].priority". List elements are matched by name.
	Old  string `json:"old,omitempty"` // JSON; empty if the path was added.
	New  string `json:"new,omitempty"` // JSON; empty if the path was removed.
}

// Diff returns the changes between the configurations of two revisions. Revision 0 is the empty configuration.
func (s *Store) Diff(ctx context.Context, from, to uint64) ([]Change, error) {
	a, err := s.configOf(ctx, from)
	if err != nil {
		return nil, err
	}
	b, err := s.configOf(ctx, to)
	if err != nil {
		return nil, err
	}
	return Diff(a, b)
}

func (s *Store) configOf(ctx context.Context, revision uint64) (*Config, error) {
	if revision == 0 {
		return &Config{}, nil
	}
	snapshot, err := s.Get(ctx, revision)
	return snapshot.Config, err
}

// Diff returns the changes from a to b, sorted by path.
func Diff(a, b *Config) ([]Change, error) {
	before, err := flatten(a)
	if err != nil {
		return nil, err
	}
	after, err := flatten(b)
	if err != nil {
		return nil, err
	}
	var out []Change
	for path, value := range before {
		if after[path] != value {
			out = append(out, Change{Path: path, Old: value, New: after[path]})
		}
	}
	for path, value := range after {
		if _, existed := before[path]; !existed {
			out = append(out, Change{Path: path, New: value})
		}
	}
	slices.SortFunc(out, func(x, y Change) int { return bytes.Compare([]byte(x.Path), []byte(y.Path)) })
	return out, nil
}

// flatten returns the scalar values of a configuration as JSON, by path.
func flatten(c *Config) (map[string]string, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	var tree any
	if err := dec.Decode(&tree); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	out := make(map[string]string)
	return out, collectLeaves(out, "", tree)
}

// collectLeaves adds the scalar values below node to out, by path.
func collectLeaves(out map[string]string, path string, node any) error {
	switch v := node.(type) {
	case map[string]any:
		for _, name := range slices.Sorted(maps.Keys(v)) {
			if err := collectLeaves(out, joinPath(path, name), v[name]); err != nil {
				return err
			}
		}
	case []any:
		for i, item := range v {
			if err := collectLeaves(out, fmt.Sprintf("%s[%s]", path, elementName(item, i)), item); err != nil {
				return err
			}
		}
	default:
		text, err := json.Marshal(v)
		if err != nil {
			return fmt.Errorf("encode %s: %w", path, err)
		}
		out[path] = string(text)
	}
	return nil
}

// elementName returns an identifier for a list element: its name, its method and path, or else its index. With a name
// or path, moving an element within its list is not reported as a change.
func elementName(item any, i int) string {
	fields, _ := item.(map[string]any)
	if name, ok := fields["name"].(string); ok {
		return name
	}
	method, _ := fields["method"].(string)
	path, ok := fields["path"].(string)
	if ok {
		return method + " " + path
	}
	return fmt.Sprint(i)
}
