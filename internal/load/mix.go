// Package load is a load generator. It runs agent programs against the entries' caller interface and measures their latency
// and outcomes, and the cache memory that engines held without using it.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Classes of the programs in the mixes.
const (
	ClassDrafting   = "drafting"
	ClassComparison = "comparison"
	ClassReading    = "reading"
	ClassAnswering  = "answering"
)

// Program describes an agent program to run.
type Program struct {
	Class              string
	SharedPrefix       string // Name of the prompt prefix that it shares with other programs; empty if there is none.
	SharedPrefixTokens int
	Turns              []Turn
}

// Turn is one model call and the tool that runs before the next model call.
type Turn struct {
	PromptTokens int // Tokens that the turn adds to the prompt.
	OutputTokens int
	Tool         string        // Tool that runs after the call; empty in the last turn.
	Pause        time.Duration // Duration of the tool.
	Action       bool          // Whether a non-idempotent service call through the system precedes the pause.
	SubAgents    []Program     // Sub-agents that run during the pause.
}

// Calls returns the number of model calls of the program and its sub-agents.
func (p *Program) Calls() int {
	n := len(p.Turns)
	for i := range p.Turns {
		for j := range p.Turns[i].SubAgents {
			n += p.Turns[i].SubAgents[j].Calls()
		}
	}
	return n
}

// Names of the mixes of programs.
const (
	MixForasFoclo = "foras-foclo"
	MixAndesmetra = "andesmetra"
)

// Parameters of the mixes. Lengths of prefixes are in tokens, and shares are probabilities.
const (
	archiveSections        = 20 // Prefixes among which reading programs choose.
	archivePrefixTokens    = 6000
	guidelinePrefixTokens  = 1500
	comparisonPrefixTokens = 2000
	campaigns              = 8 // Prefixes among which answering programs choose.
	campaignPrefixTokens   = 4000
	readingShare           = 0.65 // Reading programs among the programs of mix foras-foclo.
	comparisonShare        = 0.10 // Comparison programs among the programs of mix foras-foclo; the rest are drafting programs.
	answeringShare         = 0.45 // Answering programs among the programs of mix andesmetra; the rest are drafting programs.
	subAgentShare          = 0.12 // Turns that start sub-agents among the turns of a comparison program.
	revisionShare          = 0.15 // Turns that wait for a planner's review among the turns that draft a schedule.
)

// Generate returns a random program of the mix.
func Generate(mix string, random *rand.Rand) (Program, error) {
	switch mix {
	case MixForasFoclo:
		return forasFocloProgram(random), nil
	case MixAndesmetra:
		return andesmetraProgram(random), nil
	default:
		return Program{}, fmt.Errorf("mix %q does not exist", mix)
	}
}

func forasFocloProgram(r *rand.Rand) Program {
	switch u := r.Float64(); {
	case u < readingShare:
		return readingProgram(r)
	case u < readingShare+comparisonShare:
		return ComparisonProgram(r)
	default:
		return slipDraftingProgram(r)
	}
}

func andesmetraProgram(r *rand.Rand) Program {
	if r.Float64() < answeringShare {
		return answeringProgram(r)
	}
	return scheduleDraftingProgram(r)
}

// readingProgram returns a short program that looks up slips in a section of the archive. Programs share the prefix of the
// section, and sections with low numbers are more frequent.
func readingProgram(r *rand.Rand) Program {
	section := int(float64(archiveSections) * math.Pow(r.Float64(), 2))
	p := Program{Class: ClassReading, SharedPrefix: fmt.Sprintf("archive-%d", section), SharedPrefixTokens: archivePrefixTokens}
	for range intBetween(r, 1, 3) {
		p.Turns = append(p.Turns, randomTurn(r, 100, 400, 60, 200, "slip-lookup", 500*time.Millisecond, 2*time.Second))
	}
	return clearLastPause(p)
}

