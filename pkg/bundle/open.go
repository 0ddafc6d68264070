package bundle

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Tree holds the decoded blobs of one accepted configuration, so that the next
// one decodes only what changed. The zero value holds none. A Tree is not
// changed by Open; it returns a new one.
type Tree struct {
	cores   map[Hash]*Core
	indexes map[Hash]*Index
	leaves  map[Hash]*Leaf
	raw     map[Hash][]byte
}

// Blob returns the encoded blob that an accepted configuration holds.
func (t *Tree) Blob(hash Hash) ([]byte, bool) {
	data, ok := t.raw[hash]
	return data, ok
}

// Need names a blob that has to be fetched.
type Need struct {
	Hash Hash
	// Index is true for an index blob. A reader that holds none of its leaves
	// reads the pack of the index, which holds them all in one value.
	Index bool
}

// Added returns those of the fetched blobs that the tree holds.
func (t *Tree) Added(fetched map[Hash][]byte) [][]byte {
	var added [][]byte
	for _, hash := range slices.Sorted(maps.Keys(fetched)) {
		if _, ok := t.raw[hash]; ok {
			added = append(added, fetched[hash])
		}
	}
	return added
}

// Empty reports whether the tree holds no configuration.
func (t *Tree) Empty() bool { return len(t.raw) == 0 }

// Missing lists the blobs that the manifest needs next and that neither the
// tree nor have holds. Leaves are known only once their index is there, so it
// is asked again until it returns none. An error means that a blob is not what
// its place in the tree says.
func (t *Tree) Missing(m Manifest, have map[Hash][]byte) ([]Need, error) {
	var missing []Need
	holds := func(hash Hash) bool {
		_, inTree := t.raw[hash]
		_, fetched := have[hash]
		return inTree || fetched
	}
	if !holds(m.Core) {
		missing = append(missing, Need{Hash: m.Core})
	}
	for _, hash := range m.Indexes {
		if hash == "" {
			continue
		}
		if !holds(hash) {
			missing = append(missing, Need{Hash: hash, Index: true})
			continue
		}
		if t.indexes[hash] != nil {
			continue // the tree holds an index only together with its leaves
		}
		index, err := t.index(hash, have)
		if err != nil {
			return nil, err
		}
		for _, leaf := range index.Leaves {
			if leaf != "" && !holds(leaf) {
				missing = append(missing, Need{Hash: leaf})
			}
		}
	}
	return missing, nil
}

// Open builds the configuration of a manifest from the tree and the fetched
// blobs, whole or not at all.
func (t *Tree) Open(m Manifest, manifestHash Hash, have map[Hash][]byte) (*published.Configuration, *Tree, error) {
	next := &Tree{
		cores: map[Hash]*Core{}, indexes: map[Hash]*Index{},
		leaves: map[Hash]*Leaf{}, raw: map[Hash][]byte{},
	}
	core, err := decode(t.cores, t.raw, have, m.Core)
	if err != nil {
		return nil, nil, err
	}
	next.cores[m.Core] = core
	next.keep(t, have, m.Core)
	config := &published.Configuration{
		Revision: m.Revision, Hash: string(manifestHash), PublishedAt: m.PublishedAt,
		Regions: core.Regions, Links: core.Links, Services: core.Services,
		Policy: core.Policy, Placement: core.Placement,
		Administrators: core.Administrators, PlacementRevision: core.PlacementRevision,
		Orgs:        make(map[types.OrgName]*published.Organisation, len(t.leaves)),
		Credentials: make(map[published.CredentialHash]*published.Credential, len(t.leaves)),
	}
	for _, hash := range m.Indexes {
		if hash == "" {
			continue
		}
		if err := next.openIndex(t, hash, have, config); err != nil {
			return nil, nil, err
		}
	}
	return config, next, nil
}

func (t *Tree) openIndex(old *Tree, hash Hash, have map[Hash][]byte, config *published.Configuration) error {
	index, err := old.index(hash, have)
	if err != nil {
		return err
	}
	t.indexes[hash] = index
	t.keep(old, have, hash)
	for _, leafHash := range index.Leaves {
		if leafHash == "" {
			continue
		}
		leaf, err := decode(old.leaves, old.raw, have, leafHash)
		if err != nil {
			return err
		}
		t.leaves[leafHash] = leaf
		t.keep(old, have, leafHash)
		leaf.addTo(config)
	}
	return nil
}

func (l *Leaf) addTo(config *published.Configuration) {
	for _, org := range l.Orgs {
		config.Orgs[org.Name] = org
	}
	for i := range l.Credentials {
		config.Credentials[l.Credentials[i].Hash] = &l.Credentials[i].Credential
	}
}

func (t *Tree) index(hash Hash, have map[Hash][]byte) (*Index, error) {
	return decode(t.indexes, t.raw, have, hash)
}

func (t *Tree) keep(old *Tree, have map[Hash][]byte, hash Hash) {
	if data, ok := old.raw[hash]; ok {
		t.raw[hash] = data
		return
	}
	t.raw[hash] = have[hash]
}

// decode returns a blob from the decoded ones or decodes and checks it.
func decode[T any](done map[Hash]*T, raw, have map[Hash][]byte, hash Hash) (*T, error) {
	if value := done[hash]; value != nil {
		return value, nil
	}
	data, ok := have[hash]
	if !ok {
		data, ok = raw[hash]
	}
	if !ok {
		return nil, fmt.Errorf("%w: %s", ErrMissingBlob, hash)
	}
	if HashOf(data) != hash {
		return nil, fmt.Errorf("%w: %s", ErrWrongHash, hash)
	}
	value := new(T)
	if err := json.Unmarshal(data, value); err != nil {
		return nil, fmt.Errorf("%w: blob %s: %v", ErrMalformed, hash, err)
	}
	return value, nil
}

// OpenAll checks the signature and every blob of a whole bundle and returns its
// configuration.
func OpenAll(b *Bundle, keys Keys) (*published.Configuration, error) {
	data, err := json.Marshal(b.Signed)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	_, manifest, hash, err := VerifySigned(data, keys)
	if err != nil {
		return nil, err
	}
	config, _, err := (&Tree{}).Open(manifest, hash, b.Blobs)
	return config, err
}

// OpenUnchecked returns the configuration of a bundle without checking its
// signatures. It is for the publishing side only.
func (b *Bundle) OpenUnchecked() (*published.Configuration, error) {
	manifest, err := b.Signed.Decode()
	if err != nil {
		return nil, err
	}
	config, _, err := (&Tree{}).Open(manifest, HashOf(b.Signed.Manifest), b.Blobs)
	return config, err
}
