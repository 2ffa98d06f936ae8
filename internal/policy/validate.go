package policy

import (
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
)

// namePattern matches valid names of organisations, classes, services, models, deployments, adapters, failure domains
// and regions.
const namePattern = `^[a-z0-9][a-z0-9._-]{0,62}$`

var (
	nameRegexp     = regexp.MustCompile(namePattern)
	fieldValidator = newFieldValidator()
)

// newFieldValidator returns a validator that reports fields by their JSON names and knows the rule "name".
func newFieldValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	isName := func(fl validator.FieldLevel) bool { return nameRegexp.MatchString(fl.Field().String()) }
	if err := v.RegisterValidation("name", isName); err != nil {
		panic(fmt.Sprintf("register the validation rule \"name\": %v", err))
	}
	return v
}

// Validate returns all validation errors of the configuration.
func (c *Config) Validate() Errors {
	var faults Errors
	faults.checkFieldRules(c)
	checkUniqueNames(&faults, "failure_domains", c.FailureDomains, func(d FailureDomain) string { return d.Name })
	checkUniqueNames(&faults, "organisations", c.Organisations, func(o Organisation) string { return o.Name })
	checkUniqueNames(&faults, "classes", c.Classes, func(c Class) string { return c.Name })
	checkUniqueNames(&faults, "services", c.Services, func(s Service) string { return s.Name })
	checkUniqueNames(&faults, "models", c.Models, func(m Model) string { return m.Name })
	checkUniqueNames(&faults, "deployments", c.Deployments, func(d Deployment) string { return d.Name })
	checkUniqueNames(&faults, "backend_servers", c.BackendServers, func(b BackendServer) string { return b.Name })
	for i, s := range c.Services {
		faults.checkActions(fmt.Sprintf("services[%d].actions", i), s.Actions)
	}
	for i, m := range c.Models {
		if m.Context > 0 && m.MaxTokens > m.Context {
			faults.add(fmt.Sprintf("models[%d].max_tokens", i), "%d exceeds the context size of %d tokens", m.MaxTokens, m.Context)
		}
	}
	faults.checkDeployments(c)
	for i, b := range c.BackendServers {
		if strings.Contains(strings.TrimSuffix(b.Name, "*"), "*") {
			faults.add(fmt.Sprintf("backend_servers[%d].name", i), `%q has "*" before the end`, b.Name)
		}
	}
	return faults
}

// checkFieldRules checks the rules in the validate tags, each of which concerns one field.
func (e *Errors) checkFieldRules(c *Config) {
	err := fieldValidator.Struct(c)
	var list validator.ValidationErrors
	if !errors.As(err, &list) {
		return
	}
	for _, f := range list {
		path := strings.TrimPrefix(f.Namespace(), "Config.")
		e.add(path, "%s", ruleMessage(f))
	}
}

// ruleMessage describes the violation of a validate tag.
func ruleMessage(f validator.FieldError) string {
	isList := f.Kind() == reflect.Slice
	switch f.Tag() {
	case "name":
		return fmt.Sprintf("%q is not a valid name: use 1 to 63 of a-z, 0-9, dot, underscore and hyphen, starting with a letter or digit", f.Value())
	case "required":
		return "must not be empty"
	case "oneof":
		return fmt.Sprintf("%q is not one of %s", f.Value(), strings.Join(strings.Fields(f.Param()), ", "))
	case "min":
		return fmt.Sprintf("%v is less than the minimum %s", f.Value(), f.Param())
	case "max":
		if isList {
			return fmt.Sprintf("has more than %s entries", f.Param())
		}
		if f.Kind() == reflect.String {
			return fmt.Sprintf("is longer than %s characters", f.Param())
		}
		return fmt.Sprintf("%v exceeds the maximum %s", f.Value(), f.Param())
	default:
		return fmt.Sprintf("violates the rule %q", f.Tag())
	}
}

// checkActions checks a service's action rules, whose path in the configuration is given.
func (e *Errors) checkActions(path string, actions []Action) {
	var tree actionNode
	for i, a := range actions {
		actionPath := fmt.Sprintf("%s[%d]", path, i)
		if a.Retry && !a.Idempotent {
			e.add(actionPath+".retry", "must not be true for an action that is not idempotent")
		}
		if fault := checkPattern(a.Path); fault != "" {
			e.add(actionPath+".path", "pattern %q %s", a.Path, fault)
			continue
		}
		if !tree.insert(&ActionRule{Method: a.Method, Path: a.Path}) {
			e.add(actionPath, "duplicates the rule for %s %s", a.Method, a.Path)
		}
	}
}

// checkUniqueNames adds an error for each item whose name an earlier item of the list has.
func checkUniqueNames[T any](faults *Errors, path string, list []T, name func(T) string) {
	first := make(map[string]int, len(list))
	for i, item := range list {
		j, duplicate := first[name(item)]
		if duplicate {
			faults.add(fmt.Sprintf("%s[%d].name", path, i), "%q is already used by %s[%d]", name(item), path, j)
			continue
		}
		first[name(item)] = i
	}
}
