// Package keyfile reads and writes the publisher's signing keys: ed25519 keys
// in PEM, private ones as PKCS #8 and public ones as PKIX.
package keyfile

import (
	"crypto/ed25519"
	"crypto/sha256"
	"crypto/x509"
	"encoding/base64"
	"encoding/hex"
	"encoding/pem"
	"fmt"
	"io"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/bundle"
)

const (
	privateType = "PRIVATE KEY"
	publicType  = "PUBLIC KEY"
	// idBytes is the number of leading bytes of the public key's SHA-256 that
	// form its ID.
	idBytes = 8
)

// KeyIDOf returns the ID of a public key: the first 8 bytes of its SHA-256 in hex.
func KeyIDOf(key ed25519.PublicKey) bundle.KeyID {
	sum := sha256.Sum256(key)
	return bundle.KeyID(hex.EncodeToString(sum[:idBytes]))
}

// Generate creates a key pair from the random source and returns both keys in
// PEM.
func Generate(random io.Reader) (private, public []byte, err error) {
	pub, priv, err := ed25519.GenerateKey(random)
	if err != nil {
		return nil, nil, eris.Wrap(err, "generate key")
	}
	privateDER, err := x509.MarshalPKCS8PrivateKey(priv)
	if err != nil {
		return nil, nil, eris.Wrap(err, "encode private key")
	}
	publicDER, err := x509.MarshalPKIXPublicKey(pub)
	if err != nil {
		return nil, nil, eris.Wrap(err, "encode public key")
	}
	private = pem.EncodeToMemory(&pem.Block{Type: privateType, Bytes: privateDER})
	public = pem.EncodeToMemory(&pem.Block{Type: publicType, Bytes: publicDER})
	return private, public, nil
}

// ParseSigner parses a PEM-encoded ed25519 private key. The signer's ID is that
// of the matching public key.
func ParseSigner(data []byte) (bundle.Signer, error) {
	block, _ := pem.Decode(data)
	if block == nil || block.Type != privateType {
		return bundle.Signer{}, eris.Errorf("no PEM block %q", privateType)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return bundle.Signer{}, eris.Wrap(err, "parse private key")
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return bundle.Signer{}, eris.Errorf("the private key is a %T; an ed25519 key is needed", parsed)
	}
	public, ok := key.Public().(ed25519.PublicKey)
	if !ok {
		return bundle.Signer{}, eris.New("the private key has no ed25519 public key")
	}
	return bundle.Signer{ID: KeyIDOf(public), Key: key}, nil
}

// ParseKeys parses one or more public keys from consecutive PEM blocks. It
// returns an error if there are none.
func ParseKeys(data []byte) (bundle.Keys, error) {
	keys := bundle.Keys{}
	for {
		block, rest := pem.Decode(data)
		if block == nil {
			break
		}
		data = rest
		if block.Type != publicType {
			return nil, eris.Errorf("PEM block %q; want %q", block.Type, publicType)
		}
		parsed, err := x509.ParsePKIXPublicKey(block.Bytes)
		if err != nil {
			return nil, eris.Wrap(err, "parse public key")
		}
		key, ok := parsed.(ed25519.PublicKey)
		if !ok {
			return nil, eris.Errorf("the public key is a %T; an ed25519 key is needed", parsed)
		}
		keys[KeyIDOf(key)] = key
	}
	if len(keys) == 0 {
		return nil, fmt.Errorf("no PEM block %q", publicType)
	}
	return keys, nil
}

// Setting converts a public key from PEM to the form used in the daemons'
// settings: the key's bytes in base64. It returns an error unless the PEM holds
// exactly one key.
func Setting(public []byte) (string, error) {
	keys, err := ParseKeys(public)
	if err != nil {
		return "", err
	}
	if len(keys) != 1 {
		return "", eris.Errorf("%d public keys; one is needed", len(keys))
	}
	for _, key := range keys {
		return base64.StdEncoding.EncodeToString(key), nil
	}
	return "", nil
}
