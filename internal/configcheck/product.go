package configcheck

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/policy"
)

// DecodeProduct decodes the product's own configuration. It returns nil if the configuration is invalid.
func DecodeProduct(data []byte) (*policy.Config, []Finding) {
	config, err := policy.Parse(data)
	var faults policy.Errors
	if err != nil && !errors.As(err, &faults) {
		faults = policy.Errors{{Message: err.Error()}}
	}
	var f findings
	for _, fault := range faults {
		f.error(fault.Path, "%s", fault.Message)
	}
	return config, f
}

// CheckProduct returns the findings on a valid configuration.
func CheckProduct(c *policy.Config) []Finding {
	var f findings
	longest, tokens := time.Duration(0), 0 // Of one call.
	for _, m := range c.Models {
		model, _ := c.Model(m.Name)
		longest, tokens = max(longest, model.Timeout()), max(tokens, model.MaxTokens)
	}
	for i, class := range c.Classes {
		budget := c.Budget("", class.Name)
		full, _ := c.Class(class.Name)
		at := fmt.Sprintf("classes[%d]", i)
		if budget.Time() < full.IdleTimeout() {
			f.warn(at+".idle_timeout_ms", "the idle timeout of %v exceeds the budget of %v for the whole program", full.IdleTimeout(), budget.Time())
		}
		if budget.Time() < longest {
			f.warn(at+".budget.time_ms", "the budget of %v is less than the timeout of %v of one call of a model", budget.Time(), longest)
		}
		if budget.Tokens < tokens {
			f.error(at+".budget.tokens", "the budget of %d tokens is less than the %d that one call of a model may take", budget.Tokens, tokens)
		}
	}
	deployed := make(map[string]bool)
	for i, d := range c.Deployments {
		deployed[d.Name] = true
		if !slices.ContainsFunc(d.Replicas, func(r policy.Replicas) bool { return r.Min > 0 || r.Max > 0 }) {
			f.error(fmt.Sprintf("deployments[%d].replicas", i), "no engine serves the model")
		}
	}
	for i, m := range c.Models {
		if len(c.Deployments) > 0 && !deployed[m.Name] {
			f.warn(fmt.Sprintf("models[%d]", i), "no deployment names model %q", m.Name)
		}
	}
	for i, s := range c.Services {
		checkActions(&f, fmt.Sprintf("services[%d].actions", i), s.Actions)
	}
	return f
}

// checkActions finds rules with "**" that can never match, since a path below it matches a rule with "*" and the path itself a
// rule without a wildcard, both of which take precedence.
func checkActions(f *findings, place string, actions []policy.Action) {
	for i, a := range actions {
		base, ok := strings.CutSuffix(a.Path, "/**")
		covers := func(path string) bool {
			return slices.ContainsFunc(actions, func(other policy.Action) bool {
				return other.Path == path && (other.Method == a.Method || other.Method == "*")
			})
		}
		if ok && covers(base+"/*/**") && (covers(base) || base == "" && covers("/")) {
			f.error(fmt.Sprintf("%s[%d]", place, i), "can never match: rules for %s and %s take precedence", strconv.Quote(cmp.Or(base, "/")), strconv.Quote(base+"/*/**"))
		}
	}
}

// ProductChanges returns the differences from a to b.
func ProductChanges(a, b *policy.Config) ([]Difference, error) {
	changes, err := policy.Diff(a, b)
	if err != nil {
		return nil, err
	}
	removed, added := make(map[string]bool), make(map[string]bool)
	for _, c := range changes {
		switch object := namedObject(c.Path); {
		case object != "" && c.New == "":
			removed[object] = true
		case object != "" && c.Old == "":
			added[object] = true
		}
	}
	var d differences
	for _, c := range changes {
		switch {
		case isPart(c.Path, removed) || isPart(c.Path, added):
			object := namedObject(c.Path)
			parent := strings.TrimSuffix(object, "]")
			if object != "" && !isPart(parent, removed) && !isPart(parent, added) {
				d.add(object, removed[object], "calls and programs that name it are refused, or lose its rules", "%s", verb(removed[object]))
			}
		default:
			d.productChange(c)
		}
	}
	return d, nil
}

// namedObject returns the path of the object if path is that of its name or, for actions, its pattern, else "".
func namedObject(path string) string {
	for _, field := range []string{".name", ".path"} {
		if object, ok := strings.CutSuffix(path, "]"+field); ok {
			return object + "]"
		}
	}
	return ""
}

func verb(removed bool) string {
	if removed {
		return "removed"
	}
	return "added"
}

// isPart reports whether the path lies within one of the objects.
func isPart(path string, objects map[string]bool) bool {
	for i := range path {
		if path[i] == ']' && objects[path[:i+1]] {
			return true
		}
	}
	return false
}

// productChange adds a changed value.
func (d *differences) productChange(c policy.Change) {
	field := c.Path[strings.LastIndex(c.Path, ".")+1:]
	before, after := cmp.Or(c.Old, "unset"), cmp.Or(c.New, "unset")
	x, errX := strconv.ParseInt(c.Old, 10, 64)
	y, errY := strconv.ParseInt(c.New, 10, 64)
	harm := ""
	switch {
	case field == "idempotent" && c.New == "true", field == "retry" && c.New == "true":
		harm = "calls of the action may now be executed more than once"
	case field == "checks_fence" && c.New == "true":
		harm = "orders are repeated at servers that may not check fencing numbers"
	case field == "priority":
		if y < x {
			harm = "the class's calls wait behind more others"
		}
	case field == "min", field == "max":
		if y < x { // Unset counts as 0.
			harm = "fewer engines serve the model"
		}
	case errX == nil && errY == nil && y < x, c.Old == "" && errY == nil, c.New == "" && errX == nil:
		harm = "a limit is lower, new or back at its default: what was within it may now be refused or ended"
	}
	d.add(c.Path, harm != "", harm, "%s becomes %s", before, after)
}
