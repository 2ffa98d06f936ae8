// Package schedule holds the scheduling decisions of entries and sidecars as pure functions and plain values: routing,
// queueing, cache holds, retry and hedge limits, crash suspects and admission.
//
// Nothing in this package reads a clock, draws randomness of its own, starts a goroutine or does I/O: the time and the
// random source are arguments. Values are not safe for concurrent use; their holder locks them.
package schedule
