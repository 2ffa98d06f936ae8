// Command foras-foclo prints the configuration of Foras Focló na hÉireann: agents that draft sense definitions from
// scanned citation slips, compare attestations, and file what editors have decided.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/redwinggauge/redwinggauge/operator"
)

func main() {
	if err := configuration().Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func configuration() *operator.Configuration {
	c := operator.New().FailureDomains("eire-east", "baile-atha", "gaillimh", "corcaigh")
	organisations(c)
	classes(c)
	return c.
		Model(operator.Model{Name: "focal-lm", MaxTokens: 1024, Context: 131_072, Timeout: 5 * time.Minute}).
		Service(archiveService()).
		ChecksFence("focal-lm-*").
		IgnoresFence("focal-lm-corcaigh-*").
		Limits(operator.Limits{Timeout: time.Minute, IdleTimeout: 15 * time.Minute})
}

// organisations declares Foras Focló itself and the organisations that query its archive.
func organisations(c *operator.Configuration) {
	c.Organisation(operator.Organisation{Name: "foras-foclo", MaxPrograms: 2_000})
	c.Organisation(operator.Organisation{
		Name:        "scoileanna",
		MaxPrograms: 400,
		Budget:      operator.Budget{Calls: 20, Tokens: 100_000},
	})
	c.Organisation(operator.Organisation{
		Name:        "oireachtas-aistriuchan",
		MaxPrograms: 200,
		Budget:      operator.Budget{Calls: 60, Tokens: 400_000},
	})
}

// classes declares the classes of programs. Drafting has the highest priority, as an editor waits for the draft. Filing has
// the lowest, as no one waits for it.
func classes(c *operator.Configuration) {
	c.Class(operator.Class{
		Name:        "drafting",
		Priority:    100,
		Budget:      operator.Budget{Calls: 60, Tokens: 600_000, Time: time.Hour},
		IdleTimeout: 10 * time.Minute,
	})
	c.Class(operator.Class{Name: "query", Priority: 80, IdleTimeout: 5 * time.Minute})
	c.Class(operator.Class{
		Name:        "comparison",
		Priority:    40,
		Budget:      operator.Budget{Calls: 150, Tokens: 3_000_000, Time: 6 * time.Hour},
		IdleTimeout: 30 * time.Minute,
	})
	c.Class(operator.Class{
		Name:        "filing",
		Priority:    20,
		Budget:      operator.Budget{Calls: 40, Tokens: 200_000, Time: 12 * time.Hour},
		IdleTimeout: time.Hour,
	})
}

// archiveService declares the service of the archive. Marking a slip as verified and filing a revision are not idempotent,
// as they must not happen twice.
func archiveService() operator.Service {
	return operator.Service{
		Name:    "cartlann-app",
		Timeout: 20 * time.Second,
		Actions: []operator.Action{
			operator.Idempotent("GET", "/**").WithRetry(),
			operator.Idempotent("HEAD", "/**").WithRetry(),
			operator.Idempotent("POST", "/slips/search").WithRetry(),
			operator.Idempotent("POST", "/attestations/compare").WithRetry().WithTimeout(2 * time.Minute),
			operator.Idempotent("PUT", "/drafts/*"),
			operator.NonIdempotent("POST", "/slips/*/verified").WithTimeout(time.Minute),
			operator.NonIdempotent("POST", "/headwords/*/revisions").WithTimeout(time.Minute),
		},
	}
}
