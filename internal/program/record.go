// Package program implements the state machine of agent programs. A tree consists of a root program and its sub-agents,
// which share one budget. The package orders the calls of each program, keeps the histories, enforces the budget and
// ends programs. It does no I/O.
//
// Every change of the state is described by a Record. The owner of the tree's journal commits the record to the journal
// and then applies it. Recovery applies the same records in the same order and so reaches the same state.
package program

import (
	"encoding/json"
	"fmt"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// Record is one change of one program. Exactly one of the pointers is set.
type Record struct {
	Program string   `json:"p"`
	AtMS    int64    `json:"t"` // Unix time in milliseconds.
	Created *Created `json:"c,omitempty"`
	Turn    *Turn    `json:"m,omitempty"`
	Intent  *Intent  `json:"i,omitempty"`
	Outcome *Outcome `json:"o,omitempty"`
	Reserve *Reserve `json:"r,omitempty"`
	Ended   *Ended   `json:"e,omitempty"`
}

// Created is the creation of a program.
type Created struct {
	Parent         string `json:"parent,omitempty"`
	Organisation   string `json:"org"`
	Class          string `json:"class"`
	Limits         Limits `json:"limits"`  // Limits of the whole tree; set for a root only.
	InitialReserve int    `json:"reserve"` // Tokens reserved for the first call.
}

// Limits are the limits of a tree of programs. Zero means no limit.
type Limits struct {
	Calls  int   `json:"calls,omitempty"`
	Tokens int   `json:"tokens,omitempty"`
	TimeMS int64 `json:"time_ms,omitempty"` // From the root's creation, in milliseconds.
	IdleMS int64 `json:"idle_ms,omitempty"` // Longest time without a call, in milliseconds.
}

// Turn is a model call that ran. Its messages and its answer are appended to the history.
type Turn struct {
	Seq          uint64        `json:"seq"`
	Digest       string        `json:"digest"` // Digest of the caller's request.
	Messages     []api.Message `json:"messages"`
	Answer       api.Message   `json:"answer"`
	FinishReason string        `json:"finish"`
	Usage        api.Usage     `json:"usage"`
	Tokens       int           `json:"tokens"`  // Tokens charged to the budget.
	NextReserve  int           `json:"reserve"` // Tokens reserved for the next call.
}

// Intent states that a non-idempotent call is about to be sent to one incarnation of one sidecar. It is committed
// before the call is sent.
type Intent struct {
	Seq         uint64 `json:"seq"`
	Digest      string `json:"digest"`
	Attempt     int    `json:"attempt"`
	Sidecar     string `json:"sidecar"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
}

// Outcome is the outcome of a service call. Code tells whether the call ran.
type Outcome struct {
	Seq         uint64   `json:"seq"`
	Digest      string   `json:"digest"`
	Code        api.Code `json:"code"`
	Message     string   `json:"message,omitempty"`
	Status      int      `json:"status,omitempty"`
	ContentType string   `json:"type,omitempty"`
	Body        []byte   `json:"body,omitempty"`
}

// Reserve replaces reservations of programs of one tree, in tokens by program id. SpentByPriorOwner charges
// reservations that an earlier owner made for calls with an unknown outcome.
type Reserve struct {
	Tokens            map[string]int `json:"tokens"`
	SpentByPriorOwner map[string]int `json:"spent,omitempty"`
}

// Ended is the end of a program and its descendants.
type Ended struct {
	Reason string `json:"reason"`
}

// seq returns the seq of the call that the record belongs to; false if it belongs to none.
func (r *Record) seq() (uint64, bool) {
	switch {
	case r.Turn != nil:
		return r.Turn.Seq, true
	case r.Intent != nil:
		return r.Intent.Seq, true
	case r.Outcome != nil:
		return r.Outcome.Seq, true
	default:
		return 0, false
	}
}

// Encode returns the record encoded for the journal.
func (r *Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record of program %s: %w", r.Program, err)
	}
	return data, nil
}

// DecodeRecord decodes a record that Encode returned.
func DecodeRecord(data []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("decode record: %w", err)
	}
	return &r, nil
}
