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
	// idBytes is how much of the public key's SHA-256 makes its ID.
	idBytes = 8
)

// IDOf returns the ID of a public key.
func IDOf(key ed25519.PublicKey) bundle.KeyID {
	sum := sha256.Sum256(key)
	return bundle.KeyID(hex.EncodeToString(sum[:idBytes]))
}

// Generate draws a new key pair from random and returns both in PEM.
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

// ParseSigner reads a private key.
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
	return bundle.Signer{ID: IDOf(public), Key: key}, nil
}

// ParseKeys reads any number of public keys from PEM blocks that follow each
// other. At least one is needed.
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
		keys[IDOf(key)] = key
	}
	if len(keys) == 0 {
		return nil, fmt.Errorf("no PEM block %q", publicType)
	}
	return keys, nil
}

// Setting returns a public key in the form of the daemons' settings: the key's
// bytes in base64. The PEM must hold exactly one key.
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
