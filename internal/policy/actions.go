package policy

import (
	"fmt"
	"strings"
)

const (
	anySegment      = "*"
	anySuffix       = "**"
	anyMethod       = "*"
	unreserved      = "-._~"         // Unreserved characters of RFC 3986 other than letters and digits.
	reservedAllowed = "!$&'()*+,=:@" // Reserved characters that a path segment may contain unescaped.
)

// actionNode is a node in the tree of path patterns. Each edge stands for one segment.
type actionNode struct {
	literals    map[string]*actionNode
	wildcard    *actionNode
	rules       methodRules // Rules whose pattern ends at this node.
	suffixRules methodRules // Rules whose pattern ends with "**" after this node.
}

// methodRules holds the rules of one pattern, by method.
type methodRules map[string]*ActionRule

// find returns the rule for the method, else the rule for any method, else nil.
func (m methodRules) find(method string) *ActionRule {
	if m == nil {
		return nil
	}
	if rule, ok := m[method]; ok {
		return rule
	}
	return m[anyMethod]
}

// insert adds a rule to the tree. It returns false if a rule with the same method and pattern exists.
func (n *actionNode) insert(rule *ActionRule) bool {
	for rest := strings.TrimPrefix(rule.Path, "/"); rest != ""; {
		var segment string
		segment, rest, _ = strings.Cut(rest, "/")
		if segment == anySuffix {
			return addRule(&n.suffixRules, rule)
		}
		n = n.child(segment)
	}
	return addRule(&n.rules, rule)
}

// child returns the child node for a segment of a pattern and creates it if needed.
func (n *actionNode) child(segment string) *actionNode {
	if segment == anySegment {
		if n.wildcard == nil {
			n.wildcard = &actionNode{}
		}
		return n.wildcard
	}
	next, ok := n.literals[segment]
	if !ok {
		next = &actionNode{}
		if n.literals == nil {
			n.literals = make(map[string]*actionNode)
		}
		n.literals[segment] = next
	}
	return next
}

// addRule adds a rule to the rules of one pattern. It returns false if there is already a rule for the method.
func addRule(rules *methodRules, rule *ActionRule) bool {
	if *rules == nil {
		*rules = make(methodRules)
	}
	if _, ok := (*rules)[rule.Method]; ok {
		return false
	}
	(*rules)[rule.Method] = rule
	return true
}

// find returns the most specific rule for the path, or nil. The path has no leading slash.
func (n *actionNode) find(method, path string) *ActionRule {
	if path == "" {
		if rule := n.rules.find(method); rule != nil {
			return rule
		}
		return n.suffixRules.find(method)
	}
	segment, rest, _ := strings.Cut(path, "/")
	if next, ok := n.literals[segment]; ok {
		if rule := next.find(method, rest); rule != nil {
			return rule
		}
	}
	if n.wildcard != nil {
		if rule := n.wildcard.find(method, rest); rule != nil {
			return rule
		}
	}
	return n.suffixRules.find(method)
}

// canonicalPath returns the path without its leading slash and query string. It returns false for a path that a backend
// server might normalise to a different one. Such a path has empty, "." or ".." segments, characters that need
// escaping, or percent-escapes that are unnecessary, in lower case, or stand for a slash, a backslash, a percent sign
// or a control character other than DEL.
func canonicalPath(path string) (string, bool) {
	path, _, _ = strings.Cut(path, "?")
	path = strings.TrimPrefix(path, "/")
	for rest := path; rest != ""; {
		segment, next, more := strings.Cut(rest, "/")
		if !canonicalSegment(segment) || more && next == "" {
			return "", false
		}
		rest = next
	}
	return path, true
}

// canonicalSegment reports whether a path segment has the form that canonicalPath requires.
func canonicalSegment(s string) bool {
	if s == "" || s == "." || s == ".." {
		return false
	}
	for i := 0; i < len(s); i++ {
		switch {
		case isUnreserved(s[i]) || strings.IndexByte(reservedAllowed, s[i]) >= 0:
		case s[i] == '%' && canonicalEscape(s[i:]):
			i += 2
		default:
			return false
		}
	}
	return true
}

// canonicalEscape reports whether s begins with an upper-case percent-escape that canonicalPath accepts.
func canonicalEscape(s string) bool {
	const digits = "0123456789ABCDEF"
	if len(s) < 3 {
		return false
	}
	high, low := strings.IndexByte(digits, s[1]), strings.IndexByte(digits, s[2])
	if high < 0 || low < 0 {
		return false
	}
	c := byte(high<<4 | low)
	unnecessary := isUnreserved(c) || strings.IndexByte(reservedAllowed, c) >= 0
	return !unnecessary && c != '/' && c != '\\' && c != '%' && c >= ' '
}

// isUnreserved reports whether c is an unreserved character of RFC 3986.
func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte(unreserved, c) >= 0
}

// checkPattern describes what makes a path pattern invalid. It returns "" for a valid one.
func checkPattern(pattern string) string {
	rest, ok := strings.CutPrefix(pattern, "/")
	if !ok {
		return "must start with a slash"
	}
	for rest != "" {
		segment, next, more := strings.Cut(rest, "/")
		switch {
		case segment == anySuffix && more:
			return `has "**" before the end`
		case segment != anySegment && segment != anySuffix && strings.Contains(segment, "*"):
			return fmt.Sprintf("has %q, but a wildcard must be a whole segment", segment)
		case !canonicalSegment(segment) || more && next == "":
			return "has a segment that is empty, is a dot segment or is not canonically escaped"
		}
		rest = next
	}
	return ""
}
