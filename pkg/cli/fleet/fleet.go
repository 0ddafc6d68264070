// Package fleet holds the commands that ask running daemons: status, members,
// endpoints, queues, quarantine, orders, explain, validate, usage and report.
// Each asks several daemons at once and marks those that did not answer.
package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/flamingomount/flamingomount/pkg/admin/adminclient"
)

// CredentialEnv names the environment variable that holds the administrator's
// credential.
const CredentialEnv = "FLAMINGOMOUNT_CREDENTIAL"

const (
	outputText = "text"
	outputJSON = "json"
	tabPadding = 2
)

// flags are the flags that every command of the package has.
type flags struct {
	daemons        []string
	credentialFile string
	output         string
	timeout        time.Duration
}

// Commands returns the commands of the package.
func Commands() []*cobra.Command {
	return []*cobra.Command{
		statusCommand(),
		membersCommand(),
		endpointsCommand(),
		queuesCommand(),
		quarantineCommand(),
		ordersCommand(),
		explainCommand(),
		validateCommand(),
		usageCommand(),
		reportCommand(),
	}
}

// newCommand returns a command with the common flags.
func newCommand(use, short string, run func(ctx context.Context, f *flags, out io.Writer) error) *cobra.Command {
	f := &flags{}
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if f.output != outputText && f.output != outputJSON {
				return eris.Errorf("--output: got %q, want %q or %q", f.output, outputText, outputJSON)
			}
			return run(cmd.Context(), f, cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringSliceVar(&f.daemons, "daemon", nil, "administration address of a daemon, host:port or URL; may be given several times")
	cmd.Flags().StringVar(&f.credentialFile, "credential-file", "", "file with the administrator's credential; default: the variable "+CredentialEnv)
	cmd.Flags().StringVar(&f.output, "output", outputText, "text or json")
	cmd.Flags().DurationVar(&f.timeout, "timeout", adminclient.DefaultTimeout, "time allowed for each daemon")
	_ = cmd.MarkFlagRequired("daemon")
	return cmd
}

func (f *flags) fleet() (adminclient.Fleet, error) {
	credential := os.Getenv(CredentialEnv)
	if f.credentialFile != "" {
		data, err := os.ReadFile(f.credentialFile)
		if err != nil {
			return adminclient.Fleet{}, eris.Wrap(err, "read credential")
		}
		credential = strings.TrimSpace(string(data))
	}
	if credential == "" {
		return adminclient.Fleet{}, eris.Errorf("no credential: set %s or --credential-file", CredentialEnv)
	}
	fleet := adminclient.Fleet{Credential: credential, Timeout: f.timeout}
	for _, daemon := range f.daemons {
		if !strings.Contains(daemon, "://") {
			daemon = "http://" + daemon
		}
		fleet.Addresses = append(fleet.Addresses, strings.TrimSuffix(daemon, "/"))
	}
	return fleet, nil
}

// ErrNoAnswer is returned when no daemon answered at all.
var ErrNoAnswer = eris.New("no daemon answered")

// ask asks every daemon and writes the replies: as JSON, or as a table whose
// rows write adds for each answer. It returns ErrNoAnswer when none answered.
func ask[T any](ctx context.Context, f *flags, out io.Writer, call adminclient.Call, head string, write func(w io.Writer, address string, answer *T)) error {
	fleet, err := f.fleet()
	if err != nil {
		return err
	}
	replies := adminclient.Ask[T](ctx, fleet, call)
	if f.output == outputJSON {
		err = writeJSON(out, replies)
	} else {
		err = writeTable(out, replies, head, write)
	}
	if err != nil {
		return err
	}
	for _, reply := range replies {
		if reply.Answer != nil {
			return nil
		}
	}
	return ErrNoAnswer
}

func writeTable[T any](out io.Writer, replies []adminclient.Reply[T], head string, write func(w io.Writer, address string, answer *T)) error {
	w := tabwriter.NewWriter(out, 0, 0, tabPadding, ' ', 0)
	fmt.Fprintln(w, head)
	for _, reply := range replies {
		if reply.Answer != nil {
			write(w, reply.Address, reply.Answer)
		}
	}
	err := w.Flush()
	if err != nil {
		return eris.Wrap(err, "write table")
	}
	for _, reply := range replies {
		if reply.Answer == nil {
			fmt.Fprintf(out, "no answer from %s: %s\n", reply.Address, reply.Error)
		}
	}
	return nil
}

func writeJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(value), "write JSON")
}

func get(path string, query url.Values) adminclient.Call {
	return adminclient.Call{Method: http.MethodGet, Path: path, Query: query}
}
