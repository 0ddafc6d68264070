package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/flamingomount/flamingomount/pkg/admin"
	"github.com/flamingomount/flamingomount/pkg/admin/adminclient"
	"github.com/flamingomount/flamingomount/pkg/bundle/bundledir"
)

func statusCommand() *cobra.Command {
	run := func(ctx context.Context, f *flags, out io.Writer) error {
		const head = "DAEMON\tREGION\tREADY\tREVISION\tFROM\tSINCE\tDRAINING\tIN FLIGHT\tNOTE"
		return ask(ctx, f, out, get("/admin/v1/status", nil), head, func(w io.Writer, address string, s *admin.Status) {
			note := s.NotReady
			if s.Config.Refused != "" {
				note += " refused: " + s.Config.Refused
			}
			fmt.Fprintf(w, "%s\t%s\t%t\t%s\t%s\t%s\t%t\t%d\t%s\n", address, s.Self.Region, s.Ready,
				s.Config.Revision, s.Config.Origin, stamp(s.Started), s.Drain.Draining, s.Drain.InFlight, note)
		})
	}
	return newCommand("status", "Show each daemon's state and its configuration", run)
}

func membersCommand() *cobra.Command {
	run := func(ctx context.Context, f *flags, out io.Writer) error {
		const head = "SEEN BY\tMEMBER\tREGION\tDATA CENTRE\tSTATE\tREVISION\tHEARD"
		return ask(ctx, f, out, get("/admin/v1/members", nil), head, func(w io.Writer, address string, answer *admin.Members) {
			for _, m := range answer.Members {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", address, m.Incarnation.VM, m.Region,
					m.DataCentre, m.State, m.Revision, stamp(m.HeardAt))
			}
		})
	}
	return newCommand("members", "Show the other daemons as each daemon sees them", run)
}

func endpointsCommand() *cobra.Command {
	var service string
	run := func(ctx context.Context, f *flags, out io.Writer) error {
		const head = "SEEN BY\tENDPOINT\tSERVICE\tVERSION\tREGION\tSTATE\tIN FLIGHT\tLIMIT\tRUNNING\tQUEUED\tREASON"
		query := url.Values{}
		if service != "" {
			query.Set("service", service)
		}
		return ask(ctx, f, out, get("/admin/v1/endpoints", query), head, func(w io.Writer, address string, answer *admin.Endpoints) {
			for _, e := range answer.Endpoints {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n", address, e.ID, e.Service, e.Version,
					e.Region, e.State, e.InFlight, e.Limit, e.Running, e.Queued, e.Reason)
			}
		})
	}
	cmd := newCommand("endpoints", "Show endpoints with the reason for each state", run)
	cmd.Flags().StringVar(&service, "service", "", "only this service")
	return cmd
}

func explainCommand() *cobra.Command {
	var service, organisation, rank, version string
	var tokens int
	run := func(ctx context.Context, f *flags, out io.Writer) error {
		query := url.Values{}
		query.Set("service", service)
		query.Set("organisation", organisation)
		query.Set("rank", rank)
		query.Set("version", version)
		query.Set("tokens", strconv.Itoa(tokens))
		const head = "DAEMON\tSTAGE\tNAME\tENDPOINT\tDROPPED\tSCORE\tREASON"
		return ask(ctx, f, out, get("/admin/v1/explain", query), head, writeExplanation)
	}
	cmd := newCommand("explain", "Explain where a request would go now", run)
	cmd.Flags().StringVar(&service, "service", "", "service name")
	cmd.Flags().StringVar(&organisation, "organisation", "", "organisation name")
	cmd.Flags().StringVar(&rank, "rank", "urgent", "urgent or patient")
	cmd.Flags().StringVar(&version, "version", "", "model version; empty means any")
	cmd.Flags().IntVar(&tokens, "tokens", 100, "length of the prompt, in tokens")
	_ = cmd.MarkFlagRequired("service")
	return cmd
}

func writeExplanation(w io.Writer, address string, answer *admin.Explanation) {
	for _, step := range answer.Steps {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%t\t%.3f\t%s\n", address, step.Stage, step.Name, step.Endpoint,
			step.Dropped, step.Score, step.Reason)
	}
	choice := string(answer.Chosen)
	if answer.Region != "" {
		choice = "region " + string(answer.Region)
	}
	if answer.Code != "" {
		choice = "refused: " + string(answer.Code)
	}
	fmt.Fprintf(w, "%s\tchoice\t\t%s\t\t\t%s\n", address, choice, answer.Reason)
}

func validateCommand() *cobra.Command {
	var dir string
	run := func(ctx context.Context, f *flags, out io.Writer) error {
		values, err := bundledir.ReadValues(dir)
		if err != nil {
			return err
		}
		body, err := json.Marshal(admin.BundleUpload{Values: values})
		if err != nil {
			return eris.Wrap(err, "encode bundle")
		}
		valid := true
		call := adminclient.Call{Method: http.MethodPost, Path: "/admin/v1/validate", Body: body}
		err = ask(ctx, f, out, call, "DAEMON\tVALID\tREVISION\tPROBLEM", func(w io.Writer, address string, v *admin.Validation) {
			valid = valid && v.Valid
			fmt.Fprintf(w, "%s\t%t\t%s\t\n", address, v.Valid, v.Revision)
			for _, problem := range v.Problems {
				fmt.Fprintf(w, "%s\t\t\t%s\n", address, problem)
			}
		})
		if err == nil && !valid {
			return eris.New("the bundle is not valid")
		}
		return err
	}
	cmd := newCommand("validate", "Ask daemons whether they would accept a bundle", run)
	cmd.Flags().StringVar(&dir, "bundle", "", "directory of the bundle")
	_ = cmd.MarkFlagRequired("bundle")
	return cmd
}

func stamp(at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return at.UTC().Format(time.RFC3339)
}
