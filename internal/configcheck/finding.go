// Package configcheck finds faults and contradictions in a configuration before it is sent, and the differences between two
// versions that can do harm. Its findings are values, so that text and JSON print the same. No finding contains an API key.
package configcheck

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// Severity tells how serious a finding is.
type Severity string

// Severities of findings.
const (
	Error   Severity = "error"   // The configuration does not do what it says.
	Warning Severity = "warning" // Probably a mistake.
)

// Finding is a fault of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	Place    string   `json:"place"` // For example "routes[2].timeout_ms"; empty for the whole document.
	Reason   string   `json:"reason"`
}

// Difference is a change between two versions, in the operators' terms.
type Difference struct {
	Place  string `json:"place"`
	Change string `json:"change"`
	Harm   string `json:"harm,omitempty"` // What the change can do to callers; empty if it can do no harm.
}

// Report is the result of a check.
type Report struct {
	File        string       `json:"file"`
	Format      string       `json:"format"`
	Findings    []Finding    `json:"findings"`
	Differences []Difference `json:"differences,omitempty"`
}

// Count returns the number of findings and of differences that can do harm.
func (r *Report) Count() (findings, harmful int) {
	for i := range r.Differences {
		if r.Differences[i].Harm != "" {
			harmful++
		}
	}
	return len(r.Findings), harmful
}

// WriteText writes the report, one finding or difference on each line.
func (r *Report) WriteText(out io.Writer) error {
	var text strings.Builder
	for _, f := range r.Findings {
		fmt.Fprintf(&text, "%s: %s: %s\n", f.Severity, placeOrDocument(f.Place), f.Reason)
	}
	for _, d := range r.Differences {
		label := "change"
		if d.Harm != "" {
			label = "harmful change"
		}
		fmt.Fprintf(&text, "%s: %s: %s", label, placeOrDocument(d.Place), d.Change)
		if d.Harm != "" {
			fmt.Fprintf(&text, ": %s", d.Harm)
		}
		text.WriteByte('\n')
	}
	if len(r.Findings) == 0 {
		fmt.Fprintf(&text, "%s: the configuration is valid\n", r.File)
	}
	_, err := io.WriteString(out, text.String())
	return err
}

func placeOrDocument(place string) string {
	if place == "" {
		return "document"
	}
	return place
}

// hidden replaces names that contain an API key.
const hidden = "(hidden: contains a key)"

// Secrets are the API keys that must not be printed.
type Secrets []string

// quote returns the quoted name, or a replacement if the name contains a key.
func (s Secrets) quote(name string) string {
	if s.in(name) {
		return hidden
	}
	return strconv.Quote(name)
}

// in reports whether the text contains a key.
func (s Secrets) in(text string) bool {
	return slices.ContainsFunc(s, func(key string) bool { return key != "" && strings.Contains(text, key) })
}

// Redact replaces the texts of the report that contain a key, also in its quoted form.
func (s Secrets) Redact(r *Report) {
	quoted := make(Secrets, 0, 2*len(s))
	for _, key := range s {
		text := strconv.Quote(key)
		quoted = append(quoted, key, text[1:len(text)-1])
	}
	redact := func(texts ...*string) {
		for _, text := range texts {
			if quoted.in(*text) {
				*text = hidden
			}
		}
	}
	for i := range r.Findings {
		redact(&r.Findings[i].Place, &r.Findings[i].Reason)
	}
	for i := range r.Differences {
		redact(&r.Differences[i].Place, &r.Differences[i].Change, &r.Differences[i].Harm)
	}
}

// findings collects findings.
type findings []Finding

func (f *findings) error(place, format string, args ...any) {
	*f = append(*f, Finding{Severity: Error, Place: place, Reason: fmt.Sprintf(format, args...)})
}

func (f *findings) warn(place, format string, args ...any) {
	*f = append(*f, Finding{Severity: Warning, Place: place, Reason: fmt.Sprintf(format, args...)})
}
