package bundle

import (
	"encoding/json"
	"fmt"
)

// FromValues builds a bundle from the values of the configuration service, as
// Values gives them. Each value is checked against the hash in its key; keys of
// other kinds are ignored.
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
		hash, pack, ok := ParseKey(key)
		switch {
		case !ok:
		case pack:
			b.Packs[hash] = data
		case HashOf(data) != hash:
			return nil, fmt.Errorf("%w: %s", ErrWrongHash, key)
		default:
			b.Blobs[hash] = data
		}
	}
	return b, nil
}

// CheckPacks checks that each index of the manifest has a pack with exactly the
// index and its leaves.
func (b *Bundle) CheckPacks(m Manifest) error {
	for _, hash := range m.Indexes {
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
	held := map[Hash]bool{}
	for _, blob := range pack.Blobs {
		held[HashOf(blob)] = true
	}
	for _, needed := range append([]Hash{hash}, index.Leaves...) {
		if needed != "" && !held[needed] {
			return fmt.Errorf("%w: %s in the pack of index %s", ErrMissingBlob, needed, hash)
		}
	}
	return nil
}
