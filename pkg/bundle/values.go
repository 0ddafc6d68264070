package bundle

import (
	"encoding/json"
	"fmt"
	"slices"
)

// FromValues builds a bundle from the values of the configuration service, as
// returned by Values. It checks each blob against the hash in its key, but not
// the packs (see CheckPacks), and ignores unknown keys.
func FromValues(values map[string][]byte) (*Bundle, error) {
	b := &Bundle{Blobs: map[Hash][]byte{}, Packs: map[Hash][]byte{}}
	manifest, ok := values[ManifestKey]
	if !ok {
		return nil, fmt.Errorf("%w: no value %q", ErrMissingBlob, ManifestKey)
	}
	if err := json.Unmarshal(manifest, &b.Signed); err != nil {
		return nil, fmt.Errorf("%w: manifest: %v", ErrMalformed, err)
	}
	for key, data := range values {
		if err := checkSize(key, data); err != nil {
			return nil, err
		}
		hash, isPack, ok := ParseKey(key)
		switch {
		case !ok:
		case isPack:
			b.Packs[hash] = data
		case HashOf(data) != hash:
			return nil, fmt.Errorf("%w: %s", ErrWrongHash, key)
		default:
			b.Blobs[hash] = data
		}
	}
	return b, nil
}

// CheckPacks checks that each index of the manifest has a pack that contains the
// index, all its leaves and nothing else.
func (b *Bundle) CheckPacks(manifest Manifest) error {
	for _, hash := range manifest.Indexes {
		if hash == "" {
			continue
		}
		var pack Pack
		if err := json.Unmarshal(b.Packs[hash], &pack); err != nil {
			return fmt.Errorf("%w: pack of index %s: %v", ErrMalformed, hash, err)
		}
		if err := b.checkPack(hash, pack); err != nil {
			return err
		}
	}
	return nil
}

func (b *Bundle) checkPack(hash Hash, pack Pack) error {
	index, err := decode[Index](nil, nil, b.Blobs, hash)
	if err != nil {
		return err
	}
	needed := append([]Hash{hash}, index.Leaves...)
	packed := map[Hash]bool{}
	for _, blob := range pack.Blobs {
		packedHash := HashOf(blob)
		if !slices.Contains(needed, packedHash) {
			return fmt.Errorf("%w: %s in the pack of index %s, which does not list it", ErrMalformed, packedHash, hash)
		}
		packed[packedHash] = true
	}
	for _, one := range needed {
		if one != "" && !packed[one] {
			return fmt.Errorf("%w: %s in the pack of index %s", ErrMissingBlob, one, hash)
		}
	}
	return nil
}
