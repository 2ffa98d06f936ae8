package peers

import (
	"context"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	pathPermit = "/peers/permit"
	// permitTimeout is how long a call waits for the hub's answer before it gets its permit without the hub. The hub answers
	// such a request at once.
	permitTimeout = 300 * time.Millisecond
)

// PermitCall asks the hub for a permit for one call of an organisation with a quota.
type PermitCall struct {
	Organisation string `json:"o"`
	Program      string `json:"p,omitempty"`
	Route        string `json:"r,omitempty"`
	New          bool   `json:"n,omitempty"` // The call begins its program, unless the hub knows the program.
	Held         bool   `json:"h,omitempty"` // The hub has told the call to wait and to ask again.
	FinishMS     int64  `json:"f,omitempty"` // Milliseconds within which the program should finish; 0 if unknown.
	PatienceMS   int64  `json:"w,omitempty"` // Milliseconds for which the caller can wait.
}

// Permit answers a PermitCall.
type Permit struct {
	Granted bool   `json:"g,omitempty"`
	DelayMS int64  `json:"d,omitempty"` // If granted: milliseconds after which the call may be sent.
	Term    int64  `json:"t,omitempty"` // If granted: the hub's term in which the permit was issued, to return it.
	AfterUS int64  `json:"a,omitempty"` // If granted: microseconds from the start of the term to the issue.
	Reason  string `json:"r,omitempty"` // If not granted.
	RetryMS int64  `json:"w,omitempty"` // If not granted: milliseconds after which the call may ask again or its caller may return.
	Hold    bool   `json:"h,omitempty"` // If not granted: the call may wait and ask again.
	Used    int    `json:"u,omitempty"` // If not granted: permits that the hub has issued in the window.
	AgeMS   int64  `json:"k,omitempty"` // If not granted: milliseconds since the hub's term began, before which it knows nothing.
}

// PermitReturn returns the permit of a call that ran at no server to the hub that issued it.
type PermitReturn struct {
	Organisation string `json:"o"`
	Term         int64  `json:"t"`
	AfterUS      int64  `json:"a"`
}

// PermitRequest asks the hub for permits for several calls and returns others.
type PermitRequest struct {
	Calls   []PermitCall   `json:"calls,omitempty"`
	Returns []PermitReturn `json:"returns,omitempty"`
}

// PermitResult answers a PermitRequest.
type PermitResult struct {
	Permits []Permit `json:"permits,omitempty"` // One for each call in the same order; none if NotHub is set.
	NotHub  bool     `json:"not_hub,omitempty"` // The member does not take itself for the hub and has issued no permits.
}

// ProgramProfile is what the hub has learned of the programs that begin on a route.
type ProgramProfile struct {
	Route   string  `json:"r"`
	Calls   float64 `json:"c"` // Mean number of calls of a program.
	TimeMS  int64   `json:"t"` // Mean time from the first to the last call.
	Samples int     `json:"n"`
}

// Permits asks a member for permits and returns others to it.
func (c *Client) Permits(ctx context.Context, to Member, r PermitRequest) (PermitResult, error) {
	var result PermitResult
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	err := c.http.JSON(ctx, http.MethodPost, to.Address, pathPermit, r, &result)
	return result, err
}

// servePermits handles a request for permits.
func servePermits(ctx *fasthttp.RequestCtx, s Service) {
	handle(ctx, func(r PermitRequest) any { return s.Permits(r) })
}

// Followers returns the number of members that have not said that they leave, and how many of them have sent this process a
// message within aliveTimeout and have not failed to answer since, as a former hub has. Both include the process itself.
func (g *Group) Followers(now time.Time) (known, following int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	known, following = 1, 1
	for _, m := range g.members {
		if m.Leaving {
			continue
		}
		known++
		if now.Sub(m.lastMessage) < aliveTimeout && !m.failed {
			following++
		}
	}
	return known, following
}
