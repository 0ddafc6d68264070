package ingress

import (
	"github.com/flamingomount/flamingomount/pkg/control/entries"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// maxFailureEntries is the maximum number of alternative entries listed in a
// residency failure.
const maxFailureEntries = 4

// allowedInRegion reports whether the organisation's data for the service may be
// sent to the region.
func allowedInRegion(service *published.Service, org *published.Organisation, region types.Region) bool {
	if org.Home != "" && org.Home != region {
		return false
	}
	return service.Allows(region)
}

// checkRegion returns a failure if the caller's data for the service may not be
// sent to the local region. The failure lists entries that the caller may use
// instead.
func checkRegion(service *published.Service, caller identity, view *snapshot.Snapshot) *types.Failure {
	if allowedInRegion(service, caller.org, view.Self.Region) {
		return nil
	}
	failure := types.NewFailure(types.NotRun, types.CodeResidency,
		"the data of this service may not be sent to region "+string(view.Self.Region))
	failure.Entries = allowedEntries(service, caller, view)
	return failure
}

// allowedEntries returns the addresses of up to maxFailureEntries entries in
// regions that the caller's data for the service may be sent to.
func allowedEntries(service *published.Service, caller identity, view *snapshot.Snapshot) []types.VMID {
	query := entries.Query{Limit: maxFailureEntries}
	response := listEntries(string(caller.hash), service, caller.org, view, query)
	addresses := make([]types.VMID, len(response.Entries))
	for i, entry := range response.Entries {
		addresses[i] = types.VMID(entry.Address)
	}
	return addresses
}

// checkModelRegions checks data residency before the body is read, when the
// model that the body names is not yet known. If only some of the caller's model
// services may be used in the local region, the caller must name the service in
// a header.
func checkModelRegions(headerService types.ServiceName, caller identity, view *snapshot.Snapshot) *types.Failure {
	if headerService != "" {
		service, failure := caller.service(headerService, published.KindModel, view.Config)
		if failure != nil {
			return failure
		}
		return checkRegion(service, caller, view)
	}
	services := caller.modelServices(view.Config)
	if len(services) == 0 {
		return types.NewFailure(types.NotRun, types.CodeForbidden, "the credential is for no model service")
	}
	refused := 0
	var lastFailure *types.Failure
	for _, service := range services {
		if failure := checkRegion(service, caller, view); failure != nil {
			refused++
			lastFailure = failure
		}
	}
	if refused == 0 || refused == len(services) {
		return lastFailure
	}
	lastFailure.Message = "some services of this credential may not be used in region " + string(view.Self.Region) +
		": name the model in the header " + types.HeaderService
	return lastFailure
}
