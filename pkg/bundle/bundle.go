// Package bundle encodes a configuration as a signed bundle and decodes it.
//
// A bundle is a signed manifest and a two-level tree of content-addressed
// blobs: the manifest lists index blobs by hash, an index lists leaf blobs by
// hash, and a leaf holds the objects whose names hash to its number. Changing
// one object changes one leaf, one index and the manifest, so a daemon fetches
// only a few kilobytes, however many organisations are published.
package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/flamingomount/flamingomount/pkg/platform"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	// ManifestKey is the key of the signed manifest in the configuration
	// service.
	ManifestKey = "manifest"
	// blobKeyPrefix is followed by the blob's hash in the key of a blob.
	blobKeyPrefix = "blob-"
	// packKeyPrefix is followed by the hash of the index in the key of a pack.
	packKeyPrefix = "pack-"
	// formatVersion is the version of the bundle's encoding.
	formatVersion = 1
	// indexCount is the number of indexes in a manifest and leavesPerIndex the
	// number of leaves in an index.
	indexCount     = 32
	leavesPerIndex = 32
	// Leaves is the number of leaves of the tree.
	Leaves = indexCount * leavesPerIndex
)

// Hash is the hex-encoded SHA-256 of a blob or of a manifest.
type Hash string

// HashOf returns the hash of data.
func HashOf(data []byte) Hash {
	sum := sha256.Sum256(data)
	return Hash(hex.EncodeToString(sum[:]))
}

// BlobKey returns the key of a blob in the configuration service.
func BlobKey(hash Hash) string {
	return blobKeyPrefix + string(hash)
}

// PackKey returns the key of the pack of an index in the configuration service.
func PackKey(index Hash) string {
	return packKeyPrefix + string(index)
}

// Pack holds an index blob and all its leaf blobs in one value, so that a reader
// that has none of them fetches them at once.
type Pack struct {
	Blobs []json.RawMessage `json:"blobs"`
}

// ParseKey returns the hash in the key of a blob or pack and whether the key is
// that of a pack. ok is false for any other key.
func ParseKey(key string) (hash Hash, isPack, ok bool) {
	if rest, found := strings.CutPrefix(key, blobKeyPrefix); found {
		return Hash(rest), false, true
	}
	if rest, found := strings.CutPrefix(key, packKeyPrefix); found {
		return Hash(rest), true, true
	}
	return "", false, false
}

// Manifest identifies one complete revision of the configuration by the hashes of
// its core and index blobs.
type Manifest struct {
	Format   int            `json:"format"`
	Revision types.Revision `json:"revision"`
	// Previous is the hash of the preceding manifest; it is empty for the first.
	// It is meant for operators; daemons do not follow it.
	Previous    Hash      `json:"previous,omitempty"`
	PublishedAt time.Time `json:"published_at"`
	// Core is the hash of the blob that holds regions, links, policy, services,
	// placement and administrators.
	Core Hash `json:"core"`
	// Indexes are the hashes of the index blobs of organisations and
	// credentials; an empty hash stands for an index without leaves.
	Indexes []Hash `json:"indexes"`
}

// Core is the part of a configuration that is not distributed over the leaves.
type Core struct {
	Regions   map[types.Region]*published.Region               `json:"regions"`
	Links     []published.Link                                 `json:"links"`
	Services  map[types.ServiceName]*published.Service         `json:"services"`
	Policy    published.Policy                                 `json:"policy"`
	Placement map[types.ServiceName]published.PlacementRequest `json:"placement"`

	Administrators map[published.CredentialHash]*published.Administrator `json:"administrators,omitempty"`

	PlacementRevision types.Revision `json:"placement_revision,omitempty"`
}

// Index lists the hashes of the leaves of one part of the tree; an empty hash
// stands for an empty leaf.
type Index struct {
	Leaves []Hash `json:"leaves"`
}

// Leaf holds the organisations whose names hash to its number, and their
// credentials.
type Leaf struct {
	Orgs        []*published.Organisation `json:"organisations,omitempty"`
	Credentials []NamedCredential         `json:"credentials,omitempty"`
}

// NamedCredential is a credential with the hash of its secret.
type NamedCredential struct {
	Hash published.CredentialHash `json:"hash"`
	published.Credential
}

// Bundle is a manifest, its signatures, every blob of its tree and the packs.
type Bundle struct {
	Signed Signed
	Blobs  map[Hash][]byte
	// Packs holds the encoded Pack of each index, keyed by the index's hash.
	Packs map[Hash][]byte
}

// Values returns all keys and values that the configuration service must store
// for this bundle.
func (b *Bundle) Values() (map[string][]byte, error) {
	manifest, err := json.Marshal(b.Signed)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	values := map[string][]byte{ManifestKey: manifest}
	for hash, data := range b.Blobs {
		values[BlobKey(hash)] = data
	}
	for hash, data := range b.Packs {
		values[PackKey(hash)] = data
	}
	return values, nil
}

// Signed is a manifest with its signatures. Manifest is kept as the exact bytes
// that were signed.
type Signed struct {
	Manifest   json.RawMessage `json:"manifest"`
	Signatures []Signature     `json:"signatures"`
}

// KeyID identifies a signing key.
type KeyID string

// Signature is an ed25519 signature over the manifest's bytes.
type Signature struct {
	Key   KeyID  `json:"key"`
	Value []byte `json:"value"`
}

// Error is the reason for refusing a bundle. Its text is stable.
type Error string

// Error returns the reason.
func (e Error) Error() string { return string(e) }

// The reasons for refusing a bundle.
const (
	ErrNoAcceptedSignature Error = "no signature under an accepted key"
	ErrMalformed           Error = "malformed bundle"
	ErrMissingBlob         Error = "a blob is missing"
	ErrWrongHash           Error = "a blob does not match its hash"
	ErrTooLarge            Error = "a value is over the platform's limit"
)

// checkSize returns ErrTooLarge if data is too large for the configuration
// service to store. label names the value in the error.
func checkSize(label string, data []byte) error {
	if len(data) >= platform.MaxValueBytes {
		return fmt.Errorf("%w: %s has %d bytes of at most %d", ErrTooLarge, label, len(data), platform.MaxValueBytes-1)
	}
	return nil
}
