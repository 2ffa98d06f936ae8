// Package load runs agent programs against the callers' interface and measures their latency, outcomes and the
// memory that engines held in vain.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Classes of programs in the mixes.
const (
	ClassDrafting   = "drafting"
	ClassComparison = "comparison"
	ClassReading    = "reading"
	ClassAnswering  = "answering"
)

// Program is the shape of one agent program.
type Program struct {
	Class        string
	Shared       string // Name of the prompt prefix that it shares with other programs; empty for none.
	SharedTokens int
	Turns        []Turn
}

// Turn is one model call with what follows it before the next one.
type Turn struct {
	PromptTokens int // New tokens of the prompt.
	OutputTokens int
	Tool         string // Tool that runs after the call; empty after the last one.
	Pause        time.Duration
	Action       bool      // The tool is a non-idempotent service call through the system.
	Branches     []Program // Sub-agents that run during the pause.
}

// Calls returns the number of model calls of the program and its sub-agents.
func (p *Program) Calls() int {
	n := len(p.Turns)
	for i := range p.Turns {
		for j := range p.Turns[i].Branches {
			n += p.Turns[i].Branches[j].Calls()
		}
	}
	return n
}

// Names of mixes.
const (
	MixForasFoclo = "foras-foclo"
	MixAndesmetra = "andesmetra"
)

// Shapes of the mixes.
const (
	archivePrefixes  = 20
	archiveTokens    = 6000
	guidelineTokens  = 1500
	comparisonTokens = 2000
	campaignPrefixes = 8
	campaignTokens   = 4000
	readingShare     = 0.65
	comparisonShare  = 0.10
	answeringShare   = 0.45
	branchShare      = 0.12
	revisionShare    = 0.15
)

// Generate draws one program of the mix.
func Generate(mix string, random *rand.Rand) (Program, error) {
	switch mix {
	case MixForasFoclo:
		return forasFoclo(random), nil
	case MixAndesmetra:
		return andesmetra(random), nil
	default:
		return Program{}, fmt.Errorf("mix %q does not exist", mix)
	}
}

func forasFoclo(r *rand.Rand) Program {
	switch u := r.Float64(); {
	case u < readingShare:
		return reading(r)
	case u < readingShare+comparisonShare:
		return Comparison(r)
	default:
		return slipDrafting(r)
	}
}

func andesmetra(r *rand.Rand) Program {
	if r.Float64() < answeringShare {
		return answering(r)
	}
	return scheduleDrafting(r)
}

// reading is a short reader that shares the prefix of an archive section.
func reading(r *rand.Rand) Program {
	section := int(float64(archivePrefixes) * math.Pow(r.Float64(), 2))
	p := Program{Class: ClassReading, Shared: fmt.Sprintf("archive-%d", section), SharedTokens: archiveTokens}
	for range between(r, 1, 3) {
		p.Turns = append(p.Turns, turn(r, 100, 400, 60, 200, "slip-lookup", 500*time.Millisecond, 2*time.Second))
	}
	return finish(p)
}

// slipDrafting drafts a sense definition and stamps its slip.
func slipDrafting(r *rand.Rand) Program {
	p := Program{Class: ClassDrafting, Shared: "guideline", SharedTokens: guidelineTokens}
	for range between(r, 3, 8) {
		p.Turns = append(p.Turns, turn(r, 200, 1500, 100, 350, "scan-lookup", 300*time.Millisecond, 3*time.Second))
	}
	return fileBeforeLast(p, "stamp-slip")
}

// Comparison draws a long agent that compares attestations and branches into sub-agents.
func Comparison(r *rand.Rand) Program {
	p := Program{Class: ClassComparison, Shared: "comparison", SharedTokens: comparisonTokens}
	for range between(r, 10, 30) {
		t := turn(r, 500, 3000, 100, 300, "attestations", time.Second, 8*time.Second)
		if r.Float64() < branchShare {
			t.Branches = subAgents(r)
		}
		p.Turns = append(p.Turns, t)
	}
	return finish(p)
}

func subAgents(r *rand.Rand) []Program {
	agents := make([]Program, between(r, 2, 4))
	for i := range agents {
		agents[i].Class = ClassComparison
		for range between(r, 3, 6) {
			agents[i].Turns = append(agents[i].Turns, turn(r, 300, 1500, 80, 250, "century-search", time.Second, 5*time.Second))
		}
		agents[i] = finish(agents[i])
	}
	return agents
}

// answering is a track engineer's question about a campaign.
func answering(r *rand.Rand) Program {
	campaign := r.IntN(campaignPrefixes)
	p := Program{Class: ClassAnswering, Shared: fmt.Sprintf("campaign-%d", campaign), SharedTokens: campaignTokens}
	for range between(r, 1, 3) {
		p.Turns = append(p.Turns, turn(r, 100, 500, 50, 200, "track-lookup", 500*time.Millisecond, 2*time.Second))
	}
	return finish(p)
}

// scheduleDrafting drafts a grinding schedule, revises it after a planner's answer and issues a work order.
func scheduleDrafting(r *rand.Rand) Program {
	p := Program{Class: ClassDrafting, Shared: "planner", SharedTokens: guidelineTokens}
	for range between(r, 5, 15) {
		t := turn(r, 300, 1800, 150, 400, "track-geometry", time.Second, 6*time.Second)
		if r.Float64() < revisionShare {
			t.Tool = "planner-review"
			t.Pause = durationBetween(r, 20*time.Second, time.Minute)
		}
		p.Turns = append(p.Turns, t)
	}
	return fileBeforeLast(p, "work-order")
}

// finish removes the pause after the last turn.
func finish(p Program) Program {
	last := &p.Turns[len(p.Turns)-1]
	last.Tool, last.Pause, last.Branches = "", 0, nil
	return p
}

// fileBeforeLast makes the pause before the last turn a non-idempotent action.
func fileBeforeLast(p Program, action string) Program {
	p = finish(p)
	filing := &p.Turns[len(p.Turns)-2]
	filing.Tool = action
	filing.Action = true
	return p
}

func turn(r *rand.Rand, promptLow, promptHigh, outLow, outHigh int, tool string, pauseLow, pauseHigh time.Duration) Turn {
	return Turn{
		PromptTokens: between(r, promptLow, promptHigh),
		OutputTokens: between(r, outLow, outHigh),
		Tool:         tool,
		Pause:        durationBetween(r, pauseLow, pauseHigh),
	}
}

func between(r *rand.Rand, low, high int) int { return low + r.IntN(high-low+1) }

func durationBetween(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)+1))
}
