// Package budget enforces the output token budgets of programs across all processes that serve callers, and across their
// restarts.
//
// Invariant: the tokens that all processes together allow a program to use never exceed the granted tokens in the program's
// record in the key-value service. A process raises the record before it allows their use, and uses what it was granted
// without further writes. The unused rest of the grants of a process that died counts as spent.
package budget

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// ErrSpent means that the rest of the budget does not suffice for the call.
var ErrSpent = errors.New("the program's token budget is spent")

// CompareAndSwapper writes a key if it has the expected revision; commit.Batcher implements it.
type CompareAndSwapper interface {
	CompareAndSwap(ctx context.Context, key string, value []byte, expected int64) (int64, *ports.KeyValue, error)
}

// Recaller takes back the unused tokens of a program's budget that other processes were granted.
type Recaller interface {
	Recall(ctx context.Context, program string) (tokens int)
}

// Options configure Accounts.
type Options struct {
	Prefix string // Prefix of the keys in the key-value service.
	// OrganisationPrefix is that of the keys of programs that belong to an organisation. No key begins with both prefixes.
	OrganisationPrefix string
	Holder             string        // Unique name of this run of the process.
	Retain             time.Duration // Time without calls after which Sweep removes a program's account.
}

// accountSeparator surrounds the organisation in the name of an account. It cannot occur in a program's id, which is the value of an
// HTTP header.
const accountSeparator = "\x00"

// Account returns the name of the account of a program that belongs to the organisation; empty if none. The other functions take it
// as the program.
func Account(organisation, program string) string {
	if organisation == "" {
		return program
	}
	return accountSeparator + organisation + accountSeparator + program
}

// SplitAccount returns the organisation and the program of an account.
func SplitAccount(account string) (organisation, program string) {
	if rest, ok := strings.CutPrefix(account, accountSeparator); ok {
		organisation, program, _ = strings.Cut(rest, accountSeparator)
		return organisation, program
	}
	return "", account
}

// programOf returns the program of an account.
func programOf(account string) string {
	_, program := SplitAccount(account)
	return program
}

// key returns the key of the record of an account in the key-value service.
func (o *Options) key(account string) string {
	organisation, program := SplitAccount(account)
	if organisation == "" {
		return o.Prefix + program
	}
	return o.OrganisationPrefix + url.PathEscape(organisation) + "/" + program
}

// Accounts holds the tokens that this process was granted for each program. It is safe for concurrent use.
type Accounts struct {
	options Options
	store   CompareAndSwapper
	peers   Recaller

	mu      sync.Mutex
	byID    map[string]*account // Guarded by mu.
	counter uint64              // Guarded by mu. Number of the latest grant of this process.
}

// account holds the tokens that this process was granted for one program. Its fields are guarded by mu unless stated
// otherwise.
type account struct {
	mu          sync.Mutex    // Held during calls to the service, so that only one grant is requested at a time.
	available   int           // Tokens granted to this process that are neither used nor reserved; negative if a call used more than it reserved.
	revision    int64         // Last known revision of the record; 0 if it is believed not to exist.
	granted     int           // Granted tokens according to the record at that revision.
	unconfirmed []grant       // Grants whose writes at that revision were not confirmed; at most one of them took effect.
	started     bool          // Whether a call has used tokens.
	lastRecall  time.Time     // Time of the last recall from other processes.
	recallWait  time.Duration // Minimum time from then to the next recall.
	lastUsed    time.Time     // Guarded by Accounts.mu.
}

// grant is one increase of a record's granted tokens.
type grant struct {
	id     string
	tokens int
}

// record is a program's value in the key-value service.
type record struct {
	Granted int    `json:"granted"`  // Tokens granted to all processes so far.
	Grant   string `json:"grant"`    // Holder and number of the last grant, to recognise an own write whose answer was lost.
	WriteMS int64  `json:"write_ms"` // Unix milliseconds of the write, from which the record's age is computed.
}

// Written returns the time at which a stored record was written.
func Written(value []byte) (time.Time, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return time.Time{}, fmt.Errorf("decode budget record: %w", err)
	}
	return time.UnixMilli(r.WriteMS), nil
}

// NewAccounts returns Accounts without any grants.
func NewAccounts(store CompareAndSwapper, peers Recaller, options Options) *Accounts {
	return &Accounts{options: options, store: store, peers: peers, byID: make(map[string]*account)}
}

