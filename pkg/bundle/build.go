package bundle

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Build splits a configuration into blobs and an unsigned manifest. Equal
// configurations produce identical blobs. previous is the hash of the preceding
// manifest; it is empty for the first. Build returns ErrMalformed for revision 0
// and ErrTooLarge if a value exceeds the platform's limit.
func Build(config *published.Configuration, previous Hash) (*Bundle, error) {
	if config.Revision == 0 {
		return nil, fmt.Errorf("%w: revision 0 can't be published", ErrMalformed)
	}
	b := &Bundle{Blobs: map[Hash][]byte{}, Packs: map[Hash][]byte{}}
	core, err := b.add("the core", coreOf(config))
	if err != nil {
		return nil, err
	}
	manifest := Manifest{
		Format: formatVersion, Revision: config.Revision, Previous: previous,
		PublishedAt: config.PublishedAt.UTC(), Core: core, Indexes: make([]Hash, indexCount),
	}
	if err := b.addLeaves(manifest.Indexes, leavesOf(config)); err != nil {
		return nil, err
	}
	data, err := json.Marshal(manifest)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	b.Signed = Signed{Manifest: data}
	return b, checkSize("the manifest", data)
}

func coreOf(c *published.Configuration) Core {
	return Core{
		Regions: c.Regions, Links: c.Links, Services: c.Services, Policy: c.Policy, Placement: c.Placement,
		Administrators: c.Administrators, PlacementRevision: c.PlacementRevision,
	}
}

// add encodes value as JSON, stores it as a blob and returns its hash. The
// encoder sorts map keys, so equal values have equal hashes. label names the
// value in errors.
func (b *Bundle) add(label string, value any) (Hash, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return "", fmt.Errorf("%w: %s: %v", ErrMalformed, label, err)
	}
	if err := checkSize(label, data); err != nil {
		return "", err
	}
	hash := HashOf(data)
	b.Blobs[hash] = data
	return hash, nil
}

func (b *Bundle) addLeaves(indexes []Hash, leaves []Leaf) error {
	for i := range indexes {
		index := Index{Leaves: make([]Hash, leavesPerIndex)}
		nonEmpty := false
		for j := range index.Leaves {
			leaf := leaves[i*leavesPerIndex+j]
			if len(leaf.Orgs) == 0 && len(leaf.Credentials) == 0 {
				continue
			}
			hash, err := b.add(fmt.Sprintf("leaf %d/%d", i, j), leaf)
			if err != nil {
				return err
			}
			index.Leaves[j], nonEmpty = hash, true
		}
		if !nonEmpty {
			continue
		}
		hash, err := b.add(fmt.Sprintf("index %d", i), index)
		if err != nil {
			return err
		}
		indexes[i] = hash
		if err := b.addPack(hash, index); err != nil {
			return err
		}
	}
	return nil
}

func (b *Bundle) addPack(hash Hash, index Index) error {
	pack := Pack{Blobs: []json.RawMessage{b.Blobs[hash]}}
	for _, leaf := range index.Leaves {
		if leaf != "" {
			pack.Blobs = append(pack.Blobs, b.Blobs[leaf])
		}
	}
	data, err := json.Marshal(pack)
	if err != nil {
		return fmt.Errorf("%w: pack: %v", ErrMalformed, err)
	}
	b.Packs[hash] = data
	return checkSize("the pack of index "+string(hash), data)
}

func leavesOf(config *published.Configuration) []Leaf {
	leaves := make([]Leaf, Leaves)
	for name, org := range config.Orgs {
		leaf := &leaves[LeafOf(name)]
		leaf.Orgs = append(leaf.Orgs, org)
	}
	for hash, credential := range config.Credentials {
		leaf := &leaves[LeafOf(credential.Org)]
		leaf.Credentials = append(leaf.Credentials, NamedCredential{Hash: hash, Credential: *credential})
	}
	for i := range leaves {
		slices.SortFunc(leaves[i].Orgs, func(a, b *published.Organisation) int {
			return cmp.Compare(a.Name, b.Name)
		})
		slices.SortFunc(leaves[i].Credentials, func(a, b NamedCredential) int {
			return cmp.Compare(a.Hash, b.Hash)
		})
	}
	return leaves
}

// LeafOf returns the number of the leaf, from 0 to Leaves-1, that holds an
// organisation and its credentials.
func LeafOf(name types.OrgName) int {
	return int(xxhash.Sum64String(string(name)) % Leaves)
}
