package source

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// defaultPolicy holds the values that files may leave out.
func defaultPolicy() published.Policy {
	return published.Policy{
		PatientFloor: 0.1, RetryBudget: 0.1, LinkShare: 0.5,
		Weights:         published.Weights{Cost: 1, SentAway: 1, UrgentTail: 1, Flood: 1},
		QuarantineAfter: 2, QuarantineFor: 10 * time.Minute, DrainLimit: 2 * time.Minute,
	}
}

func (l *loader) addRegion(file string, entry *regionEntry) {
	name := entry.Name.Value
	if !l.define(file, entry.Name.Line, "regions.name", kindRegion, string(name)) {
		return
	}
	region := &published.Region{Name: name, WeightStore: entry.WeightStore}
	if len(entry.DataCentres) == 0 {
		l.report(file, entry.Name.Line, "regions.data_centres", "region %q has no data centre", name)
	}
	for _, dc := range entry.DataCentres {
		if l.define(file, dc.Line, "regions.data_centres", kindDataCentre, string(dc.Value)) {
			region.DataCentres = append(region.DataCentres, dc.Value)
		}
	}
	l.config.Regions[name] = region
}

func (l *loader) addLink(file string, entry *linkEntry) {
	link := published.Link{From: entry.From.Value, To: entry.To.Value}
	line := entry.From.Line
	l.refer(file, line, "links.from", kindRegion, string(link.From))
	l.refer(file, entry.To.Line, "links.to", kindRegion, string(link.To))
	if link.From == link.To {
		l.report(file, line, "links", "a link must join two different regions")
	}
	low, high := min(link.From, link.To), max(link.From, link.To)
	l.define(file, line, "links", "link", string(low)+" - "+string(high))
	if !entry.OneWay.set() || !entry.BitsPerSecond.set() {
		l.report(file, line, "links", "one_way and bits_per_second must be given")
	}
	positive(l, file, "links.one_way", entry.OneWay, &link.OneWay)
	positive(l, file, "links.bits_per_second", entry.BitsPerSecond, &link.BitsPerSecond)
	l.config.Links = append(l.config.Links, link)
}

func (l *loader) addPolicy(file string, entry *policyEntry) {
	if !l.define(file, 1, "policy", kindPolicy, "of the deployment") {
		return
	}
	p := &l.config.Policy
	l.share(file, "policy.patient_floor", entry.PatientFloor, &p.PatientFloor)
	l.share(file, "policy.retry_budget", entry.RetryBudget, &p.RetryBudget)
	l.share(file, "policy.link_share", entry.LinkShare, &p.LinkShare)
	positive(l, file, "policy.weights.cost", entry.Weights.Cost, &p.Weights.Cost)
	positive(l, file, "policy.weights.sent_away", entry.Weights.SentAway, &p.Weights.SentAway)
	positive(l, file, "policy.weights.urgent_tail", entry.Weights.UrgentTail, &p.Weights.UrgentTail)
	positive(l, file, "policy.weights.flood", entry.Weights.Flood, &p.Weights.Flood)
	positive(l, file, "policy.quarantine_after", entry.QuarantineAfter, &p.QuarantineAfter)
	positive(l, file, "policy.quarantine_for", entry.QuarantineFor, &p.QuarantineFor)
	positive(l, file, "policy.drain_limit", entry.DrainLimit, &p.DrainLimit)
	positive(l, file, "policy.weight_store_bytes_per_second", entry.WeightStoreBytesPerSecond, &p.WeightStoreBytesPerSecond)
}

// sha256HexLength is the length of a SHA-256 in hex.
const sha256HexLength = 64

func (l *loader) addOrg(file string, entry *orgEntry) {
	name := entry.Name.Value
	if !l.define(file, entry.Name.Line, "organisations.name", kindOrg, string(name)) {
		return
	}
	org := &published.Organisation{Name: name, Share: 1, Home: entry.Home.Value}
	positive(l, file, "organisations.share", entry.Share, &org.Share)
	if entry.Home.set() {
		l.refer(file, entry.Home.Line, "organisations.home", kindRegion, string(org.Home))
	}
	for i := range entry.Credentials {
		l.addCredential(file, name, entry.Name.Line, &entry.Credentials[i])
	}
	l.config.Orgs[name] = org
}

func (l *loader) addCredential(file string, org types.OrgName, orgLine int, entry *credentialEntry) {
	line := entry.SHA256.Line
	if line == 0 {
		line = orgLine
	}
	if !isSHA256(entry.SHA256.Value) {
		l.report(file, line, "organisations.credentials.sha256", "must be the SHA-256 of the credential, as %d lower-case hex digits", sha256HexLength)
		return
	}
	if !l.define(file, line, "organisations.credentials.sha256", kindCredential, entry.SHA256.Value) {
		return
	}
	credential := &published.Credential{Org: org, MaxRank: types.RankPatient}
	if entry.MaxRank.set() {
		credential.MaxRank = entry.MaxRank.Value
	}
	if len(entry.Services) == 0 {
		l.report(file, line, "organisations.credentials.services", "the credential names no service")
	}
	for _, service := range entry.Services {
		l.refer(file, service.Line, "organisations.credentials.services", kindService, string(service.Value))
		credential.Services = append(credential.Services, service.Value)
	}
	l.config.Credentials[published.CredentialHash(entry.SHA256.Value)] = credential
}

func isSHA256(text string) bool {
	if len(text) != sha256HexLength {
		return false
	}
	for _, c := range text {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

func (l *loader) addAdministrator(file string, entry *administratorEntry) {
	const prefix = "administrators."
	line := entry.Name.Line
	if !isSHA256(entry.SHA256.Value) {
		l.report(file, max(line, entry.SHA256.Line), prefix+"sha256", "must be the SHA-256 of the credential, as %d lower-case hex digits", sha256HexLength)
		return
	}
	if !l.define(file, entry.SHA256.Line, prefix+"sha256", kindCredential, entry.SHA256.Value) {
		return
	}
	if entry.Name.Value == "" {
		l.report(file, line, prefix+"name", "must not be empty")
	}
	switch entry.Role.Value {
	case published.RoleOperator:
		if entry.Team.set() {
			l.report(file, entry.Team.Line, prefix+"team", "an operator belongs to no team")
		}
	case published.RoleTeam:
		if entry.Team.Value == "" {
			l.report(file, line, prefix+"team", "must name the team that the administrator belongs to")
		}
	default:
		l.report(file, max(line, entry.Role.Line), prefix+"role", "is %q; it must be %q or %q", entry.Role.Value, published.RoleOperator, published.RoleTeam)
	}
	l.config.Administrators[published.CredentialHash(entry.SHA256.Value)] = &published.Administrator{
		Name: entry.Name.Value, Role: entry.Role.Value, Team: entry.Team.Value,
	}
}