// Reservation is the tokens that are reserved for one call. Settle must be called exactly once.
type Reservation struct {
	account *account
	tokens  int
}

// Reserve reserves maxTokens, the most tokens that a call may generate. It returns ErrSpent if the budget does not suffice,
// and the service's error if a grant is needed and the service fails. A budget may be exceeded by the maxTokens of one call,
// never by more.
func (a *Accounts) Reserve(ctx context.Context, program string, budget, maxTokens int) (*Reservation, error) {
	acc := a.account(program)
	acc.mu.Lock()
	defer acc.mu.Unlock()
	if acc.available < maxTokens {
		if err := a.raiseGrant(ctx, program, acc, budget, maxTokens); err != nil {
			return nil, err
		}
	}
	acc.available -= maxTokens
	return &Reservation{account: acc, tokens: maxTokens}, nil
}

// Withdraw removes tokens from this process's grants in order to pass them to another process. If they do not suffice, it
// requests a further grant.
func (a *Accounts) Withdraw(ctx context.Context, program string, budget, tokens int) error {
	acc := a.account(program)
	acc.mu.Lock()
	defer acc.mu.Unlock()
	if acc.available < tokens {
		if err := a.raiseGrant(ctx, program, acc, budget, tokens); err != nil {
			return err
		}
	}
	acc.available -= tokens
	return nil
}

// Shortfall returns how many tokens this process lacks to reserve maxTokens.
func (a *Accounts) Shortfall(program string, maxTokens int) int {
	acc := a.account(program)
	acc.mu.Lock()
	defer acc.mu.Unlock()
	return max(maxTokens-acc.available, 0)
}

// Started reports whether a call of the program has used tokens at this process since its account was created.
func (a *Accounts) Started(program string) bool {
	acc := a.account(program)
	acc.mu.Lock()
	defer acc.mu.Unlock()
	return acc.started
}

// DepositAndReserve adds tokens that another process has passed on for a call, and reserves maxTokens for the call. It
// returns nil if that fails because other calls have reserved the tokens that were available here.
func (a *Accounts) DepositAndReserve(program string, tokens, maxTokens int) *Reservation {
	acc := a.account(program)
	acc.mu.Lock()
	defer acc.mu.Unlock()
	acc.available += tokens
	return acc.tryReserve(maxTokens)
}

// TryReserve reserves maxTokens for a call if they are available without a further grant, and returns nil otherwise.
func (a *Accounts) TryReserve(program string, maxTokens int) *Reservation {
	acc := a.account(program)
	acc.mu.Lock()
	defer acc.mu.Unlock()
	return acc.tryReserve(maxTokens)
}

// tryReserve reserves maxTokens if they are available, and returns nil otherwise. The caller holds acc.mu.
func (acc *account) tryReserve(maxTokens int) *Reservation {
	if acc.available < maxTokens {
		return nil
	}
	acc.available -= maxTokens
	return &Reservation{account: acc, tokens: maxTokens}
}

// Settle ends the reservation and returns the tokens that the call did not use to the account. On a nil reservation it does
// nothing.
func (r *Reservation) Settle(used int) {
	if r == nil {
		return
	}
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.account.available += r.tokens - used
	r.account.started = r.account.started || used > 0
}

// maxGrantAttempts bounds the attempts to raise a record that other processes write at the same time.
const maxGrantAttempts = 4

// raiseGrant raises the granted tokens in the program's record so that at least maxTokens are available. It returns ErrSpent
// if the budget does not allow that. The caller holds acc.mu.
func (a *Accounts) raiseGrant(ctx context.Context, program string, acc *account, budget, maxTokens int) error {
	for range maxGrantAttempts {
		if acc.available >= maxTokens {
			return nil
		}
		need := maxTokens - acc.available
		limit := budget + maxTokens
		if acc.granted+need > limit && a.recall(ctx, program, acc) {
			continue
		}
		if acc.granted+need > limit {
			if acc.revision == 0 {
				return ErrSpent
			}
			return fmt.Errorf("%w: %d of %d tokens are granted and the call needs %d more", ErrSpent, acc.granted, budget, need)
		}
		increase := max(min(grantSize(budget, maxTokens)-acc.available, budget-acc.granted), need)
		next := record{Granted: acc.granted + increase, Grant: a.nextGrantID(), WriteMS: time.Now().UnixMilli()}
		value, err := json.Marshal(next)
		if err != nil {
			return fmt.Errorf("encode budget record of program %q: %w", programOf(program), err)
		}
		revision, conflict, err := a.store.CompareAndSwap(ctx, a.options.key(program), value, acc.revision)
		if err != nil {
			acc.unconfirmed = append(acc.unconfirmed, grant{id: next.Grant, tokens: increase})
			return fmt.Errorf("write budget record of program %q: %w", programOf(program), err)
		}
		if conflict == nil {
			acc.revision, acc.granted, acc.unconfirmed = revision, next.Granted, nil
			acc.available += increase
			return nil
		}
		if err := acc.update(*conflict); err != nil {
			return fmt.Errorf("read budget record of program %q: %w", programOf(program), err)
		}
	}
	return fmt.Errorf("write budget record of program %q: %d conflicts with writes of other processes: %w", programOf(program), maxGrantAttempts, ports.ErrUnavailable)
}

