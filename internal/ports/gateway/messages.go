// Package gateway holds the messages of etcd v3's JSON gateway that the project uses. Keys and values travel as base64,
// 64-bit integers as strings.
package gateway

import (
	"encoding/json"
	"fmt"
	"strconv"
)

// Paths of the gateway.
const (
	PathRange       = "/v3/kv/range"
	PathPut         = "/v3/kv/put"
	PathTxn         = "/v3/kv/txn"
	PathDeleteRange = "/v3/kv/deleterange"
	PathLeaseGrant  = "/v3/lease/grant"
	PathKeepAlive   = "/v3/lease/keepalive"
	PathWatch       = "/v3/watch"
)

// gRPC status codes that the gateway puts into Error.
const (
	CodeInvalidArgument   = 3
	CodeNotFound          = 5
	CodeResourceExhausted = 8
	CodeOutOfRange        = 11
	CodeUnavailable       = 14
)

// Messages of errors that the project tells apart.
const (
	MessageTooManyRequests = "etcdserver: too many requests"
	MessageNoSpace         = "etcdserver: mvcc: database space exceeded"
	MessageNoLeader        = "etcdserver: no leader"
	MessageTimedOut        = "etcdserver: request timed out"
	MessageTooLarge        = "etcdserver: request is too large"
	MessageLeaseNotFound   = "etcdserver: requested lease not found"
)

// MaxTxnOps is the largest number of operations in one transaction.
const MaxTxnOps = 128

// Int is a 64-bit integer that is written as a string and read from a string or a number.
type Int int64

// MarshalJSON implements json.Marshaler.
func (i Int) MarshalJSON() ([]byte, error) {
	return strconv.AppendQuote(nil, strconv.FormatInt(int64(i), 10)), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (i *Int) UnmarshalJSON(data []byte) error {
	if string(data) == "null" {
		return nil
	}
	text := string(data)
	if len(text) > 1 && text[0] == '"' {
		if err := json.Unmarshal(data, &text); err != nil {
			return fmt.Errorf("decode integer %s: %w", data, err)
		}
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return fmt.Errorf("decode integer %s: %w", data, err)
	}
	*i = Int(n)
	return nil
}

// Header heads every answer.
type Header struct {
	Revision Int `json:"revision,omitempty"` // The store's revision when the request was processed.
}

// KeyValue is a key with its value.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	CreateRevision Int    `json:"create_revision,omitempty"`
	ModRevision    Int    `json:"mod_revision,omitempty"`
	Version        Int    `json:"version,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          Int    `json:"lease,omitempty"`
}

// RangeRequest reads the keys in [Key, RangeEnd), or only Key when RangeEnd is empty.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    Int    `json:"limit,omitempty"`
	KeysOnly bool   `json:"keys_only,omitempty"`
}

// RangeResponse answers a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  Int        `json:"count,omitempty"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease Int    `json:"lease,omitempty"`
}

// PutResponse answers a PutRequest.
type PutResponse struct {
	Header Header `json:"header"`
}

// DeleteRangeRequest deletes the keys in [Key, RangeEnd), or only Key when RangeEnd is empty.
type DeleteRangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// DeleteRangeResponse answers a DeleteRangeRequest.
type DeleteRangeResponse struct {
	Header  Header `json:"header"`
	Deleted Int    `json:"deleted,omitempty"`
}

// Words of a Compare.
const (
	CompareEqual = "EQUAL"
	CompareMod   = "MOD"
)

// Compare is a condition on a key's modification revision.
type Compare struct {
	Result      string `json:"result"`
	Target      string `json:"target"`
	Key         []byte `json:"key"`
	ModRevision Int    `json:"mod_revision"`
}

// RequestOp is one operation of a transaction. Exactly one field is set.
type RequestOp struct {
	Range       *RangeRequest       `json:"request_range,omitempty"`
	Put         *PutRequest         `json:"request_put,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// ResponseOp is the outcome of one operation of a transaction.
type ResponseOp struct {
	Range       *RangeResponse       `json:"response_range,omitempty"`
	Put         *PutResponse         `json:"response_put,omitempty"`
	DeleteRange *DeleteRangeResponse `json:"response_delete_range,omitempty"`
}

// TxnRequest runs Success if every Compare holds and Failure otherwise.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// LeaseGrantRequest creates a lease of TTL seconds.
type LeaseGrantRequest struct {
	TTL Int `json:"TTL"`
	ID  Int `json:"ID,omitempty"`
}

// LeaseGrantResponse answers a LeaseGrantRequest.
type LeaseGrantResponse struct {
	Header Header `json:"header"`
	ID     Int    `json:"ID"`
	TTL    Int    `json:"TTL"`
}

// KeepAliveRequest renews a lease.
type KeepAliveRequest struct {
	ID Int `json:"ID"`
}

// KeepAliveResponse is the line that answers a KeepAliveRequest. A TTL of 0 means that the lease has lapsed.
type KeepAliveResponse struct {
	Result struct {
		Header Header `json:"header"`
		ID     Int    `json:"ID"`
		TTL    Int    `json:"TTL,omitempty"`
	} `json:"result"`
}

// WatchCreate asks for the changes of keys in [Key, RangeEnd) from StartRevision on.
type WatchCreate struct {
	Key            []byte `json:"key"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	StartRevision  Int    `json:"start_revision,omitempty"`
	ProgressNotify bool   `json:"progress_notify,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// EventDelete is the type of a deletion; a put has no type.
const EventDelete = "DELETE"

// Event is one change.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// WatchResult is the content of one line of a watch.
type WatchResult struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision Int     `json:"compact_revision,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// WatchLine is one line of a watch.
type WatchLine struct {
	Result *WatchResult `json:"result,omitempty"`
	Error  *Error       `json:"error,omitempty"`
}

// Error is the gateway's error body.
type Error struct {
	Text    string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// DecodeError decodes an error body. False means that the body is not the gateway's.
func DecodeError(body []byte) (Error, bool) {
	var e Error
	if err := json.Unmarshal(body, &e); err != nil || e.Code == 0 {
		return Error{}, false
	}
	if e.Message == "" {
		e.Message = e.Text
	}
	return e, true
}

// PrefixEnd returns the end of the range that holds exactly the keys with the prefix.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
