// Package budget keeps programs within their budgets of output tokens, at all entries together and over restarts.
//
// Invariant: the tokens that entries hand out for a program never exceed what its record in the key-value service says is
// granted. An entry raises the record before it hands out tokens, and spends what it was granted without further writes.
// What an entry that died had left of its grants counts as spent.
package budget

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// ErrSpent means that the budget does not hold the call.
var ErrSpent = errors.New("the program's token budget is spent")

// Swapper writes a key under a condition; commit.Batcher is one.
type Swapper interface {
	CompareAndSwap(ctx context.Context, key string, value []byte, expected int64) (int64, *ports.KeyValue, error)
}

// Recaller asks other processes for what they hold of a program's budget and do not use.
type Recaller interface {
	Recall(ctx context.Context, program string) (tokens int)
}

// Options tune Accounts.
type Options struct {
	Prefix string        // Of the keys in the service.
	Holder string        // Name of this incarnation of the process; unique.
	Retain time.Duration // How long a program without calls is remembered here.
}

// Accounts holds what this process was granted. It is safe for concurrent use.
type Accounts struct {
	options Options
	store   Swapper
	others  Recaller

	mu      sync.Mutex
	byID    map[string]*account // Guarded by mu.
	counter uint64              // Guarded by mu. Numbers this process's grants.
}

// account is one program at this process. Its fields are guarded by mu.
type account struct {
	mu       sync.Mutex    // Held over a call to the service, so that one grant is asked at a time.
	free     int           // Granted to this process, neither used nor reserved.
	revision int64         // Of the record, as last seen; 0: it is believed not to exist.
	granted  int           // As the record said at revision.
	pending  grant         // Asked for without an answer.
	begun    bool          // A call was handed tokens.
	recalled time.Time     // When others were last asked for what they hold.
	wait     time.Duration // From then until they are asked again.
	used     time.Time     // Guarded by Accounts.mu.
}

// grant is one raise of a record.
type grant struct {
	name   string
	tokens int
}

// record is the value in the service.
type record struct {
	Granted int    `json:"granted"`  // Tokens that processes may have handed out.
	Grant   string `json:"grant"`    // Holder and number of the last grant, by which a lost answer is recognised.
	WriteMS int64  `json:"write_ms"` // Unix milliseconds of the write, by which old records are found.
}

// Written returns when a stored record was written.
func Written(value []byte) (time.Time, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return time.Time{}, fmt.Errorf("decode record of a budget: %w", err)
	}
	return time.UnixMilli(r.WriteMS), nil
}

// NewAccounts returns empty accounts.
func NewAccounts(store Swapper, others Recaller, options Options) *Accounts {
	return &Accounts{options: options, store: store, others: others, byID: make(map[string]*account)}
}

// Reservation holds tokens for one call. Settle must be called once.
type Reservation struct {
	account *account
	tokens  int
}

// Reserve holds the most tokens that a call may generate. It returns ErrSpent when the budget does not hold them, and the
// service's error when it cannot tell. A budget may be exceeded by the most of one call, never more.
func (a *Accounts) Reserve(ctx context.Context, program string, budget, most int) (*Reservation, error) {
	acc := a.account(program)
	acc.mu.Lock()
	defer acc.mu.Unlock()
	if acc.free < most {
		if err := a.raise(ctx, program, acc, budget, most); err != nil {
			return nil, err
		}
	}
	acc.free -= most
	return &Reservation{account: acc, tokens: most}, nil
}

// Lend takes tokens for another process out of what this one was granted, and asks the service for more if they do not
// last.
func (a *Accounts) Lend(ctx context.Context, program string, budget, tokens int) error {
	acc := a.account(program)
	acc.mu.Lock()
	defer acc.mu.Unlock()
	if acc.free < tokens {
		if err := a.raise(ctx, program, acc, budget, tokens); err != nil {
			return err
		}
	}
	acc.free -= tokens
	return nil
}

// Need returns how many tokens the process lacks for a call.
func (a *Accounts) Need(program string, most int) int {
	acc := a.account(program)
	acc.mu.Lock()
	defer acc.mu.Unlock()
	return max(most-acc.free, 0)
}

// Begun reports whether a call of the program was handed tokens by this process lately.
func (a *Accounts) Begun(program string) bool {
	acc := a.account(program)
	acc.mu.Lock()
	defer acc.mu.Unlock()
	return acc.begun
}

// DepositAndTake takes over tokens that another process lent for a call, and holds the most tokens of the call, or returns nil
// when other calls have taken what was here before.
func (a *Accounts) DepositAndTake(program string, tokens, most int) *Reservation {
	acc := a.account(program)
	acc.mu.Lock()
	defer acc.mu.Unlock()
	acc.free += tokens
	return acc.take(most)
}

// Take holds the most tokens of a call if this process was granted them already, or returns nil.
func (a *Accounts) Take(program string, most int) *Reservation {
	acc := a.account(program)
	acc.mu.Lock()
	defer acc.mu.Unlock()
	return acc.take(most)
}

