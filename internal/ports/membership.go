package ports

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// PathMembers is the path of the membership list.
const PathMembers = "/v1/members"

const defaultMembershipTimeout = 2 * time.Second

// MemberList is the answer of the membership service.
type MemberList struct {
	Members []Member `json:"members"`
}

// MembershipClient reads the membership list and keeps the last one, so that an outage leaves a list that grows stale
// rather than none. It is safe for concurrent use.
type MembershipClient struct {
	client  *transport.Client
	address string

	mu   sync.Mutex
	last []Member  // Guarded by mu. The list of the last successful read; never changed in place.
	at   time.Time // Guarded by mu. When last was read; zero before the first success.
}

var _ Membership = (*MembershipClient)(nil)

// NewMembership returns a client of the membership service at address (host:port).
func NewMembership(address string) *MembershipClient {
	client := transport.NewClient(transport.ClientOptions{RequestTimeout: defaultMembershipTimeout})
	return &MembershipClient{client: client, address: address}
}

// Members reads the list now. The list lags: a member may have left or not yet appear.
func (m *MembershipClient) Members(ctx context.Context) ([]Member, error) {
	var out MemberList
	if err := m.client.JSON(ctx, http.MethodGet, m.address, PathMembers, nil, &out); err != nil {
		return nil, fmt.Errorf("read the membership list: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.last, m.at = out.Members, time.Now()
	return out.Members, nil
}

// Cached returns the last list read and its age; ok is false before the first successful read.
func (m *MembershipClient) Cached() (members []Member, age time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.at.IsZero() {
		return nil, 0, false
	}
	return m.last, time.Since(m.at), true
}

// Poll reads the list every interval until ctx ends and calls onList with each list read (may be nil).
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
