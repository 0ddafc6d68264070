// Package usage adds up what each team's services used since the daemon
// started: requests, tokens, share sent to another region and cost.
package usage

import (
	"cmp"
	"slices"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// tokensPerPrice is the number of tokens that a published price is for.
const tokensPerPrice = 1000

// Line is the use of one rank of one service.
type Line struct {
	Team    types.TeamName    `json:"team"`
	Service types.ServiceName `json:"service"`
	Rank    types.Rank        `json:"rank"`
	// Requests counts all that passed ingress; Answered those whose caller
	// received the whole answer; Refused those told that they were not run.
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

// Book adds up lines. It is not safe for concurrent use.
type Book struct {
	lines map[key]*Line
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{lines: make(map[key]*Line)}
}

// Record adds one outcome.
func (b *Book) Record(outcome request.Outcome, service *published.Service) {
	at := key{outcome.Service, outcome.Rank}
	line, ok := b.lines[at]
	if !ok {
		line = &Line{Team: outcome.Team, Service: outcome.Service, Rank: outcome.Rank}
		b.lines[at] = line
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

// Cost returns what a request cost, in the unit of the published price; zero
// for one that was not run.
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

// Lines returns the lines of one team, or of all teams when team is empty, by
// team, service and rank.
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

// Sort orders lines by team, service and rank.
func Sort(lines []Line) {
	slices.SortFunc(lines, func(x, y Line) int {
		return cmp.Or(
			cmp.Compare(x.Team, y.Team),
			cmp.Compare(x.Service, y.Service),
			cmp.Compare(x.Rank, y.Rank),
		)
	})
}

// Add returns the sum of the lines of several daemons.
func Add(lists ...[]Line) []Line {
	sums := make(map[key]*Line)
	for _, list := range lists {
		for _, line := range list {
			at := key{line.Service, line.Rank}
			sum, ok := sums[at]
			if !ok {
				first := line
				sums[at] = &first
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
