package speed

// TurnTimes are the measured times of one turn at an engine, and what they depend on.
type TurnTimes struct {
	FirstMS  float64 // Time to the first event; 0 if unknown.
	OutputMS float64 // Time from the first to the last event.
	Tokens   int     // Output tokens after the first event.
	Stride   int     // Output tokens of an event.
	Pending  int     // Prompt tokens that were not cached.
	Ahead    int     // Prompt tokens that the engine had still to process before those.
	Load     float64 // Calls per slot that the engine had.
}

const (
	// minPrefillTokens is the number of prompt tokens below which the time to the first event says little about prefill: the latency
	// between failure domains is that of about a hundred.
	minPrefillTokens = 800
	// minPrefillShare is the least share of the time to the first event that counts as prefill.
	minPrefillShare = 0.1
	minOutputTokens = 4 // Output tokens below which the time of the output says little.
)

// PerToken returns the times of an output token and of the prefill of a prompt token in milliseconds; 0 where the turn says little.
func (t TurnTimes) PerToken() (output, prefill float64) {
	if t.Tokens < minOutputTokens {
		return 0, 0
	}
	output = t.OutputMS / float64(t.Tokens)
	if t.Pending >= minPrefillTokens && t.Load < 1 { // It did not wait for a slot.
		first := max(t.FirstMS-float64(t.Stride)*output, t.FirstMS*minPrefillShare)
		prefill = first / float64(t.Pending+t.Ahead)
	}
	return output, prefill
}
