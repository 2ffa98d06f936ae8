// Package gateway defines the messages of the JSON gateway of etcd v3 that this project uses. In JSON, keys and values are
// encoded as base64, and 64-bit integers as strings.
package gateway

import (
	"encoding/json"
	"fmt"
	"strconv"
)

// HTTP paths of the JSON gateway.
const (
	PathRange       = "/v3/kv/range"
	PathPut         = "/v3/kv/put"
	PathTxn         = "/v3/kv/txn"
	PathDeleteRange = "/v3/kv/deleterange"
	PathLeaseGrant  = "/v3/lease/grant"
	PathKeepAlive   = "/v3/lease/keepalive"
	PathWatch       = "/v3/watch"
)

// gRPC status codes in Error.
const (
	CodeInvalidArgument   = 3
	CodeNotFound          = 5
	CodeResourceExhausted = 8
	CodeOutOfRange        = 11
	CodeUnavailable       = 14
)

// Error messages that this project distinguishes.
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

// Int is a 64-bit integer that is encoded as a JSON string and decoded from a string or a number.
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

// Header is part of every answer.
type Header struct {
	Revision Int `json:"revision,omitempty"` // The store's revision when the request was processed.
}

// KeyValue is a key with its value, revisions and lease.
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

// Values of the fields of Compare.
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

// RequestOp is one operation in a transaction. Exactly one field is set.
type RequestOp struct {
	Range       *RangeRequest       `json:"request_range,omitempty"`
	Put         *PutRequest         `json:"request_put,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// ResponseOp is the result of one operation in a transaction.
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

// KeepAliveResponse is the line that answers a KeepAliveRequest. A TTL of 0 means that the lease has expired.
type KeepAliveResponse struct {
	Result struct {
		Header Header `json:"header"`
		ID     Int    `json:"ID"`
		TTL    Int    `json:"TTL,omitempty"`
	} `json:"result"`
}

// WatchCreate requests the changes of keys in [Key, RangeEnd) from StartRevision on.
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

// EventDelete is the Type of the event of a deletion. The Type of a put is empty.
const EventDelete = "DELETE"

// Event is one change of a key.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// WatchResult is the result in one line of a watch's answer.
type WatchResult struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision Int     `json:"compact_revision,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// WatchLine is one line of a watch's answer.
type WatchLine struct {
	Result *WatchResult `json:"result,omitempty"`
	Error  *Error       `json:"error,omitempty"`
}

// Error is the body of an error answer.
type Error struct {
	Text    string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// DecodeError decodes the body of an error answer. It returns false if the body is not an error of the JSON gateway.
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

// PrefixEnd returns the end of the range of all keys with the prefix. "\x00" means that the range has no end.
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
