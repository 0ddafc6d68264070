package control

import (
	"github.com/sirupsen/logrus"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/crashes"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// logChanges logs the changes between two snapshots, one line per change.
func logChanges(log logrus.FieldLogger, before, after *Snapshot) {
	if before == nil {
		return
	}
	if before.View != after.View {
		logConfig(log, before.View, after.View)
		logEndpoints(log, before.View, after.View)
		logEvacuations(log, before.View, after.View)
	}
	logMembers(log, before.Members, after.Members)
	logWithheld(log, before.Withheld, after.Withheld)
}

func logWithheld(log logrus.FieldLogger, before, after map[crashes.Trait]crashes.Verdict) {
	for trait, verdict := range after {
		if _, found := before[trait]; !found {
			fields := logrus.Fields{
				"withheld": trait.String(), "crashes": verdict.Crashes, "since": verdict.Since, "retry_at": verdict.RetryAt,
			}
			if len(verdict.With) > 0 {
				fields["together_with"] = verdict.With.Names()
			}
			log.WithFields(fields).Warn("requests withheld: what they share crashed several endpoints")
		}
	}
	for trait := range before {
		if _, found := after[trait]; !found {
			log.WithField("withheld", trait.String()).Info("requests no longer withheld")
		}
	}
}

func logConfig(log logrus.FieldLogger, before, after *catalog.View) {
	if after.Config == nil || before.Config == after.Config {
		return
	}
	log.WithFields(logrus.Fields{
		"version": after.Config.Version, "routes": len(after.Config.Routes), "revision": after.AppliedRevision, "era": after.Era,
	}).Info("configuration in force")
}

// maxLoggedKeys bounds the keys in a log line.
const maxLoggedKeys = 32

func firstKeys(keys []string) []string {
	return keys[:min(len(keys), maxLoggedKeys)]
}

// logRestoration logs that the store came back from a copy, once for each era.
func (c *Control) logRestoration() {
	restored := c.state.ConsumeRestoration()
	if restored == nil {
		return
	}
	c.opts.Log.WithFields(logrus.Fields{
		"era": restored.To.Era, "revision": restored.To.Revision, "version": restored.Version,
		"known_era": restored.From.Era, "known_revision": restored.From.Revision, "known_version": restored.InForce,
		"missing": firstKeys(restored.Missing), "missing_count": len(restored.Missing),
		"left": firstKeys(restored.Left), "left_count": len(restored.Left),
	}).Warn("the store came back from a copy")
}

// logDropped logs what a restored store lacks and nobody has written again.
func logDropped(log logrus.FieldLogger, keys []string) {
	if len(keys) > 0 {
		log.WithFields(logrus.Fields{"keys": firstKeys(keys), "count": len(keys)}).
			Warn("items that the restored store lacks were not written again and are dropped")
	}
}

// logFullRead logs what a full read of the store holds beside what is known. A read
// below the known revision changes nothing.
func logFullRead(log logrus.FieldLogger, records []catalog.Record, base catalog.Position, known *catalog.View) {
	fields := logrus.Fields{
		"era": base.Era, "revision": base.Revision, "records": len(records),
		"known_era": known.Era, "known_revision": known.AppliedRevision,
	}
	for _, record := range records {
		if record.Config != nil {
			fields["version"], fields["config_revision"] = record.Config.Version, record.Revision
		}
	}
	if known.Config != nil {
		fields["known_version"] = known.Config.Version
	}
	log.WithFields(fields).Info("all records of the store were read")
}

func logEndpoints(log logrus.FieldLogger, before, after *catalog.View) {
	previous, current := endpointsOf(before), endpointsOf(after)
	for id, endpoint := range current {
		if old, found := previous[id]; found && !old.ColdUntil.Equal(endpoint.ColdUntil) {
			log.WithFields(logrus.Fields{
				"endpoint": id, "cold_until": endpoint.ColdUntil, "cold": endpoint.Cold.String(), "revision": after.AppliedRevision,
			}).Info("endpoint's cold time changed")
		}
		if _, found := previous[id]; !found {
			log.WithFields(logrus.Fields{
				"endpoint": id, "service": endpoint.Service, "address": endpoint.Address, "data_centre": endpoint.DataCentre,
				"cold_until": endpoint.ColdUntil, "revision": after.AppliedRevision,
			}).Info("endpoint takes requests")
		}
	}
	for id, endpoint := range previous {
		if _, found := current[id]; !found {
			log.WithFields(logrus.Fields{
				"endpoint": id, "service": endpoint.Service, "revision": after.AppliedRevision,
			}).Info("endpoint takes no more requests")
		}
	}
}

func endpointsOf(view *catalog.View) map[types.EndpointID]catalog.ActiveEndpoint {
	byID := make(map[types.EndpointID]catalog.ActiveEndpoint)
	for _, endpoints := range view.Endpoints {
		for _, endpoint := range endpoints {
			byID[endpoint.ID] = endpoint
		}
	}
	return byID
}

func logEvacuations(log logrus.FieldLogger, before, after *catalog.View) {
	for dc := range after.Evacuated {
		if !before.Evacuated[dc] {
			log.WithField("data_centre", dc).Warn("data centre is being evacuated")
		}
	}
	for dc := range before.Evacuated {
		if !after.Evacuated[dc] {
			log.WithField("data_centre", dc).Info("data centre was taken back")
		}
	}
}

func logMembers(log logrus.FieldLogger, before, after []members.Member) {
	previous := make(map[types.VMID]members.Member, len(before))
	for _, member := range before {
		previous[member.VM] = member
	}
	for _, member := range after {
		if old, found := previous[member.VM]; !found || old.State != member.State || old.Incarnation != member.Incarnation {
			log.WithFields(logrus.Fields{"member": member.VM, "state": member.State, "region": member.Region}).Info("daemon seen")
		}
		delete(previous, member.VM)
	}
	for vm := range previous {
		log.WithField("member", vm).Warn("daemon lost: no heartbeat in time")
	}
}
