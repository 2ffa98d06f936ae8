package kv

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/ports/gateway"
	"github.com/redwinggauge/redwinggauge/internal/standin"
)

// Modes of an outage.
const (
	OutageClose  = "close"  // The connection closes without an answer. The default.
	OutageRefuse = "refuse" // The answer says that there is no leader, which proves that nothing happened.
	OutageHang   = "hang"   // No answer comes while the outage lasts.
)

// Faults are the switches of the stand-in.
type Faults struct {
	OutageMS              int64   `json:"outage_ms,omitempty"` // From the moment of setting; breaks watches.
	OutageMode            string  `json:"outage_mode,omitempty"`
	DelayMS               int64   `json:"delay_ms,omitempty"`     // Added to every call.
	LoseAnswers           int     `json:"lose_answers,omitempty"` // Writes that take effect without an answer.
	LoseAnswerShare       float64 `json:"lose_answer_share,omitempty"`
	LoseBeforeEffect      int     `json:"lose_before_effect,omitempty"` // Writes lost on the way in.
	LoseBeforeEffectShare float64 `json:"lose_before_effect_share,omitempty"`
	LateApplyMS           int64   `json:"late_apply_ms,omitempty"` // When a late write takes effect after its answer.
	LateApplies           int     `json:"late_applies,omitempty"`  // Writes answered with a timeout that take effect late.
	LateApplyShare        float64 `json:"late_apply_share,omitempty"`
}

type writeFaultKind int

const (
	noFault writeFaultKind = iota
	loseBefore
	loseAfter
	applyLate
)

type writeFault struct {
	kind  writeFaultKind
	after time.Duration
}

// SetFaults replaces the switches.
func (s *Server) SetFaults(f Faults) { s.faults.Set(f) }

// drawWriteFault picks the fault of one write.
func (s *Server) drawWriteFault() writeFault {
	s.mu.Lock()
	draw := s.random.Float64()
	s.mu.Unlock()
	fault := writeFault{}
	s.faults.Update(func(f *Faults) {
		fault.after = standin.Millis(f.LateApplyMS)
		late := f.LoseAnswerShare + f.LoseBeforeEffectShare
		switch {
		case standin.Take(&f.LoseAnswers) || draw < f.LoseAnswerShare:
			fault.kind = loseAfter
		case standin.Take(&f.LoseBeforeEffect) || draw < late:
			fault.kind = loseBefore
		case f.LateApplyMS > 0 && (standin.Take(&f.LateApplies) || draw < late+f.LateApplyShare):
			fault.kind = applyLate
		}
	})
	return fault
}

// refuseInOutage answers, or leaves unanswered, a call during an outage.
func (s *Server) refuseInOutage(ctx *fasthttp.RequestCtx, f Faults, since time.Time) {
	switch f.OutageMode {
	case OutageRefuse:
		writeError(ctx, fasthttp.StatusServiceUnavailable, gateway.CodeUnavailable, gateway.MessageNoLeader)
	case OutageHang:
		select {
		case <-time.After(time.Until(since.Add(standin.Millis(f.OutageMS)))):
		case <-s.stop:
		}
		standin.DropAnswer(ctx)
	default:
		standin.DropAnswer(ctx)
	}
}
