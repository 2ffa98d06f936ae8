package client

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/policy"
)

// PrintJSON writes v as indented JSON.
func PrintJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// writeTable writes a table with aligned columns. The names of the columns are the words of header.
func writeTable(w io.Writer, header string, rows int, row func(i int) []any) error {
	columns := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(columns, strings.ReplaceAll(header, " ", "\t"))
	for i := range rows {
		cells := row(i)
		for j, cell := range cells {
			if j > 0 {
				fmt.Fprint(columns, "\t")
			}
			fmt.Fprint(columns, cellText(fmt.Sprint(cell)))
		}
		fmt.Fprintln(columns)
	}
	return columns.Flush()
}

// cellText returns the text of a cell without line breaks and other control characters: reasons and other texts that users
// enter could contain them. An empty cell becomes "-".
func cellText(s string) string {
	if s == "" {
		return "-"
	}
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return ' '
		}
		return r
	}, s)
}

// formatTime formats a Unix time in milliseconds. It returns "" for 0, which means that there is no time.
func formatTime(ms int64) string {
	if ms == 0 {
		return ""
	}
	return time.UnixMilli(ms).UTC().Format(time.DateTime)
}

// PrintHistory writes configuration revisions as a table.
func PrintHistory(w io.Writer, entries []policy.Entry) error {
	return writeTable(w, "REVISION TIME(UTC) AUTHOR REASON", len(entries), func(i int) []any {
		e := entries[i]
		return []any{e.Revision, formatTime(e.TimeMS), e.Author, e.Reason}
	})
}

// PrintChanges writes the changes between two configuration revisions as a table.
func PrintChanges(w io.Writer, changes []policy.Change) error {
	return writeTable(w, "PATH OLD NEW", len(changes), func(i int) []any {
		return []any{changes[i].Path, changes[i].Old, changes[i].New}
	})
}

// PrintEvents writes audit events as a table.
func PrintEvents(w io.Writer, events []policy.Event) error {
	return writeTable(w, "TIME(UTC) KIND ACTOR TARGET REVISION REASON DETAIL", len(events), func(i int) []any {
		e := events[i]
		return []any{formatTime(e.TimeMS), string(e.Kind), e.Actor, e.Target, e.Revision, e.Reason, e.Detail}
	})
}

// PrintPrograms writes programs as a table.
func PrintPrograms(w io.Writer, programs []api.ProgramInfo) error {
	return writeTable(w, "ID ORGANISATION CLASS STATE CALLS TOKENS OWNER CREATED(UTC)", len(programs), func(i int) []any {
		p := programs[i]
		return []any{p.ID, p.Organisation, p.Class, p.State, p.CallsUsed, p.TokensUsed, p.Owner, formatTime(p.CreatedMS)}
	})
}

// PrintBackends writes backend servers as a table.
func PrintBackends(w io.Writer, backends []api.BackendInfo) error {
	header := "ID KIND SERVICE FAILURE-DOMAIN STATE RUNNING QUEUED SLOTS CACHE FENCE REVISION SEEN(UTC)"
	return writeTable(w, header, len(backends), func(i int) []any {
		b := backends[i]
		cache := fmt.Sprintf("%d/%d", b.Load.CacheUsed, b.Load.CacheCapacity)
		return []any{
			b.ID, b.Kind, b.Service, b.FailureDomain, backendState(b), b.Load.Running, b.Load.Queued, b.Load.Slots,
			cache, fenceSupport(b), b.ConfigRevision, formatTime(b.SeenMS),
		}
	})
}

// backendState returns the state of a backend server for the table. "unseen" means that the sidecar has not responded to a
// heartbeat of the entry yet.
func backendState(b api.BackendInfo) string {
	switch {
	case b.SeenMS == 0:
		return "unseen"
	case b.Leaving || b.Load.Draining:
		return "leaving"
	case !b.Load.Healthy:
		return "down"
	default:
		return "up"
	}
}

// fenceSupport says whether the backend server itself checks fencing numbers, as operators declared.
func fenceSupport(b api.BackendInfo) string {
	if b.ChecksFence {
		return "checks"
	}
	return "ignores"
}