// grantSize returns the tokens that a process should have available after a grant. With a large grant, a program can
// continue during an outage of the service. The unused rest is lost if the process dies, so enough of the budget must
// remain for the program to continue at another process.
func grantSize(budget, maxTokens int) int {
	return max(2*maxTokens, min(budget/grantDivisor, budget-minRemainingCalls*maxTokens))
}

const (
	grantDivisor      = 4 // A grant of a large budget is at most 1/grantDivisor of it.
	minRemainingCalls = 4 // Calls for which a budget must still suffice after a large grant.
)

const (
	minRecallWait = time.Second      // After a recall that returned no tokens; doubles with each further one.
	maxRecallWait = 16 * time.Second // Programs in a loop are refused often, and each refusal would cause a recall.
)

// recall moves the unused tokens that other processes hold of the program's budget to this process, and reports whether
// there were any. The caller holds acc.mu.
func (a *Accounts) recall(ctx context.Context, program string, acc *account) bool {
	if time.Since(acc.lastRecall) < acc.recallWait {
		return false
	}
	tokens := a.peers.Recall(ctx, program)
	acc.lastRecall = time.Now()
	acc.available += tokens
	if tokens > 0 {
		acc.recallWait = 0
		return true
	}
	acc.recallWait = min(max(2*acc.recallWait, minRecallWait), maxRecallWait)
	return false
}

// ReleaseUnused removes the unused tokens of a program's budget from this process, for a process that recalls them, and
// returns their number.
func (a *Accounts) ReleaseUnused(program string) (tokens int) {
	a.mu.Lock()
	acc := a.byID[program]
	a.mu.Unlock()
	// Skip a locked account: it is waiting for the service, possibly in the very recall that is being answered, so that
	// waiting for its lock could deadlock.
	if acc == nil || !acc.mu.TryLock() {
		return 0
	}
	defer acc.mu.Unlock()
	tokens = acc.available
	acc.available = 0
	return max(tokens, 0)
}

// update updates the account from the current record, and adds the unconfirmed grant whose write took effect, if any: a write
// without an answer may take effect after later attempts have failed. The caller holds acc.mu.
func (acc *account) update(item ports.KeyValue) error {
	var r record
	if item.Revision != 0 {
		if err := json.Unmarshal(item.Value, &r); err != nil {
			return fmt.Errorf("decode record: %w", err)
		}
	}
	acc.revision, acc.granted = item.Revision, r.Granted
	for _, unconfirmed := range acc.unconfirmed {
		if r.Grant == unconfirmed.id {
			acc.available += unconfirmed.tokens
		}
	}
	acc.unconfirmed = nil
	return nil
}

// nextGrantID returns an id that no other grant of any process has.
func (a *Accounts) nextGrantID() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counter++
	return a.options.Holder + "/" + strconv.FormatUint(a.counter, 10)
}

// account returns the account of the program, creates it if there is none, and marks it as used now.
func (a *Accounts) account(program string) *account {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.byID[program]
	if acc == nil {
		acc = &account{}
		a.byID[program] = acc
	}
	acc.lastUsed = time.Now()
	return acc
}

// Sweep removes the accounts of programs that had no call for Options.Retain. Their records in the key-value service remain.
func (a *Accounts) Sweep(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for program, acc := range a.byID {
		if now.Sub(acc.lastUsed) > a.options.Retain {
			delete(a.byID, program)
		}
	}
}
