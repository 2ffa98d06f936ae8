package ports

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// PathMembers is the HTTP path of the membership list.
const PathMembers = "/v1/members"

const defaultMembershipTimeout = 2 * time.Second

// MemberList is the answer of the membership service.
type MemberList struct {
	Members []Member `json:"members"`
}

// MembershipClient reads the membership list and caches it, so that an outdated list is available during an outage. It is safe
// for concurrent use.
type MembershipClient struct {
	client  *transport.Client
	address string
	log     *slog.Logger

	mu       sync.Mutex
	ignored  map[string]bool // Guarded by mu. Entries of the last list that could not be used.
	last     []Member        // Guarded by mu. The list of the last successful read. Its elements are never modified.
	lastRead time.Time       // Guarded by mu. When last was read; zero before the first successful read.
}

var _ Membership = (*MembershipClient)(nil)

// NewMembership returns a client of the membership service at address (host:port).
func NewMembership(address string, log *slog.Logger) *MembershipClient {
	client := transport.NewClient(transport.ClientOptions{
		RequestTimeout: defaultMembershipTimeout, OnBrokenAnswer: transport.RecordBrokenAnswers(log, metrics.GetDefaultSet()),
	})
	return &MembershipClient{client: client, address: address, log: log}
}

// Members reads the list. The service updates it with a delay: a listed member may have left, and a new one may be missing. Entries
// that cannot be used are logged and left out.
func (m *MembershipClient) Members(ctx context.Context) ([]Member, error) {
	resp, err := m.client.Raw(ctx, nil, http.MethodGet, m.address, PathMembers, nil, false)
	if err != nil {
		return nil, fmt.Errorf("read the membership list: %w", err)
	}
	if resp.Status/100 != 2 {
		return nil, fmt.Errorf("read the membership list: status %d", resp.Status)
	}
	members, ignored, err := decodeMemberList(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("read the membership list: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.logIgnored(ignored)
	m.last, m.lastRead = members, time.Now()
	return members, nil
}

// maxLoggedEntry is the length to which an ignored entry is cut in the log.
const maxLoggedEntry = 200

// logIgnored logs the entries that were not ignored in the last list. The caller holds mu.
func (m *MembershipClient) logIgnored(entries []ignoredMember) {
	before := m.ignored
	m.ignored = make(map[string]bool, len(entries))
	for _, e := range entries {
		text := string(e.entry)
		m.ignored[text] = true
		if !before[text] {
			m.log.Warn("entry of the membership list ignored", "entry", text[:min(len(text), maxLoggedEntry)], "error", e.err)
		}
	}
}

// Cached returns the list of the last successful read and its age. ok is false before the first one.
func (m *MembershipClient) Cached() (members []Member, age time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastRead.IsZero() {
		return nil, 0, false
	}
	return m.last, time.Since(m.lastRead), true
}

// Poll reads the list at the interval until ctx ends. If onList is not nil, it is called with each list read.
func (m *MembershipClient) Poll(ctx context.Context, interval time.Duration, onList func([]Member)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		members, err := m.Members(ctx)
		if err == nil && onList != nil {
			onList(members)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
