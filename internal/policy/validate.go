package policy

import (
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
)

// namePattern is what the names of organisations, classes, services, models and failure domains look like.
const namePattern = `^[a-z0-9][a-z0-9._-]{0,62}$`

var (
	nameRegexp = regexp.MustCompile(namePattern)
	fieldRules = newFieldRules()
)

func newFieldRules() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	isName := func(fl validator.FieldLevel) bool { return nameRegexp.MatchString(fl.Field().String()) }
	if err := v.RegisterValidation("name", isName); err != nil {
		panic(fmt.Sprintf("register the rule for names: %v", err))
	}
	return v
}

// Validate returns all faults of the configuration.
func (c *Config) Validate() Errors {
	var faults Errors
	faults.fieldRules(c)
	unique(&faults, "failure_domains", c.FailureDomains, func(d FailureDomain) string { return d.Name })
	unique(&faults, "organisations", c.Organisations, func(o Organisation) string { return o.Name })
	unique(&faults, "classes", c.Classes, func(c Class) string { return c.Name })
	unique(&faults, "services", c.Services, func(s Service) string { return s.Name })
	unique(&faults, "models", c.Models, func(m Model) string { return m.Name })
	unique(&faults, "deployments", c.Deployments, func(d Deployment) string { return d.Name })
	unique(&faults, "backend_servers", c.BackendServers, func(b BackendServer) string { return b.Name })
	for i, s := range c.Services {
		faults.actions(fmt.Sprintf("services[%d].actions", i), s.Actions)
	}
	for i, m := range c.Models {
		if m.Context > 0 && m.MaxTokens > m.Context {
			faults.add(fmt.Sprintf("models[%d].max_tokens", i), "%d exceeds the context of %d tokens", m.MaxTokens, m.Context)
		}
	}
	faults.deployments(c)
	for i, b := range c.BackendServers {
		if strings.Contains(strings.TrimSuffix(b.Name, "*"), "*") {
			faults.add(fmt.Sprintf("backend_servers[%d].name", i), `%q has "*" before its end`, b.Name)
		}
	}
	return faults
}

func (e *Errors) fieldRules(c *Config) {
	err := fieldRules.Struct(c)
	var list validator.ValidationErrors
	if !errors.As(err, &list) {
		return
	}
	for _, f := range list {
		path := strings.TrimPrefix(f.Namespace(), "Config.")
		e.add(path, "%s", ruleMessage(f))
	}
}

func ruleMessage(f validator.FieldError) string {
	isList := f.Kind() == reflect.Slice
	switch f.Tag() {
	case "name":
		return fmt.Sprintf("%q is not a name: 1 to 63 of a-z, 0-9, dot, underscore and hyphen, beginning with a letter or digit", f.Value())
	case "required":
		return "must not be empty"
	case "oneof":
		return fmt.Sprintf("%q is not one of %s", f.Value(), strings.Join(strings.Fields(f.Param()), ", "))
	case "min":
		return fmt.Sprintf("%v is below the least value %s", f.Value(), f.Param())
	case "max":
		if isList {
			return fmt.Sprintf("has more than %s entries", f.Param())
		}
		if f.Kind() == reflect.String {
			return fmt.Sprintf("is longer than %s characters", f.Param())
		}
		return fmt.Sprintf("%v exceeds the greatest value %s", f.Value(), f.Param())
	default:
		return fmt.Sprintf("breaks the rule %q", f.Tag())
	}
}

func (e *Errors) actions(path string, actions []Action) {
	var tree actionNode
	for i, a := range actions {
		at := fmt.Sprintf("%s[%d]", path, i)
		if a.Retry && !a.Idempotent {
			e.add(at+".retry", "must not be true for an action that is not idempotent")
		}
		if fault := checkPattern(a.Path); fault != "" {
			e.add(at+".path", "pattern %q %s", a.Path, fault)
			continue
		}
		if !tree.insert(&ActionRule{Method: a.Method, Path: a.Path}) {
			e.add(at, "repeats the rule for %s %s", a.Method, a.Path)
		}
	}
}

func unique[T any](faults *Errors, path string, list []T, name func(T) string) {
	first := make(map[string]int, len(list))
	for i, item := range list {
		j, taken := first[name(item)]
		if taken {
			faults.add(fmt.Sprintf("%s[%d].name", path, i), "%q is already the name of %s[%d]", name(item), path, j)
			continue
		}
		first[name(item)] = i
	}
}
