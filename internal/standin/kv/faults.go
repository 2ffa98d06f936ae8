package kv

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/ports/gateway"
	"github.com/redwinggauge/redwinggauge/internal/standin"
)

// Values of Faults.OutageMode.
const (
	OutageClose  = "close"  // The connection is closed without a response. The default.
	OutageRefuse = "refuse" // The response says that there is no leader, so the caller knows that the call had no effect.
	OutageHang   = "hang"   // The call hangs until the outage ends; then the connection is closed without a response.
)

// Faults are the faults that the stand-in injects. A fraction is the probability of a fault at each write.
type Faults struct {
	OutageMS              int64   `json:"outage_ms,omitempty"`                // Duration of an outage that begins when it is set; it also ends watches.
	OutageMode            string  `json:"outage_mode,omitempty"`              // OutageClose, OutageRefuse or OutageHang.
	DelayMS               int64   `json:"delay_ms,omitempty"`                 // Added to the duration of every call.
	LoseAnswers           int     `json:"lose_answers,omitempty"`             // Number of next writes that take effect but get no response.
	LoseAnswerShare       float64 `json:"lose_answer_share,omitempty"`        // Fraction of such writes.
	LoseBeforeEffect      int     `json:"lose_before_effect,omitempty"`       // Number of next writes that get no response and have no effect.
	LoseBeforeEffectShare float64 `json:"lose_before_effect_share,omitempty"` // Fraction of such writes.
	LateApplyMS           int64   `json:"late_apply_ms,omitempty"`            // Delay between the response to a late write and its effect; 0 disables late writes.
	LateApplies           int     `json:"late_applies,omitempty"`             // Number of next writes that fail with a timeout error and take effect later.
	LateApplyShare        float64 `json:"late_apply_share,omitempty"`         // Fraction of such writes.
}

// writeFaultKind says what goes wrong with a write.
type writeFaultKind int

const (
	noFault      writeFaultKind = iota
	loseRequest                 // No effect, no response.
	loseResponse                // Effect, but no response.
	applyLate                   // A timeout error, then the effect.
)

// writeFault is the fault of one write.
type writeFault struct {
	kind  writeFaultKind
	delay time.Duration // Between response and effect, for applyLate.
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) { s.faults.Set(f) }

// pickWriteFault returns the fault of the next write. Counted faults come before random ones of the same kind.
func (s *Server) pickWriteFault() writeFault {
	s.mu.Lock()
	draw := s.random.Float64()
	s.mu.Unlock()
	fault := writeFault{}
	s.faults.Update(func(f *Faults) {
		fault.delay = standin.Milliseconds(f.LateApplyMS)
		lossShare := f.LoseAnswerShare + f.LoseBeforeEffectShare
		switch {
		case standin.DecrementIfPositive(&f.LoseAnswers) || draw < f.LoseAnswerShare:
			fault.kind = loseResponse
		case standin.DecrementIfPositive(&f.LoseBeforeEffect) || draw < lossShare:
			fault.kind = loseRequest
		case f.LateApplyMS > 0 && (standin.DecrementIfPositive(&f.LateApplies) || draw < lossShare+f.LateApplyShare):
			fault.kind = applyLate
		}
	})
	return fault
}

// failInOutage fails a call during an outage as the outage mode says. since is the beginning of the outage.
func (s *Server) failInOutage(ctx *fasthttp.RequestCtx, f Faults, since time.Time) {
	switch f.OutageMode {
	case OutageRefuse:
		writeError(ctx, fasthttp.StatusServiceUnavailable, gateway.CodeUnavailable, gateway.MessageNoLeader)
	case OutageHang:
		select {
		case <-time.After(time.Until(since.Add(standin.Milliseconds(f.OutageMS)))):
		case <-s.stop:
		}
		standin.CloseWithoutResponse(ctx)
	default:
		standin.CloseWithoutResponse(ctx)
	}
}
