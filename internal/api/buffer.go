package api

// Paths of the buffer that sidecars keep for journals while the key-value service is away.
const (
	PathHold = "/internal/v1/buffer/hold" // POST: hold an entry of a journal.
	PathSeal = "/internal/v1/buffer/seal" // POST: refuse further entries of an ownership and return those held.
	PathDrop = "/internal/v1/buffer/drop" // POST: forget entries that the journal contains.
)

// HoldState is a sidecar's answer about its buffer.
type HoldState string

// Answers about a buffer.
const (
	HoldDone   HoldState = "done"   // The request was carried out.
	HoldSealed HoldState = "sealed" // A successor has sealed the ownership: it holds no more entries.
	HoldFull   HoldState = "full"   // The buffer has reached its limit.
	HoldGone   HoldState = "gone"   // What the incarnation held under the ownership is no longer known.
)

// HoldRequest asks a sidecar to hold an entry. An entry that is held already stays as it is.
type HoldRequest struct {
	Fence       Fence  `json:"fence"`
	Incarnation string `json:"incarnation"` // The only incarnation that may hold the entry.
	Number      uint64 `json:"number"`      // Of the entry; they count from 1 in each ownership.
	Data        []byte `json:"data"`
}

// HoldResponse answers a HoldRequest.
type HoldResponse struct {
	State HoldState `json:"state"`
}

// SealRequest asks a sidecar to refuse, for good, entries of the ownership and of earlier ones.
type SealRequest struct {
	Fence       Fence  `json:"fence"`
	Incarnation string `json:"incarnation"` // The one that the ownership counted on.
	After       uint64 `json:"after"`       // Entries up to this number are in the journal.
}

// SealResponse answers a SealRequest. State is HoldDone or HoldGone.
type SealResponse struct {
	State   HoldState     `json:"state"`
	Entries []BufferEntry `json:"entries,omitempty"` // In the order of their numbers.
}

// BufferEntry is one held entry.
type BufferEntry struct {
	Number uint64 `json:"number"`
	Data   []byte `json:"data"`
}

// DropRequest asks a sidecar to forget the entries of earlier ownerships, and those of this one up to a number.
type DropRequest struct {
	Fence   Fence  `json:"fence"`
	Through uint64 `json:"through"`
}
