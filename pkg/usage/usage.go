// Package usage sums the usage of each team's services since the daemon started:
// requests, tokens, requests sent to another region and cost.
package usage

import (
	"cmp"
	"slices"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// tokensPerPrice is the number of tokens to which a published price applies.
const tokensPerPrice = 1000

// Line is the usage of one service by requests of one rank.
type Line struct {
	Team    types.TeamName    `json:"team"`
	Service types.ServiceName `json:"service"`
	Rank    types.Rank        `json:"rank"`
	// Requests counts the requests that passed ingress. Answered counts those
	// whose caller received the complete response, Refused those that were
	// rejected with the statement that they were not run.
	Requests uint64 `json:"requests"`
	Answered uint64 `json:"answered"`
	Refused  uint64 `json:"refused"`
	SentAway uint64 `json:"sent_away"`
	Attempts uint64 `json:"attempts"`
	// InputTokens is an estimate; OutputTokens is counted.
	InputTokens  uint64 `json:"input_tokens"`
	OutputTokens uint64 `json:"output_tokens"`
	// Cost is in the unit of the published price.
	Cost float64 `json:"cost"`
}

type key struct {
	service types.ServiceName
	rank    types.Rank
}

// Book sums outcomes by service and rank. It is not safe for concurrent use.
type Book struct {
	lines map[key]*Line
}

// NewBook returns an empty Book.
func NewBook() *Book {
	return &Book{lines: make(map[key]*Line)}
}

// Record adds the outcome of one request to the service.
func (b *Book) Record(outcome request.Outcome, service *published.Service) {
	k := key{outcome.Service, outcome.Rank}
	line, ok := b.lines[k]
	if !ok {
		line = &Line{Team: outcome.Team, Service: outcome.Service, Rank: outcome.Rank}
		b.lines[k] = line
	}
	line.Requests++
	line.Attempts += uint64(max(outcome.Attempts, 0))
	if outcome.Code == "" {
		line.Answered++
	} else if outcome.Verdict == types.NotRun {
		line.Refused++
	}
	if outcome.SentAway {
		line.SentAway++
	}
	if outcome.Verdict == types.NotRun {
		return
	}
	line.InputTokens += uint64(max(outcome.InputTokens, 0))
	line.OutputTokens += uint64(max(outcome.OutputTokens, 0))
	line.Cost += Cost(outcome, service)
}

// Cost returns the cost of a request in the unit of the published price. It is
// zero for a request that was not run. A service without a price has the price
// 1; the price of a plain service applies to each request.
func Cost(outcome request.Outcome, service *published.Service) float64 {
	if outcome.Verdict == types.NotRun {
		return 0
	}
	price := service.CostPerThousandTokens
	if price == 0 {
		price = 1
	}
	if service.Kind == published.KindPlain {
		return price
	}
	return price * float64(outcome.InputTokens+outcome.OutputTokens) / tokensPerPrice
}

// Lines returns copies of the lines of a team, or of all teams if team is empty,
// sorted by team, service and rank.
func (b *Book) Lines(team types.TeamName) []Line {
	lines := make([]Line, 0, len(b.lines))
	for _, line := range b.lines {
		if team == "" || line.Team == team {
			lines = append(lines, *line)
		}
	}
	Sort(lines)
	return lines
}

// Sort sorts lines in place by team, service and rank.
func Sort(lines []Line) {
	slices.SortFunc(lines, func(x, y Line) int {
		return cmp.Or(
			cmp.Compare(x.Team, y.Team),
			cmp.Compare(x.Service, y.Service),
			cmp.Compare(x.Rank, y.Rank),
		)
	})
}

// Add merges the lines of several daemons: it returns one summed line for each
// service and rank, sorted as by Sort.
func Add(lists ...[]Line) []Line {
	sums := make(map[key]*Line)
	for _, list := range lists {
		for _, line := range list {
			k := key{line.Service, line.Rank}
			sum, ok := sums[k]
			if !ok {
				first := line
				sums[k] = &first
				continue
			}
			sum.add(line)
		}
	}
	lines := make([]Line, 0, len(sums))
	for _, sum := range sums {
		lines = append(lines, *sum)
	}
	Sort(lines)
	return lines
}

func (l *Line) add(other Line) {
	l.Requests += other.Requests
	l.Answered += other.Answered
	l.Refused += other.Refused
	l.SentAway += other.SentAway
	l.Attempts += other.Attempts
	l.InputTokens += other.InputTokens
	l.OutputTokens += other.OutputTokens
	l.Cost += other.Cost
}
