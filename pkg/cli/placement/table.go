package placement

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/flamingomount/flamingomount/pkg/gateway/explain"
)

// writeTable prints an answer for people.
func writeTable(out io.Writer, a *explain.Answer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(name, format string, values ...any) {
		fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, values...))
	}
	line("outcome", "%s", outcomeText(a))
	line("reason", "%s", a.Reason)
	line("asked", "daemon %s in %s, configuration %d, revision %d", a.Daemon, a.SelfRegion, a.ConfigVersion, a.Revision)
	if a.Route != "" {
		line("route", "%s to service %s, rank %d", a.Route, a.Service, a.Rank)
	}
	if a.Organisation != "" {
		line("organisation", "%s", a.Organisation)
	}
	if a.QuotaCost > 0 {
		line("quota", "takes %.0f units, the daemon has %.0f", a.QuotaCost, a.QuotaCredit)
	}
	if a.Home != "" {
		line("home", "%s", a.Home)
	}
	if a.Outcome == explain.Waits {
		line("wait", "%d ms predicted, at most %d ms, %d ahead", a.PredictedWaitMs, a.MaxWaitMs, a.Ahead)
	}
	writeRegions(w, a.Regions)
	writeEndpoints(w, a)
	return w.Flush()
}

func outcomeText(a *explain.Answer) string {
	switch a.Outcome {
	case explain.ToEndpoint:
		return "endpoint " + string(a.Endpoint)
	case explain.ToDaemon:
		return "daemon " + string(a.NextDaemon)
	case explain.ToRegion:
		return "another region"
	case explain.Refused:
		return fmt.Sprintf("refused: %s, again in %d ms", a.Code, a.RetryAfterMs)
	}
	return string(a.Outcome)
}

func writeRegions(w io.Writer, regions []explain.Region) {
	if len(regions) == 0 {
		return
	}
	fmt.Fprintln(w, "\nREGION\tDAEMONS\tFREE\tRESPONSE\tSENT FOR IT\tCANDIDATE\tDROPPED")
	for _, region := range regions {
		fmt.Fprintf(w, "%s\t%d\t%.2f\t%d ms\t%.2f\t%t\t%s\n", region.Region, region.Daemons, region.FreeShare, region.ResponseMs, region.SoonerShare, region.Candidate, region.Dropped)
	}
}

func writeEndpoints(w io.Writer, a *explain.Answer) {
	if len(a.Endpoints) == 0 {
		return
	}
	fmt.Fprintln(w, "\nENDPOINT\tDATA CENTRE\tIN FLIGHT\tLIMIT\tBACKLOG\tFIRST EVENT\tSCORE\tPARTS OR WHY NOT")
	for _, ep := range a.Endpoints {
		note := ep.Dropped
		if note == "" {
			note = partsText(ep.Parts)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d ms\t%.3f\t%s\n", ep.ID, ep.DataCentre, ep.InFlight, ep.Limit, ep.BacklogTokens, ep.FirstEventMs, ep.Score, note)
	}
	if a.EndpointsLeftOut > 0 {
		fmt.Fprintf(w, "and %d others\n", a.EndpointsLeftOut)
	}
}

// partsText lists the parts of a score that can be seen in it.
func partsText(parts []explain.Score) string {
	const least = 0.0005
	var texts []string
	for _, part := range parts {
		if part.Seconds >= least {
			texts = append(texts, fmt.Sprintf("%s %.3f", part.Name, part.Seconds))
		}
	}
	return strings.Join(texts, ", ")
}
