package oncehistory

import "time"

// CostCase is one way whose availability is measured.
type CostCase struct {
	Name string
	Way  Way
	// Hold, Bare and Linger are those of Config.
	Hold   time.Duration
	Bare   float64
	Linger time.Duration
}

// CostCases lists the ways that are compared.
func CostCases() []CostCase {
	return []CostCase{
		{Name: "ticket, used at once", Way: WayTicket},
		{Name: "ticket, held up to 10 s", Way: WayTicket, Hold: 10 * time.Second},
		{
			Name: "ticket, held up to 10 s, drain of 1 s", Way: WayTicket,
			Hold: 10 * time.Second, Linger: time.Second,
		},
		{Name: "bare key, ticket from the refusal", Way: WayTicket, Bare: 1},
		{Name: "hash over the VM list, 10 s settling", Way: WayRendezvous},
		{Name: "naive map of each daemon", Way: WayNaive},
	}
}

// costLasts is how long orders are placed, so that the disturbance and its
// end fall inside.
func costLasts(scenario Scenario) time.Duration {
	if scenario == ScenarioRolling {
		return scenarioStart - warmUp + DefaultVMs*rollingGap
	}
	return 2 * time.Minute
}

const (
	costPerSecond = 100
	costResend    = 0.05
	costSteps     = 100_000_000
)

// Cost plays one scenario in one way, without random faults except that one
// caller in twenty resends without need.
func Cost(costCase CostCase, scenario Scenario, seed uint64) Report {
	return Run(Config{
		Seed: seed, Way: costCase.Way, Scenario: scenario, Steps: costSteps, KeepGoing: true,
		Orders: int(costLasts(scenario).Seconds()) * costPerSecond, PerSecond: costPerSecond,
		Faults: Faults{Resend: costResend}, Bare: costCase.Bare, Hold: costCase.Hold, Linger: costCase.Linger,
		Settle: 10 * time.Second, ListLag: 5 * time.Second,
	})
}
