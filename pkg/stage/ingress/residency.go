package ingress

import (
	"github.com/flamingomount/flamingomount/pkg/control/entries"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// maxNamedEntries bounds the entries named in a refusal.
const maxNamedEntries = 4

// mayEnter reports whether the organisation's data for the service may be in
// the region.
func mayEnter(service *published.Service, org *published.Organisation, region types.Region) bool {
	if org.Home != "" && org.Home != region {
		return false
	}
	return service.Allows(region)
}

// checkRegion refuses a request for a service whose data may not be here.
func checkRegion(service *published.Service, who identity, view *snapshot.Snapshot) *types.Failure {
	if mayEnter(service, who.org, view.Self.Region) {
		return nil
	}
	failure := types.NewFailure(types.NotRun, types.CodeResidency,
		"the data of this service may not be sent to region "+string(view.Self.Region))
	failure.Entries = entriesFor(service, who, view)
	return failure
}

// entriesFor names entries of regions that the service may use.
func entriesFor(service *published.Service, who identity, view *snapshot.Snapshot) []types.VMID {
	query := entries.Query{Limit: maxNamedEntries}
	answer := listEntries(string(who.hash), service, who.org, view, query)
	named := make([]types.VMID, len(answer.Entries))
	for i, entry := range answer.Entries {
		named[i] = types.VMID(entry.Address)
	}
	return named
}

// checkModelRegions decides before the body, which names the model, is read.
// When the caller's services differ in their regions, the caller must name the
// service in a header field.
func checkModelRegions(named types.ServiceName, who identity, view *snapshot.Snapshot) *types.Failure {
	if named != "" {
		service, failure := who.service(named, published.KindModel, view.Config)
		if failure != nil {
			return failure
		}
		return checkRegion(service, who, view)
	}
	services := who.modelServices(view.Config)
	if len(services) == 0 {
		return types.NewFailure(types.NotRun, types.CodeForbidden, "the credential is for no model service")
	}
	refused := 0
	var last *types.Failure
	for _, service := range services {
		if failure := checkRegion(service, who, view); failure != nil {
			refused++
			last = failure
		}
	}
	if refused == 0 || refused == len(services) {
		return last
	}
	last.Message = "some services of this credential may not be used in region " + string(view.Self.Region) +
		": name the model in the header " + types.HeaderService
	return last
}
