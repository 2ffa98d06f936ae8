// Package schedule implements the scheduling decisions of entries, gateways and sidecars as pure functions and plain
// values: routing, queueing, placement, holds on cached prefixes, retry and hedge limits, crash suspects and admission.
//
// An entry or a gateway is a process that callers connect to; a sidecar runs next to a backend server. A backend server
// is either an engine, which runs a language model, or a plain service. A program is a sequence of related calls of one
// caller; it pauses between calls, for example while a tool runs.
//
// Nothing in this package reads a clock, has its own random source, starts a goroutine or does I/O: the time and the
// random source are arguments. Values are not safe for concurrent use; the caller must synchronise access.
package schedule
