package scenario

import (
	"fmt"
	"time"

	"github.com/flamingomount/flamingomount/internal/fakeworld"
	"github.com/flamingomount/flamingomount/pkg/route/pipeline"
	"github.com/flamingomount/flamingomount/pkg/stage/pick"
)

// pickSlacks are the tolerances of near-best that are compared.
var pickSlacks = [...]time.Duration{time.Microsecond, 20 * time.Millisecond, pick.DefaultSlack, 150 * time.Millisecond}

var picking = Scenario{
	Name:  "picking",
	About: "policies that pick among scored endpoints, 21 daemons with reports 1 s late",
	Run: func(seed uint64) []Row {
		config := offered(seed, peakUrgent, peakPatient)
		config.Regions[0].Daemons = 21
		config.ReportDelay = time.Second
		rows := []Row{pickRow("two choices", config, twoChoices{})}
		for _, slack := range pickSlacks {
			rows = append(rows, pickRow(fmt.Sprintf("near best, %v", slack), config, pick.NearBest{Slack: slack}))
		}
		return append(rows, run("naive", config, fakeworld.Naive(), nil))
	},
}

func pickRow(variant string, config fakeworld.Config, policy pick.Policy) Row {
	return run(variant, config, fakeworld.RealWith(pipeline.Options{Policy: policy}), nil)
}
