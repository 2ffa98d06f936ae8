// Command andesmetra prints the configuration of Andesmetra Rail Analytics: agents that draft rail grinding schedules
// and answer track engineers while a campaign is revised.
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
	c := operator.New().FailureDomains("peru-sur", "sur-a", "sur-b", "sur-c", "sur-d")
	organisations(c)
	classes(c)
	return c.
		Model(operator.Model{Name: "planner-llm", MaxTokens: 2048, Context: 200_000, Timeout: 5 * time.Minute}).
		Service(trackOpsService()).
		ChecksFence("planner-llm-*").
		Limits(operator.Limits{Timeout: 30 * time.Second, IdleTimeout: 10 * time.Minute})
}

// organisations declares Andesmetra itself and the railway whose planners and engineers are its users.
func organisations(c *operator.Configuration) {
	c.Organisation(operator.Organisation{Name: "andesmetra", MaxPrograms: 1_000})
	c.Organisation(operator.Organisation{
		Name:        "ferrovias-del-sur",
		MaxPrograms: 500,
		Budget:      operator.Budget{Calls: 80, Tokens: 800_000},
	})
}

// classes declares the classes of programs. Class "window" has the highest priority: shortly before a maintenance window, a
// train and its crew wait for the result.
func classes(c *operator.Configuration) {
	c.Class(operator.Class{
		Name:        "window",
		Priority:    100,
		Budget:      operator.Budget{Calls: 40, Tokens: 400_000, Time: 20 * time.Minute},
		IdleTimeout: 5 * time.Minute,
	})
	c.Class(operator.Class{
		Name:        "engineer",
		Priority:    80,
		Budget:      operator.Budget{Time: time.Hour},
		IdleTimeout: 10 * time.Minute,
	})
	c.Class(operator.Class{
		Name:        "campaign",
		Priority:    40,
		Budget:      operator.Budget{Calls: 150, Tokens: 2_500_000, Time: 4 * time.Hour},
		IdleTimeout: 30 * time.Minute,
	})
	c.Class(operator.Class{
		Name:        "dispatch",
		Priority:    60,
		Budget:      operator.Budget{Calls: 30, Tokens: 200_000, Time: 8 * time.Hour},
		IdleTimeout: time.Hour,
	})
}

// trackOpsService declares the service for track operations. Work orders and crew dispatches are not idempotent, as they
// must not be issued twice.
func trackOpsService() operator.Service {
	return operator.Service{
		Name:    "track-ops",
		Timeout: 15 * time.Second,
		Actions: []operator.Action{
			operator.Idempotent("GET", "/**").WithRetry(),
			operator.Idempotent("POST", "/schedules/check").WithRetry().WithTimeout(time.Minute),
			operator.Idempotent("PUT", "/schedules/*/draft"),
			operator.NonIdempotent("POST", "/work-orders").WithTimeout(time.Minute),
			operator.NonIdempotent("POST", "/crews/*/dispatch").WithTimeout(time.Minute),
			operator.NonIdempotent("DELETE", "/work-orders/*"),
		},
	}
}
