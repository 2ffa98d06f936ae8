package schedule

// EngineUse is what calls use of an engine.
type EngineUse struct {
	Calls  int
	Tokens int // Prompt tokens that the engine has still to read.
}

// Plus returns the sum.
func (u EngineUse) Plus(v EngineUse) EngineUse {
	return EngineUse{u.Calls + v.Calls, u.Tokens + v.Tokens}
}

// Minus returns the difference.
func (u EngineUse) Minus(v EngineUse) EngineUse {
	return EngineUse{u.Calls - v.Calls, u.Tokens - v.Tokens}
}

// EngineRoom bounds what an engine is given at once. What is beyond waits in a Line, where the order can still change.
type EngineRoom struct {
	SlotsShare float64 // Calls as a multiple of the engine's slots.
	Extra      int     // Calls beyond those, which bridge the time until the end of a call is known.
	Tokens     int     // Prompt tokens to be read from which no further call is given.
}

// DefaultEngineRoom returns the bounds in force.
func DefaultEngineRoom() EngineRoom {
	return EngineRoom{SlotsShare: 1.25, Extra: 1, Tokens: 8000}
}

// Allows reports whether an engine with the slots that is used so far gets a further call.
func (r EngineRoom) Allows(used EngineUse, slots int) bool {
	return used.Calls == 0 || float64(used.Calls) < float64(slots)*r.SlotsShare+float64(r.Extra) && used.Tokens < r.Tokens
}
