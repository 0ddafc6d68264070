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

// Keys are the public keys that a daemon accepts. While keys are rotated it
// holds the old and the new one.
type Keys map[KeyID]ed25519.PublicKey

// signingContext separates these signatures from any other use of the key.
const signingContext = "flamingomount manifest\n"

// Sign adds a signature of each signer to the manifest and replaces an earlier
// signature under the same key ID.
func Sign(signed Signed, signers ...Signer) Signed {
	out := Signed{Manifest: signed.Manifest}
	replaced := map[KeyID]bool{}
	for _, s := range signers {
		replaced[s.ID] = true
	}
	for _, sig := range signed.Signatures {
		if !replaced[sig.Key] {
			out.Signatures = append(out.Signatures, sig)
		}
	}
	text := signedText(signed.Manifest)
	for _, s := range signers {
		out.Signatures = append(out.Signatures, Signature{Key: s.ID, Value: ed25519.Sign(s.Key, text)})
	}
	return out
}

// VerifySigned decodes a signed manifest and checks that at least one accepted
// key signed it. It returns the manifest, its hash and its decoded form.
func VerifySigned(data []byte, keys Keys) (Signed, Manifest, Hash, error) {
	if err := checkSize("the manifest", data); err != nil {
		return Signed{}, Manifest{}, "", err
	}
	var signed Signed
	if err := json.Unmarshal(data, &signed); err != nil {
		return Signed{}, Manifest{}, "", fmt.Errorf("%w: manifest: %v", ErrMalformed, err)
	}
	if !signed.acceptedBy(keys) {
		return Signed{}, Manifest{}, "", ErrNoAcceptedSignature
	}
	manifest, err := signed.Decode()
	return signed, manifest, HashOf(signed.Manifest), err
}

// Decode reads the manifest without checking a signature.
func (s Signed) Decode() (Manifest, error) {
	var m Manifest
	if err := json.Unmarshal(s.Manifest, &m); err != nil {
		return m, fmt.Errorf("%w: manifest: %v", ErrMalformed, err)
	}
	if m.Format != format || m.Revision == 0 || m.Core == "" || len(m.Indexes) != indexCount {
		return m, fmt.Errorf("%w: manifest of format %d, revision %s, %d indexes", ErrMalformed, m.Format, m.Revision, len(m.Indexes))
	}
	return m, nil
}

func (s Signed) acceptedBy(keys Keys) bool {
	text := signedText(s.Manifest)
	for _, sig := range s.Signatures {
		key, ok := keys[sig.Key]
		if ok && len(key) == ed25519.PublicKeySize && ed25519.Verify(key, text, sig.Value) {
			return true
		}
	}
	return false
}

func signedText(manifest []byte) []byte {
	return append([]byte(signingContext), manifest...)
}
