// Package program holds the aggregate of agent programs: a root program with its sub-agents, the order of their calls,
// their histories, their shared budget and their end. It decides and applies; it does no I/O.
//
// A decision yields a Record. The owner commits the record to its journal and then applies it. Recovery applies the
// same records in the same order, so that both paths reach the same state.
package program

import (
	"encoding/json"
	"fmt"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// Record is one committed change of one program. Exactly one of the pointers is set.
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

// Created starts a program.
type Created struct {
	Parent       string `json:"parent,omitempty"`
	Organisation string `json:"org"`
	Class        string `json:"class"`
	Limits       Limits `json:"limits"`  // Of the whole tree; set on the root.
	Reserve      int    `json:"reserve"` // Tokens reserved for the first call.
}

// Limits bounds a tree of programs. Zero means no limit.
type Limits struct {
	Calls  int   `json:"calls,omitempty"`
	Tokens int   `json:"tokens,omitempty"`
	TimeMS int64 `json:"time_ms,omitempty"` // From the root's creation, in milliseconds.
	IdleMS int64 `json:"idle_ms,omitempty"` // Longest time without a call, in milliseconds.
}

// Turn is a model call that ran: its messages and its answer extend the history.
type Turn struct {
	Seq      uint64        `json:"seq"`
	Digest   string        `json:"digest"` // Of the caller's body.
	Messages []api.Message `json:"messages"`
	Answer   api.Message   `json:"answer"`
	Finish   string        `json:"finish"`
	Usage    api.Usage     `json:"usage"`
	Tokens   int           `json:"tokens"`  // Charged to the budget.
	Reserve  int           `json:"reserve"` // Tokens reserved for the next call.
}

// Intent says that a non-idempotent call is about to be sent to one incarnation of one sidecar.
type Intent struct {
	Seq         uint64 `json:"seq"`
	Digest      string `json:"digest"`
	Attempt     int    `json:"attempt"`
	Sidecar     string `json:"sidecar"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
}

// Outcome is the end of a service call. Code tells whether it ran.
type Outcome struct {
	Seq         uint64   `json:"seq"`
	Digest      string   `json:"digest"`
	Code        api.Code `json:"code"`
	Message     string   `json:"message,omitempty"`
	Status      int      `json:"status,omitempty"`
	ContentType string   `json:"type,omitempty"`
	Body        []byte   `json:"body,omitempty"`
}

// Reserve replaces the reservations of programs of one tree, in tokens. Spent charges reservations of an earlier owner
// whose calls nobody could settle.
type Reserve struct {
	Tokens map[string]int `json:"tokens"`
	Spent  map[string]int `json:"spent,omitempty"`
}

// Ended ends a program and its descendants.
type Ended struct {
	Reason string `json:"reason"`
}

// seq returns the seq of the call that the record belongs to.
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

// Encode returns the record's bytes for the journal.
func (r *Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record of program %s: %w", r.Program, err)
	}
	return data, nil
}

// DecodeRecord is the inverse of Encode.
func DecodeRecord(data []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("decode record: %w", err)
	}
	return &r, nil
}
