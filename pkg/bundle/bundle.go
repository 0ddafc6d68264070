// Package bundle turns operators' service files into a signed bundle and back.
//
// A bundle is a signed manifest and a two-level tree of content-addressed
// blobs: the manifest names index blobs by hash, an index names leaf blobs, and
// a leaf holds the objects whose names hash into it. A change of one object
// changes one leaf, one index and the manifest, so that a daemon fetches a few
// kilobytes for it, however many organisations are published.
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
	// ManifestKey is the configuration service's key of the signed manifest.
	ManifestKey = "manifest"
	// blobKeyPrefix precedes a blob's hash in its key.
	blobKeyPrefix = "blob-"
	// packKeyPrefix precedes the hash of an index in the key of its pack.
	packKeyPrefix = "pack-"
	// format is the version of the bundle's encoding.
	format = 1
	// indexCount and leavesPerIndex give the tree's width.
	indexCount     = 32
	leavesPerIndex = 32
	// Leaves is the number of leaves of the tree.
	Leaves = indexCount * leavesPerIndex
)

// Hash is the hex SHA-256 of a blob or of a manifest.
type Hash string

// HashOf returns the hash of data.
func HashOf(data []byte) Hash {
	sum := sha256.Sum256(data)
	return Hash(hex.EncodeToString(sum[:]))
}

// BlobKey returns the configuration service's key of a blob.
func BlobKey(hash Hash) string {
	return blobKeyPrefix + string(hash)
}

// PackKey returns the configuration service's key of an index's pack.
func PackKey(index Hash) string {
	return packKeyPrefix + string(index)
}

// Pack is an index blob together with all its leaves, in one value, for readers
// that hold none of them.
type Pack struct {
	Blobs []json.RawMessage `json:"blobs"`
}

// ParseKey returns the hash that a key names and whether it names a pack; false
// for a key of another kind.
func ParseKey(key string) (hash Hash, pack, ok bool) {
	if rest, found := strings.CutPrefix(key, blobKeyPrefix); found {
		return Hash(rest), false, true
	}
	if rest, found := strings.CutPrefix(key, packKeyPrefix); found {
		return Hash(rest), true, true
	}
	return "", false, false
}

// Manifest names one revision of the configuration, whole.
type Manifest struct {
	Format   int            `json:"format"`
	Revision types.Revision `json:"revision"`
	// Previous is the hash of the manifest before this one; empty for the
	// first. It is for operators; daemons do not walk it.
	Previous    Hash      `json:"previous,omitempty"`
	PublishedAt time.Time `json:"published_at"`
	// Core is the blob of regions, links, policy, services, placement and
	// administrators.
	Core Hash `json:"core"`
	// Indexes name the index blobs of organisations and credentials; an empty
	// hash stands for an index with nothing in it.
	Indexes []Hash `json:"indexes"`
}

// Core is the part of a configuration that is not split by name.
type Core struct {
	Regions   map[types.Region]*published.Region               `json:"regions"`
	Links     []published.Link                                 `json:"links"`
	Services  map[types.ServiceName]*published.Service         `json:"services"`
	Policy    published.Policy                                 `json:"policy"`
	Placement map[types.ServiceName]published.PlacementRequest `json:"placement"`

	Administrators map[published.CredentialHash]*published.Administrator `json:"administrators,omitempty"`

	PlacementRevision types.Revision `json:"placement_revision,omitempty"`
}

// Index names the leaves of one part of the name space; an empty hash stands
// for an empty leaf.
type Index struct {
	Leaves []Hash `json:"leaves"`
}

// Leaf holds the organisations and credentials whose names hash into it.
type Leaf struct {
	Orgs        []*published.Organisation `json:"organisations,omitempty"`
	Credentials []NamedCredential         `json:"credentials,omitempty"`
}

// NamedCredential is a credential under the hash of its secret.
type NamedCredential struct {
	Hash published.CredentialHash `json:"hash"`
	published.Credential
}

// Bundle is a manifest, its signatures and every blob it names.
type Bundle struct {
	Signed Signed
	Blobs  map[Hash][]byte
	// Packs holds one encoded Pack for each index.
	Packs map[Hash][]byte
}

// Values returns every key and value that the configuration service has to
// hold for this bundle.
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

// KeyID names a signing key.
type KeyID string

// Signature is an ed25519 signature over the manifest's bytes.
type Signature struct {
	Key   KeyID  `json:"key"`
	Value []byte `json:"value"`
}

// Error is a stable reason why a bundle is refused.
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

// checkSize refuses values that the configuration service can't hold.
func checkSize(what string, data []byte) error {
	if len(data) >= platform.MaxValueBytes {
		return fmt.Errorf("%w: %s has %d bytes of at most %d", ErrTooLarge, what, len(data), platform.MaxValueBytes-1)
	}
	return nil
}
