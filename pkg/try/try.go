// Package try shows the whole path in one process on loopback: daemons in two
// regions before stand-ins, three kinds of request, a crashed endpoint and a
// stopped daemon. It prints where each request went, why and with which verdict,
// and checks every promise that it shows.
package try

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/standin/deployment"
	"github.com/flamingomount/flamingomount/pkg/standin/engine"
)

const (
	// drainNotice is short, so that the trial is.
	drainNotice = 500 * time.Millisecond
	// requestsAfterCrash is how many questions follow the crash.
	requestsAfterCrash = 10
	urgentTokens       = 24
	reportTokens       = 600
)

// ErrBroken is returned when a promise did not hold.
var ErrBroken = eris.New("a promise did not hold")

// trial is one run and what it found.
type trial struct {
	out    io.Writer
	all    *deployment.Deployment
	broken int
}

// Run runs the trial and prints it to out. It returns ErrBroken when a promise
// did not hold, and any other error when the trial could not run.
func Run(ctx context.Context, out io.Writer) error {
	t := &trial{out: out}
	if err := t.start(ctx); err != nil {
		return err
	}
	defer t.all.Close()
	steps := []func(context.Context) error{t.question, t.report, t.order, t.crash, t.drain}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	if t.broken > 0 {
		t.say("\n%d promises did not hold.", t.broken)
		return ErrBroken
	}
	t.say("\nEvery promise shown here held.")
	return nil
}

func (t *trial) say(format string, args ...any) {
	fmt.Fprintf(t.out, format+"\n", args...)
}

// check prints whether a promise held.
func (t *trial) check(held bool, promise string) {
	mark := "ok"
	if !held {
		mark = "BROKEN"
		t.broken++
	}
	t.say("  %-6s %s", mark, promise)
}

func (t *trial) start(ctx context.Context) error {
	t.say("Starting three daemons in two regions, four engines and two order workers on loopback.")
	all, err := deployment.Start(deployment.Plan{
		Config:      deployment.Config(1, "kathmandu", "pokhara"),
		Model:       deployment.Model,
		Orders:      deployment.Orders,
		Engine:      engine.Options{CanResume: true},
		DrainNotice: drainNotice,
		Regions: []deployment.RegionPlan{
			{Region: "kathmandu", Daemons: 2, Engines: 2, Workers: 1},
			{Region: "pokhara", Daemons: 1, Engines: 2, Workers: 1},
		},
	})
	if err != nil {
		return err
	}
	t.all = all
	if err := all.WaitReady(ctx); err != nil {
		all.Close()
		return err
	}
	for _, entry := range all.Entries() {
		view := entry.Load()
		t.say("  entry %s in %s: revision %s, sees %d other daemons", entry.Self().CallerAddress,
			entry.Self().Region, view.Config.Revision, len(view.Members))
	}
	return nil
}

func (t *trial) question(ctx context.Context) error {
	t.say("\nAn urgent question, streamed:")
	got, err := ask(ctx, t.all.Entries()[0], asked{content: "Which grade for a fish pond?", rank: "urgent", tokens: urgentTokens, stream: true})
	if err != nil {
		return err
	}
	t.tell(got)
	t.check(got.whole(), "the caller received its own whole answer")
	return nil
}

func (t *trial) report(ctx context.Context) error {
	t.say("\nA long patient report:")
	got, err := ask(ctx, t.all.Entries()[0], asked{content: "Draft a quotation from this survey.", rank: "patient", tokens: reportTokens})
	if err != nil {
		return err
	}
	t.tell(got)
	t.check(got.whole(), "the caller received its own whole answer")
	return nil
}

func (t *trial) tell(got answer) {
	if got.status != http.StatusOK {
		t.say("  status %d: %s", got.status, got.body)
		return
	}
	verdict := got.verdict
	if got.asked.stream {
		verdict = "in the stream's end"
	}
	t.say("  answered by %s with status %d, verdict %s, in %s (first byte after %s)",
		got.servedBy, got.status, verdict, got.took.Round(time.Millisecond), got.first.Round(time.Millisecond))
}

func (t *trial) order(ctx context.Context) error {
	t.say("\nAn order, sent twice as a caller does that lost the first answer:")
	ticket, err := fetchTicket(ctx, t.all.Entries()[0])
	if err != nil {
		return err
	}
	first, err := sendOrder(ctx, t.all.Entries()[0], ticket)
	if err != nil {
		return err
	}
	second, err := sendOrder(ctx, t.all.Entries()[1], ticket)
	if err != nil {
		return err
	}
	t.tell(first)
	t.tell(second)
	runs := 0
	for _, worker := range t.all.Workers {
		runs += worker.Runs(ticket)
	}
	t.check(runs == 1, fmt.Sprintf("the order ran once (%d)", runs))
	t.check(first.status == 200 && second.body == first.body, "the resend to another entry got the first answer again")
	return nil
}

func (t *trial) crash(ctx context.Context) error {
	t.say("\nEngine kathmandu-engine-1 crashes; nobody is told:")
	t.all.CrashEndpoint("kathmandu-engine-1")
	whole := 0
	var slowest time.Duration
	for i := range requestsAfterCrash {
		got, err := ask(ctx, t.all.Entries()[0], asked{content: fmt.Sprintf("Question %d", i), rank: "urgent", tokens: urgentTokens, stream: true})
		if err != nil {
			return err
		}
		if got.whole() {
			whole++
		}
		slowest = max(slowest, got.took)
	}
	t.say("  %d of %d questions answered, the slowest in %s", whole, requestsAfterCrash, slowest.Round(time.Millisecond))
	t.check(whole == requestsAfterCrash, "no question was lost")
	for _, endpoint := range t.all.Entries()[0].Load().Endpoints[deployment.Model] {
		if endpoint.ID == "kathmandu-engine-1" {
			t.say("  the entry now holds it as %s: %s", endpoint.State, endpoint.Reason)
		}
	}
	return nil
}

// drain stops a daemon while it streams an answer.
func (t *trial) drain(ctx context.Context) error {
	entries := t.all.Entries()
	leaving, staying := entries[0], entries[1]
	t.say("\nEntry %s is told to stop while it streams an answer:", leaving.Self().CallerAddress)
	stream, err := open(ctx, leaving, asked{content: "Draft another quotation.", rank: "patient", tokens: reportTokens, stream: true})
	if err != nil {
		return err
	}
	var stopping conc.WaitGroup
	var stopErr error
	stopping.Go(func() { stopErr = leaving.Stop() })
	got, err := stream.read()
	stopping.Wait()
	if err != nil {
		return err
	}
	t.tell(got)
	t.check(got.whole(), "the stream in flight was finished")
	t.check(stopErr == nil, "the daemon ended by itself, without an error")
	listed, err := fetchEntries(ctx, staying)
	if err != nil {
		return err
	}
	t.check(!slices.Contains(listed, leaving.Self().CallerAddress), "the other entry no longer names it to callers")
	t.all.RemoveEntry(leaving)
	again, err := ask(ctx, staying, asked{content: "Still there?", rank: "urgent", tokens: urgentTokens, stream: true})
	if err != nil {
		return err
	}
	t.check(again.whole(), "the other entry serves the caller")
	return nil
}
