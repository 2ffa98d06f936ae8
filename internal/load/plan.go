package load

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/redwinggauge/redwinggauge/internal/settings"
)

// Plan describes one run. It is read from a YAML file.
type Plan struct {
	Name     string        `yaml:"name" validate:"required"`
	Mix      string        `yaml:"mix" validate:"required,oneof=foras-foclo andesmetra"`
	Seed     uint64        `yaml:"seed"`
	Programs int           `yaml:"programs" validate:"min=1,max=100000"` // Most programs that are started.
	Rate     float64       `yaml:"rate" validate:"gt=0,max=10000"`       // Programs started per second, whatever the answers.
	Deadline time.Duration `yaml:"deadline" validate:"min=1s,max=24h"`   // Programs under way at this time are given up.
	Underway int           `yaml:"underway" validate:"min=1,max=100000"` // Most programs under way; more are not started.

	Entries []string `yaml:"entries" validate:"dive,hostname_port"` // Callers' addresses; empty runs the demo.
	Engines []string `yaml:"engines" validate:"dive,hostname_port"` // Stand-in engines to ask for wasted cache.

	Organisation string            `yaml:"organisation" validate:"required"`
	Model        string            `yaml:"model" validate:"required"`
	Classes      map[string]string `yaml:"classes" validate:"required"` // Configured class of each class of the mix.
	Action       Action            `yaml:"action"`
	Scale        Scale             `yaml:"scale"`
	Burst        Burst             `yaml:"burst"`

	CallTimeout time.Duration `yaml:"call_timeout" validate:"min=100ms"`
	Resends     int           `yaml:"resends" validate:"min=0,max=1000"` // Of one call that was refused as not run or interrupted.
}

// Action is the non-idempotent service call of the mixes.
type Action struct {
	Service string `yaml:"service" validate:"required"`
	Path    string `yaml:"path" validate:"required"`
}

// Scale fits a mix to the size of the system under test.
type Scale struct {
	Tokens float64 `yaml:"tokens" validate:"gt=0,max=10"` // Factor on prompt tokens.
	Output float64 `yaml:"output" validate:"gt=0,max=10"` // Factor on answer tokens.
	Time   float64 `yaml:"time" validate:"gt=0,max=10"`   // Factor on pauses.
}

// Burst starts comparison agents together.
type Burst struct {
	Programs int           `yaml:"programs" validate:"min=0,max=10000"`
	At       time.Duration `yaml:"at" validate:"min=0"`
}

const (
	defaultCallTimeout = time.Minute
	defaultResends     = 20
	defaultUnderway    = 2000
)

// DefaultPlan returns the values of the fields that a file need not name.
func DefaultPlan() Plan {
	return Plan{
		Underway:    defaultUnderway,
		CallTimeout: defaultCallTimeout,
		Resends:     defaultResends,
		Scale:       Scale{Tokens: 1, Output: 1, Time: 1},
	}
}

// ReadPlan reads and checks a plan. The error names the file and the line.
func ReadPlan(path string) (*Plan, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read load plan: %w", err)
	}
	plan := DefaultPlan()
	if err := settings.Parse(path, data, &plan); err != nil {
		return nil, err
	}
	for _, class := range mixClasses[plan.Mix] {
		if plan.Classes[class] == "" {
			return nil, &settings.Error{
				File: path, Line: lineOf(data, "$.classes"), Field: "classes",
				Reason: fmt.Sprintf("class %q of mix %q is not mapped to a configured class", class, plan.Mix),
			}
		}
	}
	return &plan, nil
}

// lineOf returns the line of a YAML path, or 0 if it is not there.
func lineOf(data []byte, path string) int {
	at, err := yaml.PathString(path)
	if err != nil {
		return 0
	}
	node, err := at.ReadNode(bytes.NewReader(data))
	if err != nil {
		return 0
	}
	return node.GetToken().Position.Line
}

var mixClasses = map[string][]string{
	MixForasFoclo: {ClassDrafting, ClassComparison, ClassReading},
	MixAndesmetra: {ClassDrafting, ClassAnswering},
}

// arrival is a program with the time at which it starts.
type arrival struct {
	at      time.Duration
	program Program
}

// arrivals draws all programs of the plan in order of their start.
func (p *Plan) arrivals() ([]arrival, error) {
	random := rand.New(rand.NewPCG(p.Seed, 1))
	var all []arrival
	at := 0.0
	for range p.Programs {
		at += random.ExpFloat64() / p.Rate
		program, err := Generate(p.Mix, random)
		if err != nil {
			return nil, err
		}
		all = append(all, arrival{time.Duration(at * float64(time.Second)), p.Scale.apply(program)})
	}
	for range p.Burst.Programs {
		all = append(all, arrival{p.Burst.At, p.Scale.apply(Comparison(random))})
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all, nil
}

// apply returns the scaled program.
func (s Scale) apply(p Program) Program {
	p.SharedTokens = scaled(p.SharedTokens, s.Tokens)
	p.Turns = slices.Clone(p.Turns)
	for i := range p.Turns {
		t := &p.Turns[i]
		t.PromptTokens = scaled(t.PromptTokens, s.Tokens)
		t.OutputTokens = scaled(t.OutputTokens, s.Output)
		t.Pause = time.Duration(float64(t.Pause) * s.Time)
		t.Branches = slices.Clone(t.Branches)
		for j := range t.Branches {
			t.Branches[j] = s.apply(t.Branches[j])
		}
	}
	return p
}

func scaled(n int, factor float64) int {
	if n == 0 {
		return 0
	}
	return max(1, int(float64(n)*factor))
}