// slipDraftingProgram returns a program that drafts a sense definition and then stamps its citation slip.
func slipDraftingProgram(r *rand.Rand) Program {
	p := Program{Class: ClassDrafting, SharedPrefix: "guideline", SharedPrefixTokens: guidelinePrefixTokens}
	for range intBetween(r, 3, 8) {
		p.Turns = append(p.Turns, randomTurn(r, 200, 1500, 100, 350, "scan-lookup", 300*time.Millisecond, 3*time.Second))
	}
	return addActionBeforeLastTurn(p, "stamp-slip")
}

// ComparisonProgram returns a long program that compares attestations and starts sub-agents in some turns.
func ComparisonProgram(r *rand.Rand) Program {
	p := Program{Class: ClassComparison, SharedPrefix: "comparison", SharedPrefixTokens: comparisonPrefixTokens}
	for range intBetween(r, 10, 30) {
		t := randomTurn(r, 500, 3000, 100, 300, "attestations", time.Second, 8*time.Second)
		if r.Float64() < subAgentShare {
			t.SubAgents = comparisonSubAgents(r)
		}
		p.Turns = append(p.Turns, t)
	}
	return clearLastPause(p)
}

// comparisonSubAgents returns the sub-agents of one turn of a comparison program.
func comparisonSubAgents(r *rand.Rand) []Program {
	agents := make([]Program, intBetween(r, 2, 4))
	for i := range agents {
		agents[i].Class = ClassComparison
		for range intBetween(r, 3, 6) {
			agents[i].Turns = append(agents[i].Turns, randomTurn(r, 300, 1500, 80, 250, "century-search", time.Second, 5*time.Second))
		}
		agents[i] = clearLastPause(agents[i])
	}
	return agents
}

// answeringProgram returns a short program that answers a track engineer's question about a grinding campaign. Programs
// share the prefix of the campaign.
func answeringProgram(r *rand.Rand) Program {
	campaign := r.IntN(campaigns)
	p := Program{Class: ClassAnswering, SharedPrefix: fmt.Sprintf("campaign-%d", campaign), SharedPrefixTokens: campaignPrefixTokens}
	for range intBetween(r, 1, 3) {
		p.Turns = append(p.Turns, randomTurn(r, 100, 500, 50, 200, "track-lookup", 500*time.Millisecond, 2*time.Second))
	}
	return clearLastPause(p)
}

// scheduleDraftingProgram returns a program that drafts a grinding schedule, in some turns waits for a planner's review, and
// then issues a work order.
func scheduleDraftingProgram(r *rand.Rand) Program {
	p := Program{Class: ClassDrafting, SharedPrefix: "planner", SharedPrefixTokens: guidelinePrefixTokens}
	for range intBetween(r, 5, 15) {
		t := randomTurn(r, 300, 1800, 150, 400, "track-geometry", time.Second, 6*time.Second)
		if r.Float64() < revisionShare {
			t.Tool = "planner-review"
			t.Pause = durationBetween(r, 20*time.Second, time.Minute)
		}
		p.Turns = append(p.Turns, t)
	}
	return addActionBeforeLastTurn(p, "work-order")
}

// clearLastPause removes the tool, pause and sub-agents of the last turn, after which the program ends.
func clearLastPause(p Program) Program {
	last := &p.Turns[len(p.Turns)-1]
	last.Tool, last.Pause, last.SubAgents = "", 0, nil
	return p
}

// addActionBeforeLastTurn makes the tool before the last turn a non-idempotent action.
func addActionBeforeLastTurn(p Program, action string) Program {
	p = clearLastPause(p)
	actionTurn := &p.Turns[len(p.Turns)-2]
	actionTurn.Tool = action
	actionTurn.Action = true
	return p
}

// randomTurn returns a turn whose token numbers and pause are uniformly distributed between the limits, which are included.
func randomTurn(r *rand.Rand, promptLow, promptHigh, outLow, outHigh int, tool string, pauseLow, pauseHigh time.Duration) Turn {
	return Turn{
		PromptTokens: intBetween(r, promptLow, promptHigh),
		OutputTokens: intBetween(r, outLow, outHigh),
		Tool:         tool,
		Pause:        durationBetween(r, pauseLow, pauseHigh),
	}
}

func intBetween(r *rand.Rand, low, high int) int { return low + r.IntN(high-low+1) }

func durationBetween(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)+1))
}
