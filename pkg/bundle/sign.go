package bundle

import (
	"crypto/ed25519"
	"encoding/json"
	"fmt"
)

// Signer holds one private signing key of the publisher.
type Signer struct {
	ID  KeyID
	Key ed25519.PrivateKey
}

// Keys are the public keys that a daemon accepts, by ID. During a key rotation
// they include both the old and the new key.
type Keys map[KeyID]ed25519.PublicKey

// signingContext precedes the manifest in the signed bytes, so that a signature
// made with the same key for another purpose is not valid for a manifest.
const signingContext = "flamingomount manifest\n"

// Sign returns the manifest with a signature by each signer added. A new
// signature replaces an earlier one with the same key ID.
func Sign(signed Signed, signers ...Signer) Signed {
	result := Signed{Manifest: signed.Manifest}
	replaced := map[KeyID]bool{}
	for _, s := range signers {
		replaced[s.ID] = true
	}
	for _, sig := range signed.Signatures {
		if !replaced[sig.Key] {
			result.Signatures = append(result.Signatures, sig)
		}
	}
	message := signingInput(signed.Manifest)
	for _, s := range signers {
		result.Signatures = append(result.Signatures, Signature{Key: s.ID, Value: ed25519.Sign(s.Key, message)})
	}
	return result
}

// VerifySigned decodes a signed manifest and checks that it has a valid signature
// by at least one accepted key. It returns the manifest and its hash.
func VerifySigned(data []byte, keys Keys) (Manifest, Hash, error) {
	if err := checkSize("the manifest", data); err != nil {
		return Manifest{}, "", err
	}
	var signed Signed
	if err := json.Unmarshal(data, &signed); err != nil {
		return Manifest{}, "", fmt.Errorf("%w: manifest: %v", ErrMalformed, err)
	}
	if !signed.hasAcceptedSignature(keys) {
		return Manifest{}, "", ErrNoAcceptedSignature
	}
	manifest, err := signed.Decode()
	return manifest, HashOf(signed.Manifest), err
}

// Decode decodes the manifest without verifying its signatures.
func (s Signed) Decode() (Manifest, error) {
	var manifest Manifest
	if err := json.Unmarshal(s.Manifest, &manifest); err != nil {
		return manifest, fmt.Errorf("%w: manifest: %v", ErrMalformed, err)
	}
	if manifest.Format != formatVersion || manifest.Revision == 0 || manifest.Core == "" || len(manifest.Indexes) != indexCount {
		return manifest, fmt.Errorf("%w: manifest of format %d, revision %s, %d indexes", ErrMalformed, manifest.Format, manifest.Revision, len(manifest.Indexes))
	}
	return manifest, nil
}

func (s Signed) hasAcceptedSignature(keys Keys) bool {
	message := signingInput(s.Manifest)
	for _, sig := range s.Signatures {
		key, ok := keys[sig.Key]
		if ok && len(key) == ed25519.PublicKeySize && ed25519.Verify(key, message, sig.Value) {
			return true
		}
	}
	return false
}

func signingInput(manifest []byte) []byte {
	return append([]byte(signingContext), manifest...)
}
