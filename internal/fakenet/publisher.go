package fakenet

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/bundle"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const manifestKey = bundle.ManifestKey

// Publisher makes signed bundles of a growing revision.
type Publisher struct {
	signer   bundle.Signer
	config   *published.Configuration
	previous bundle.Hash
	count    int
	names    []types.OrgName
}

// minOrganisations is published when the options ask for fewer.
const minOrganisations = 4

// testSigner returns a signing key made of the seed.
func testSigner(seed uint64) bundle.Signer {
	material := make([]byte, ed25519.SeedSize)
	binary.LittleEndian.PutUint64(material, seed)
	return bundle.Signer{ID: "test", Key: ed25519.NewKeyFromSeed(material)}
}

func publicKey(s bundle.Signer) ed25519.PublicKey {
	return s.Key.Public().(ed25519.PublicKey)
}

// NewPublisher returns a publisher of so many organisations.
func NewPublisher(seed uint64, organisations int, layout []Place) *Publisher {
	return newPublisher(testSigner(seed), Options{Organisations: organisations, Layout: layout})
}

func newPublisher(signer bundle.Signer, opts Options) *Publisher {
	config := Configuration(max(opts.Organisations, minOrganisations), opts.Thinning, opts.Layout)
	return &Publisher{signer: signer, config: config, names: slices.Sorted(maps.Keys(config.Orgs))}
}

// Keys returns the publisher's public key.
func (p *Publisher) Keys() bundle.Keys {
	return bundle.Keys{p.signer.ID: publicKey(p.signer)}
}

// Configuration returns a configuration of revision 0 with so many organisations
// with one credential each, seven model services and the layout's regions. With
// a thinning above 1 it keeps only the organisations of every so-manieth leaf:
// the leaves that are left have their full size.
func Configuration(organisations, thinning int, layout []Place) *published.Configuration {
	config := &published.Configuration{
		PublishedAt: epoch,
		Regions:     map[types.Region]*published.Region{}, Services: map[types.ServiceName]*published.Service{},
		Orgs: map[types.OrgName]*published.Organisation{}, Credentials: map[published.CredentialHash]*published.Credential{},
		Placement: map[types.ServiceName]published.PlacementRequest{},
	}
	var regions []types.Region
	for _, place := range layout {
		if config.Regions[place.Region] == nil {
			config.Regions[place.Region] = &published.Region{Name: place.Region, DataCentres: []types.DataCentre{place.DataCentre}}
			regions = append(regions, place.Region)
		}
	}
	var services []types.ServiceName
	for i := range 7 {
		name := types.ServiceName(fmt.Sprintf("model-%d", i))
		services = append(services, name)
		config.Services[name] = &published.Service{
			Name: name, Team: "assistants", Kind: published.KindModel, Versions: []types.ModelVersion{"2026-10"},
			Regions: regions, Deadlines: [types.RankCount]time.Duration{10 * time.Second, 10 * time.Minute}, MaxBodyBytes: 4 << 20,
		}
	}
	for i := range organisations {
		org := &published.Organisation{Name: types.OrgName(fmt.Sprintf("organisation-%05d", i)), Share: 1}
		if bundle.LeafOf(org.Name)%max(thinning, 1) != 0 {
			continue
		}
		config.Orgs[org.Name] = org
		sum := sha256.Sum256([]byte(org.Name))
		config.Credentials[published.CredentialHash(hex.EncodeToString(sum[:]))] = &published.Credential{Org: org.Name, Services: services[:2]}
	}
	return config
}

// Next returns the next revision and its values; one organisation differs.
func (p *Publisher) Next() (types.Revision, map[string][]byte) {
	p.change()
	p.config.Revision++
	return p.config.Revision, p.values()
}

// conflict returns the values of the present revision with another content.
func (p *Publisher) conflict() map[string][]byte {
	p.change()
	return p.values()
}

// change gives one organisation another share.
func (p *Publisher) change() {
	p.count++
	name := p.names[p.count%len(p.names)]
	changed := *p.config.Orgs[name]
	changed.Share = float64(p.count)
	config := *p.config
	config.Orgs = maps.Clone(config.Orgs)
	config.Orgs[name] = &changed
	p.config = &config
}

func (p *Publisher) values() map[string][]byte {
	built, err := bundle.Build(p.config, p.previous)
	if err != nil {
		panic(err) // the fixed configuration always fits
	}
	built.Signed = bundle.Sign(built.Signed, p.signer)
	p.previous = bundle.HashOf(built.Signed.Manifest)
	values, err := built.Values()
	if err != nil {
		panic(err)
	}
	return values
}
