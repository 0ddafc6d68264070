package bundle

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Tree holds the encoded and decoded blobs of one accepted configuration, so that
// only the changed blobs of the next one are decoded. The zero value is an empty
// tree. Open does not modify the Tree; it returns a new one.
type Tree struct {
	cores   map[Hash]*Core
	indexes map[Hash]*Index
	leaves  map[Hash]*Leaf
	raw     map[Hash][]byte
}

// Blob returns the encoded blob with the given hash and whether the tree holds it.
func (t *Tree) Blob(hash Hash) ([]byte, bool) {
	data, ok := t.raw[hash]
	return data, ok
}

// MissingBlob identifies a blob to be fetched.
type MissingBlob struct {
	Hash Hash
	// Index is true for an index blob. A reader that has none of its leaves
	// fetches the pack of the index, which holds them all in one value.
	Index bool
}

// RetainedBlobs returns the fetched blobs that the tree holds, sorted by hash.
func (t *Tree) RetainedBlobs(fetched map[Hash][]byte) [][]byte {
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

// Missing lists the blobs to fetch next for the manifest: those that are neither
// in the tree nor in fetched. The leaves of an index are known only once the
// index has been fetched, so the caller repeats the call until the list is
// empty. Missing returns an error if a fetched index blob does not match its
// hash or is not a valid index.
func (t *Tree) Missing(manifest Manifest, fetched map[Hash][]byte) ([]MissingBlob, error) {
	var missing []MissingBlob
	holds := func(hash Hash) bool {
		_, inTree := t.raw[hash]
		_, isFetched := fetched[hash]
		return inTree || isFetched
	}
	if !holds(manifest.Core) {
		missing = append(missing, MissingBlob{Hash: manifest.Core})
	}
	for _, hash := range manifest.Indexes {
		if hash == "" {
			continue
		}
		if !holds(hash) {
			missing = append(missing, MissingBlob{Hash: hash, Index: true})
			continue
		}
		if t.indexes[hash] != nil {
			continue // the tree holds an index only together with its leaves
		}
		index, err := t.index(hash, fetched)
		if err != nil {
			return nil, err
		}
		for _, leaf := range index.Leaves {
			if leaf != "" && !holds(leaf) {
				missing = append(missing, MissingBlob{Hash: leaf})
			}
		}
	}
	return missing, nil
}

// Open builds the configuration of a manifest from the tree and the fetched
// blobs, and the Tree that holds its blobs. If any blob is missing or invalid,
// it returns an error and no configuration.
func (t *Tree) Open(manifest Manifest, manifestHash Hash, fetched map[Hash][]byte) (*published.Configuration, *Tree, error) {
	next := &Tree{
		cores: map[Hash]*Core{}, indexes: map[Hash]*Index{},
		leaves: map[Hash]*Leaf{}, raw: map[Hash][]byte{},
	}
	core, err := decode(t.cores, t.raw, fetched, manifest.Core)
	if err != nil {
		return nil, nil, err
	}
	next.cores[manifest.Core] = core
	next.retainBlob(t, fetched, manifest.Core)
	config := &published.Configuration{
		Revision: manifest.Revision, Hash: string(manifestHash), PublishedAt: manifest.PublishedAt,
		Regions: core.Regions, Links: core.Links, Services: core.Services,
		Policy: core.Policy, Placement: core.Placement,
		Administrators: core.Administrators, PlacementRevision: core.PlacementRevision,
		Orgs:        make(map[types.OrgName]*published.Organisation, len(t.leaves)),
		Credentials: make(map[published.CredentialHash]*published.Credential, len(t.leaves)),
	}
	for _, hash := range manifest.Indexes {
		if hash == "" {
			continue
		}
		if err := next.openIndex(t, hash, fetched, config); err != nil {
			return nil, nil, err
		}
	}
	return config, next, nil
}

func (t *Tree) openIndex(old *Tree, hash Hash, fetched map[Hash][]byte, config *published.Configuration) error {
	index, err := old.index(hash, fetched)
	if err != nil {
		return err
	}
	t.indexes[hash] = index
	t.retainBlob(old, fetched, hash)
	for _, leafHash := range index.Leaves {
		if leafHash == "" {
			continue
		}
		leaf, err := decode(old.leaves, old.raw, fetched, leafHash)
		if err != nil {
			return err
		}
		t.leaves[leafHash] = leaf
		t.retainBlob(old, fetched, leafHash)
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

func (t *Tree) index(hash Hash, fetched map[Hash][]byte) (*Index, error) {
	return decode(t.indexes, t.raw, fetched, hash)
}

func (t *Tree) retainBlob(old *Tree, fetched map[Hash][]byte, hash Hash) {
	if data, ok := old.raw[hash]; ok {
		t.raw[hash] = data
		return
	}
	t.raw[hash] = fetched[hash]
}

// decode returns the blob from decoded if it is there. Otherwise it takes the
// encoded blob from fetched or else from raw, checks its hash and decodes it.
func decode[T any](decoded map[Hash]*T, raw, fetched map[Hash][]byte, hash Hash) (*T, error) {
	if value := decoded[hash]; value != nil {
		return value, nil
	}
	data, ok := fetched[hash]
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

// OpenAll verifies the signature of a bundle and the hash of every blob in its
// tree and returns its configuration.
func OpenAll(b *Bundle, keys Keys) (*published.Configuration, error) {
	data, err := json.Marshal(b.Signed)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	manifest, hash, err := VerifySigned(data, keys)
	if err != nil {
		return nil, err
	}
	config, _, err := (&Tree{}).Open(manifest, hash, b.Blobs)
	return config, err
}

// OpenUnchecked returns the configuration of a bundle without verifying its
// signatures. Only the publishing side may use it.
func (b *Bundle) OpenUnchecked() (*published.Configuration, error) {
	manifest, err := b.Signed.Decode()
	if err != nil {
		return nil, err
	}
	config, _, err := (&Tree{}).Open(manifest, HashOf(b.Signed.Manifest), b.Blobs)
	return config, err
}
