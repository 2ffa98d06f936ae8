package policy

import (
	"fmt"
	"strings"
)

const (
	anySegment   = "*"
	anyRest      = "**"
	anyMethod    = "*"
	unreserved   = "-._~"
	segmentOther = "!$&'()*+,=:@" // Further characters that a segment may hold as they are.
)

// actionNode is a node of the tree of path patterns; each edge is one segment.
type actionNode struct {
	literals map[string]*actionNode
	wildcard *actionNode
	rules    methodRules // Of patterns that end here.
	rest     methodRules // Of patterns that end here with "**".
}

// methodRules holds the rules of one pattern by method.
type methodRules map[string]*ActionRule

func (m methodRules) find(method string) *ActionRule {
	if m == nil {
		return nil
	}
	if rule, ok := m[method]; ok {
		return rule
	}
	return m[anyMethod]
}

// insert adds a rule. It reports false when a rule with the same method and pattern exists.
func (n *actionNode) insert(rule *ActionRule) bool {
	for rest := strings.TrimPrefix(rule.Path, "/"); rest != ""; {
		var segment string
		segment, rest, _ = strings.Cut(rest, "/")
		if segment == anyRest {
			return add(&n.rest, rule)
		}
		n = n.child(segment)
	}
	return add(&n.rules, rule)
}

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

func add(rules *methodRules, rule *ActionRule) bool {
	if *rules == nil {
		*rules = make(methodRules)
	}
	if _, ok := (*rules)[rule.Method]; ok {
		return false
	}
	(*rules)[rule.Method] = rule
	return true
}

// find returns the most specific rule for the path, given without its leading slash, or nil.
func (n *actionNode) find(method, path string) *ActionRule {
	if path == "" {
		if rule := n.rules.find(method); rule != nil {
			return rule
		}
		return n.rest.find(method)
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
	return n.rest.find(method)
}

// canonicalPath returns the path without its leading slash and query string. It reports false for a path that a
// backend server might read as another one: empty, "." and ".." segments, characters that need escaping, and escapes
// that are needless, lower-case, or stand for a slash, a backslash or a percent sign.
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

func canonicalSegment(s string) bool {
	if s == "" || s == "." || s == ".." {
		return false
	}
	for i := 0; i < len(s); i++ {
		switch {
		case isUnreserved(s[i]) || strings.IndexByte(segmentOther, s[i]) >= 0:
		case s[i] == '%' && canonicalEscape(s[i:]):
			i += 2
		default:
			return false
		}
	}
	return true
}

// canonicalEscape reports whether s begins with an upper-case escape of a character that must be escaped.
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
	needless := isUnreserved(c) || strings.IndexByte(segmentOther, c) >= 0
	return !needless && c != '/' && c != '\\' && c != '%' && c >= ' '
}

func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte(unreserved, c) >= 0
}

// checkPattern says what is wrong with a path pattern, or "".
func checkPattern(pattern string) string {
	rest, ok := strings.CutPrefix(pattern, "/")
	if !ok {
		return "must begin with a slash"
	}
	for rest != "" {
		segment, next, more := strings.Cut(rest, "/")
		switch {
		case segment == anyRest && more:
			return `has "**" before its end`
		case segment != anySegment && segment != anyRest && strings.Contains(segment, "*"):
			return fmt.Sprintf("has %q, where a wildcard must be a whole segment", segment)
		case !canonicalSegment(segment) || more && next == "":
			return "has a segment that is empty, a dot segment or not in canonical escaping"
		}
		rest = next
	}
	return ""
}
