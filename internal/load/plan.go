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

// Plan describes a run of the load generator. It is read from a YAML file.
type Plan struct {
	Name     string        `yaml:"name" validate:"required"`
	Mix      string        `yaml:"mix" validate:"required,oneof=foras-foclo andesmetra"`
	Seed     uint64        `yaml:"seed"`
	Programs int           `yaml:"programs" validate:"min=1,max=100000"` // Number of programs to start, not counting the burst.
	Rate     float64       `yaml:"rate" validate:"gt=0,max=10000"`       // Mean number of programs started per second (a Poisson process), however slow the system is.
	Deadline time.Duration `yaml:"deadline" validate:"min=1s,max=24h"`   // Time limit of the run; programs still running then are abandoned.
	Underway int           `yaml:"underway" validate:"min=1,max=100000"` // Maximum number of running programs; a program beyond it is not started.

	Entries []string `yaml:"entries" validate:"dive,hostname_port"` // Addresses of the entries' caller ports; empty runs a demo.
	Engines []string `yaml:"engines" validate:"dive,hostname_port"` // Addresses of stand-in engines to query for wasted cache memory.

	Organisation string            `yaml:"organisation" validate:"required"`
	Model        string            `yaml:"model" validate:"required"`
	Classes      map[string]string `yaml:"classes" validate:"required"` // Maps each class of the mix to a class in the system's configuration.
	Action       Action            `yaml:"action"`
	Scale        Scale             `yaml:"scale"`
	Burst        Burst             `yaml:"burst"`

	CallTimeout time.Duration `yaml:"call_timeout" validate:"min=100ms"` // Limit on each attempt of a request.
	Resends     int           `yaml:"resends" validate:"min=0,max=1000"` // Maximum number of times that a request is resent after an error that may be retried.
}

// Action is the non-idempotent service call that programs of the mixes make.
type Action struct {
	Service string `yaml:"service" validate:"required"`
	Path    string `yaml:"path" validate:"required"`
}

// Scale adapts a mix to the capacity of the system under test.
type Scale struct {
	Tokens float64 `yaml:"tokens" validate:"gt=0,max=10"` // Factor for the number of prompt tokens.
	Output float64 `yaml:"output" validate:"gt=0,max=10"` // Factor for the number of output tokens.
	Time   float64 `yaml:"time" validate:"gt=0,max=10"`   // Factor for the durations of tools.
}

// Burst is a number of comparison programs that start at the same time, in addition to the programs of the mix.
type Burst struct {
	Programs int           `yaml:"programs" validate:"min=0,max=10000"`
	At       time.Duration `yaml:"at" validate:"min=0"` // Since the start of the run.
}

const (
	defaultCallTimeout = time.Minute
	defaultResends     = 20
	defaultUnderway    = 2000
)

// DefaultPlan returns a plan with the values of the fields that a file may omit.
func DefaultPlan() Plan {
	return Plan{
		Underway:    defaultUnderway,
		CallTimeout: defaultCallTimeout,
		Resends:     defaultResends,
		Scale:       Scale{Tokens: 1, Output: 1, Time: 1},
	}
}

// ReadPlan reads a plan from a file and checks it. The error for an invalid plan is a *settings.Error.
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

// lineOf returns the line of a YAML path in the file, or 0 if the file does not contain the path.
func lineOf(data []byte, path string) int {
	yamlPath, err := yaml.PathString(path)
	if err != nil {
		return 0
	}
	node, err := yamlPath.ReadNode(bytes.NewReader(data))
	if err != nil {
		return 0
	}
	return node.GetToken().Position.Line
}

// mixClasses lists the classes of each mix.
var mixClasses = map[string][]string{
	MixForasFoclo: {ClassDrafting, ClassComparison, ClassReading},
	MixAndesmetra: {ClassDrafting, ClassAnswering},
}

// arrival is a program and the time at which it starts, counted from the start of the run.
type arrival struct {
	at      time.Duration
	program Program
}

// arrivals generates all programs of the plan, sorted by start time. The same plan and seed always give the same arrivals.
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
		all = append(all, arrival{p.Burst.At, p.Scale.apply(ComparisonProgram(random))})
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all, nil
}

// apply returns a scaled copy of the program.
func (s Scale) apply(p Program) Program {
	p.SharedPrefixTokens = scaleTokens(p.SharedPrefixTokens, s.Tokens)
	p.Turns = slices.Clone(p.Turns)
	for i := range p.Turns {
		t := &p.Turns[i]
		t.PromptTokens = scaleTokens(t.PromptTokens, s.Tokens)
		t.OutputTokens = scaleTokens(t.OutputTokens, s.Output)
		t.Pause = time.Duration(float64(t.Pause) * s.Time)
		t.SubAgents = slices.Clone(t.SubAgents)
		for j := range t.SubAgents {
			t.SubAgents[j] = s.apply(t.SubAgents[j])
		}
	}
	return p
}

// scaleTokens scales a number of tokens. A number above 0 does not become 0.
func scaleTokens(n int, factor float64) int {
	if n == 0 {
		return 0
	}
	return max(1, int(float64(n)*factor))
}
