package fleet

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/flamingomount/flamingomount/pkg/admin"
	"github.com/flamingomount/flamingomount/pkg/admin/adminclient"
	"github.com/flamingomount/flamingomount/pkg/burn"
	"github.com/flamingomount/flamingomount/pkg/usage"
)

func usageCommand() *cobra.Command {
	run := func(ctx context.Context, f *flags, out io.Writer) error {
		fleet, err := f.fleet()
		if err != nil {
			return err
		}
		replies := adminclient.Ask[admin.Usage](ctx, fleet, get("/admin/v1/usage", nil))
		var lists [][]usage.Line
		for _, reply := range replies {
			if reply.Answer != nil {
				lists = append(lists, reply.Answer.Lines)
			}
		}
		if f.output == outputJSON {
			err = writeJSON(out, replies)
		} else {
			err = writeUsage(out, usage.Add(lists...), replies)
		}
		if err == nil && len(lists) == 0 {
			return ErrNoAnswer
		}
		return err
	}
	return newCommand("usage", "Add up use by team, service and rank over all daemons", run)
}

func writeUsage(out io.Writer, lines []usage.Line, replies []adminclient.Reply[admin.Usage]) error {
	w := tabwriter.NewWriter(out, 0, 0, tabPadding, ' ', 0)
	fmt.Fprintln(w, "TEAM\tSERVICE\tRANK\tREQUESTS\tANSWERED\tREFUSED\tSENT AWAY\tATTEMPTS\tTOKENS IN\tTOKENS OUT\tCOST")
	for _, l := range lines {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\n", l.Team, l.Service, l.Rank, l.Requests,
			l.Answered, l.Refused, l.SentAway, l.Attempts, l.InputTokens, l.OutputTokens, l.Cost)
	}
	for _, reply := range replies {
		if reply.Answer != nil {
			fmt.Fprintf(w, "%s counts since %s\n", reply.Address, stamp(reply.Answer.Since))
			continue
		}
		fmt.Fprintf(w, "no answer from %s: %s\n", reply.Address, reply.Error)
	}
	return eris.Wrap(w.Flush(), "write table")
}

func reportCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "report", Short: "Make reports from all daemons"}
	cmd.AddCommand(burnCommand())
	return cmd
}

func burnCommand() *cobra.Command {
	var page string
	run := func(ctx context.Context, f *flags, out io.Writer) error {
		report, err := burnReport(ctx, f)
		if err != nil {
			return err
		}
		if page != "" {
			err = writePage(page, report)
			if err != nil {
				return err
			}
		}
		if f.output == outputJSON {
			err = writeJSON(out, report)
		} else {
			err = burn.WriteText(out, report)
		}
		if err == nil && len(report.Daemons) == 0 {
			return ErrNoAnswer
		}
		return err
	}
	cmd := newCommand("burn", "Report how service-level objectives are kept", run)
	cmd.Flags().StringVar(&page, "html", "", "also write one self-contained HTML page to this file")
	return cmd
}

func burnReport(ctx context.Context, f *flags) (burn.FleetReport, error) {
	fleet, err := f.fleet()
	if err != nil {
		return burn.FleetReport{}, err
	}
	var reports []burn.DaemonReport
	var missing []burn.Unreachable
	for _, reply := range adminclient.Ask[admin.Burn](ctx, fleet, get("/admin/v1/burn", nil)) {
		if reply.Answer == nil {
			missing = append(missing, burn.Unreachable{Address: reply.Address, Reason: reply.Error})
			continue
		}
		reports = append(reports, *reply.Answer)
	}
	return burn.Merge(time.Now(), reports, missing)
}

func writePage(path string, report burn.FleetReport) error {
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "write burn report page")
	}
	err = burn.WriteHTML(file, report)
	closeErr := file.Close()
	if err != nil {
		return err
	}
	return eris.Wrap(closeErr, "write burn report page")
}