// take holds tokens if there are as many. The caller holds acc.mu.
func (acc *account) take(most int) *Reservation {
	if acc.free < most {
		return nil
	}
	acc.free -= most
	return &Reservation{account: acc, tokens: most}
}

// Settle gives back what the call did not use.
func (r *Reservation) Settle(used int) {
	if r == nil {
		return
	}
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.account.free += r.tokens - used
	r.account.begun = r.account.begun || used > 0
}

// maxGrantTries bounds how often another process may come first.
const maxGrantTries = 4

// raise raises the program's record so that the account holds at least most. The caller holds acc.mu.
func (a *Accounts) raise(ctx context.Context, program string, acc *account, budget, most int) error {
	for range maxGrantTries {
		if acc.free >= most {
			return nil
		}
		need := most - acc.free
		limit := budget + most
		if acc.granted+need > limit && a.recall(ctx, program, acc) {
			continue
		}
		if acc.granted+need > limit {
			if acc.revision == 0 {
				return ErrSpent
			}
			return fmt.Errorf("%w: %d of %d tokens are granted and the call needs %d more", ErrSpent, acc.granted, budget, need)
		}
		ask := max(min(chunk(budget, most)-acc.free, budget-acc.granted), need)
		next := record{Granted: acc.granted + ask, Grant: a.nextGrant(), WriteMS: time.Now().UnixMilli()}
		value, err := json.Marshal(next)
		if err != nil {
			return fmt.Errorf("encode budget of program %q: %w", program, err)
		}
		revision, conflict, err := a.store.CompareAndSwap(ctx, a.options.Prefix+program, value, acc.revision)
		if err != nil {
			acc.pending = grant{name: next.Grant, tokens: ask}
			return fmt.Errorf("budget of program %q: %w", program, err)
		}
		if conflict == nil {
			acc.revision, acc.granted = revision, next.Granted
			acc.free += ask
			return nil
		}
		if err := acc.learn(*conflict); err != nil {
			return fmt.Errorf("budget of program %q: %w", program, err)
		}
	}
	return fmt.Errorf("budget of program %q: other processes came first %d times: %w", program, maxGrantTries, ports.ErrUnavailable)
}

// chunk is what a process is granted at once. A large grant lets a program go on while the service is away; what is left of
// it when the process dies is lost, so that enough must remain for the program to go on elsewhere.
func chunk(budget, most int) int {
	return max(2*most, min(budget/grantShare, budget-remainingCalls*most))
}

const (
	grantShare     = 4 // The part of a large budget that is granted at once.
	remainingCalls = 4 // Calls that a budget must still hold after a large grant.
)

const (
	firstRecallWait = time.Second      // After a recall that brought nothing. It doubles with each further one.
	maxRecallWait   = 16 * time.Second // Programs that loop are refused often.
)

// recall takes over what other processes hold of the program's budget, and reports whether that was anything. The caller
// holds acc.mu.
func (a *Accounts) recall(ctx context.Context, program string, acc *account) bool {
	if time.Since(acc.recalled) < acc.wait {
		return false
	}
	tokens := a.others.Recall(ctx, program)
	acc.recalled = time.Now()
	acc.free += tokens
	if tokens > 0 {
		acc.wait = 0
		return true
	}
	acc.wait = min(max(2*acc.wait, firstRecallWait), maxRecallWait)
	return false
}

// Surrender gives up what this process holds of a program's budget and does not use.
func (a *Accounts) Surrender(program string) (tokens int) {
	a.mu.Lock()
	acc := a.byID[program]
	a.mu.Unlock()
	// An account that is waiting for the service is left alone: its process may be the one that asks.
	if acc == nil || !acc.mu.TryLock() {
		return 0
	}
	defer acc.mu.Unlock()
	tokens = acc.free
	acc.free = 0
	return max(tokens, 0)
}

// learn takes over the record as it stands.
func (acc *account) learn(item ports.KeyValue) error {
	var r record
	if item.Revision != 0 {
		if err := json.Unmarshal(item.Value, &r); err != nil {
			return fmt.Errorf("decode record: %w", err)
		}
	}
	acc.revision, acc.granted = item.Revision, r.Granted
	if r.Grant != "" && r.Grant == acc.pending.name {
		acc.free += acc.pending.tokens
	}
	acc.pending = grant{}
	return nil
}

func (a *Accounts) nextGrant() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counter++
	return a.options.Holder + "/" + strconv.FormatUint(a.counter, 10)
}

func (a *Accounts) account(program string) *account {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.byID[program]
	if acc == nil {
		acc = &account{}
		a.byID[program] = acc
	}
	acc.used = time.Now()
	return acc
}

// Sweep forgets programs without a call for the retention time. Their records stay.
func (a *Accounts) Sweep(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for program, acc := range a.byID {
		if now.Sub(acc.used) > a.options.Retain {
			delete(a.byID, program)
		}
	}
}
