package peers

import (
	"context"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	smallUpdateBytes = 64 << 10 // Updates up to this size are sent without a limit.
	// encodingFactor is how many times its bytes an update takes while it is encoded: its values in base64, in a buffer and in its
	// copy, and what they are compressed to.
	encodingFactor = 4
	// sendingWait is how long a large update waits for its turn. It leaves the follower time to receive it within reportTimeout.
	sendingWait = 150 * time.Millisecond
)

// SendingLimit bounds the memory of the large updates that are on the way to followers. All followers ask for a change at the same
// time, and one that stands still does not read its update. It is safe for concurrent use.
type SendingLimit struct {
	room  *semaphore.Weighted
	limit int64
}

// NewSendingLimit returns a SendingLimit of the given number of bytes.
func NewSendingLimit(bytes int) *SendingLimit {
	return &SendingLimit{room: semaphore.NewWeighted(int64(bytes)), limit: int64(bytes)}
}

// Sending is the memory that the updates of one answer take until they have been sent. A nil Sending takes none.
type Sending struct {
	limit *SendingLimit
	bytes int64
}

// Reserve takes the memory for sending the updates. It reports false if there is none in time: the follower has to ask again.
func (l *SendingLimit) Reserve(ctx context.Context, updates []Update) (*Sending, bool) {
	size := int64(0)
	for _, u := range updates {
		for i := range u.Events {
			size += int64(eventBytes(&u.Events[i]))
		}
	}
	if size <= smallUpdateBytes {
		return nil, true
	}
	ctx, cancel := context.WithTimeout(ctx, sendingWait)
	defer cancel()
	s := &Sending{limit: l, bytes: min(size*encodingFactor, l.limit)}
	if l.room.Acquire(ctx, s.bytes) != nil {
		return nil, false
	}
	return s, true
}

// Encoded gives back what was taken beyond the given size of the encoded answer.
func (s *Sending) Encoded(bytes int) {
	if s == nil || s.bytes <= int64(bytes) {
		return
	}
	s.limit.room.Release(s.bytes - int64(bytes))
	s.bytes = int64(bytes)
}

// Sent gives back all that was taken.
func (s *Sending) Sent() {
	if s != nil {
		s.limit.room.Release(s.bytes)
	}
}
