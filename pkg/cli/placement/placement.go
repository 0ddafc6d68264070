// Package placement holds the command that asks a running daemon where a request would go
// now.
package placement

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/flamingomount/flamingomount/pkg/gateway/explain"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	// defaultTimeout bounds the call.
	defaultTimeout = 5 * time.Second
	// maxAnswerBytes bounds the answer.
	maxAnswerBytes = 4 << 20
)

// Exit statuses by outcome; a request that is sent on at once ends with 0, an error with 1.
const (
	exitWaits   = 3
	exitRefused = 4
)

// OutcomeError says that the request would not be sent on at once.
type OutcomeError struct {
	Outcome explain.Outcome
}

// Error implements error.
func (e OutcomeError) Error() string {
	if e.Outcome == explain.Refused {
		return "the request would be refused"
	}
	return "the request would wait"
}

// ExitStatus returns the exit status of the command.
func (e OutcomeError) ExitStatus() int {
	if e.Outcome == explain.Refused {
		return exitRefused
	}
	return exitWaits
}

// options are the flags of the command.
type options struct {
	daemon       string
	parts        []string
	organisation string
	region       string
	question     explain.Question
	json         bool
	timeout      time.Duration
}

// Command returns the explain-route command.
func Command() *cobra.Command {
	o := &options{}
	cmd := &cobra.Command{
		Use:   "explain-route",
		Short: "Explain where a request would go now, without sending it",
		Long: "Asks a running daemon at its metrics address. The daemon answers from its present state and " +
			"sends, reserves, counts and learns nothing. Ends with status 0 if the request would be sent on at " +
			"once, 3 if it would wait, 4 if it would be refused, 1 if there is no answer.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return o.run(cmd.Context(), cmd.OutOrStdout()) },
	}
	flags := cmd.Flags()
	flags.StringVar(&o.daemon, "daemon", "", "metrics address of the daemon, host:port or URL")
	flags.StringVar(&o.question.Host, "host", "", "host of the request")
	flags.StringVar(&o.question.Path, "path", "/", "path of the request")
	flags.StringVar(&o.question.Method, "method", http.MethodPost, "method of the request")
	flags.IntVar(&o.question.PromptTokens, "tokens", 0, "length of the prompt, in tokens")
	flags.IntVar(&o.question.OutputTokens, "output", 0, "longest response, in tokens")
	flags.StringSliceVar(&o.parts, "part", nil, "parts of the prompt in order, each ID:TOKENS; the last one is the request's own")
	flags.StringVar(&o.organisation, "organisation", "", "name of the organisation that calls")
	flags.StringVar(&o.region, "region", "", "region that the daemon must be in; empty means any")
	flags.BoolVar(&o.json, "json", false, "print the answer as JSON")
	flags.DurationVar(&o.timeout, "timeout", defaultTimeout, "time allowed for the answer")
	_ = cmd.MarkFlagRequired("daemon")
	_ = cmd.MarkFlagRequired("host")
	return cmd
}

// run asks and prints the answer.
func (o *options) run(ctx context.Context, out io.Writer) error {
	parts, err := explain.ParseParts(o.parts)
	if err != nil {
		return eris.Wrap(err, "--part")
	}
	o.question.Parts = parts
	o.question.Organisation, o.question.Region = types.OrgName(o.organisation), types.Region(o.region)
	answer, err := o.ask(ctx)
	if err != nil {
		return err
	}
	if o.json {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(answer)
	} else {
		err = writeTable(out, answer)
	}
	if err != nil {
		return eris.Wrap(err, "write the answer")
	}
	if answer.Outcome == explain.Refused || answer.Outcome == explain.Waits {
		return OutcomeError{Outcome: answer.Outcome}
	}
	return nil
}

// ask sends the question.
func (o *options) ask(ctx context.Context) (*explain.Answer, error) {
	base := o.daemon
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(base, "/")+explain.Path+"?"+o.question.Encode().Encode(), nil)
	if err != nil {
		return nil, eris.Wrap(err, "--daemon")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, eris.Errorf("daemon %s can't be reached: %s", o.daemon, err)
	}
	defer func() { _ = resp.Body.Close() }() // it was only read
	body := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes))
	if resp.StatusCode != http.StatusOK {
		return nil, o.problem(resp.StatusCode, body)
	}
	var answer explain.Answer
	if err := body.Decode(&answer); err != nil {
		return nil, eris.Errorf("the answer of %s can't be read: is it the metrics address of a daemon?", o.daemon)
	}
	if answer.API != explain.APIVersion {
		return nil, eris.Errorf("daemon %s answers in version %d, this command reads %d: use the command of the daemon's release", o.daemon, answer.API, explain.APIVersion)
	}
	return &answer, nil
}

// problem converts an answer that is none into an error.
func (o *options) problem(status int, body *json.Decoder) error {
	var problem explain.Problem
	if err := body.Decode(&problem); err != nil || problem.Message == "" {
		if status == http.StatusNotFound {
			return eris.Errorf("daemon %s answers no such questions: it is older than this command, or this is not its metrics address", o.daemon)
		}
		return eris.Errorf("daemon %s answers with status %d", o.daemon, status)
	}
	if problem.Code == types.CodeNotReady {
		return eris.Errorf("daemon %s is still starting: %s", o.daemon, problem.Message)
	}
	return eris.Errorf("daemon %s: %s", o.daemon, problem.Message)
}
