package policy

// DefaultLimits returns the limits that apply where a configuration does not set them.
func DefaultLimits() Limits {
	return Limits{
		Budget:        Budget{Calls: 300, Tokens: 4_000_000, TimeMS: 4 * 60 * 60 * 1000},
		MaxPrograms:   10_000,
		IdleTimeoutMS: 30 * 60 * 1000,
		TimeoutMS:     120_000,
	}
}

// withDefaults returns l with its unset fields taken from DefaultLimits.
func (l Limits) withDefaults() Limits {
	d := DefaultLimits()
	l.Budget = l.Budget.withFallback(d.Budget)
	setDefault(&l.MaxPrograms, d.MaxPrograms)
	setDefault(&l.IdleTimeoutMS, d.IdleTimeoutMS)
	setDefault(&l.TimeoutMS, d.TimeoutMS)
	return l
}

// setDefault sets the field to the value if it is 0.
func setDefault[T int | int64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Default returns the demo configuration. It has one organisation, an interactive and a batch class, one model, and one
// service with idempotent and non-idempotent actions.
func Default() *Config {
	c := &Config{
		FailureDomains: []FailureDomain{{Name: "local-a", Region: "local"}},
		Organisations:  []Organisation{{Name: "demo", MaxPrograms: 1000}},
		Classes: []Class{
			{Name: "interactive", Priority: 10, Budget: Budget{Calls: 100, Tokens: 1_000_000, TimeMS: 60 * 60 * 1000}, IdleTimeoutMS: 10 * 60 * 1000},
			{Name: "batch", Priority: 0, Budget: Budget{Calls: 300, Tokens: 4_000_000, TimeMS: 4 * 60 * 60 * 1000}},
		},
		Services: []Service{{
			Name:      "archive",
			TimeoutMS: 10_000,
			Actions: []Action{
				{Method: "GET", Path: "/**", Idempotent: true, Retry: true},
				{Method: "POST", Path: "/search", Idempotent: true, Retry: true},
				{Method: "POST", Path: "/slips/*/verify", Idempotent: false, TimeoutMS: 30_000},
			},
		}},
		Models: []Model{{Name: "demo-lm", MaxTokens: 512, Context: 32_768}},
	}
	return c.Compile()
}
