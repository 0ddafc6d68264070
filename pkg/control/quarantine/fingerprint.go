package quarantine

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"

	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Fingerprinter names the content of requests under the fleet's key. Without
// the key a fingerprint tells nothing about the content, not even a guess can
// be checked. It is safe for concurrent use.
type Fingerprinter struct {
	key []byte
}

// NewFingerprinter returns a fingerprinter for the fleet's key; every daemon of
// the fleet needs the same one.
func NewFingerprinter(key []byte) *Fingerprinter {
	return &Fingerprinter{key: append([]byte(nil), key...)}
}

// Of returns the fingerprint of what an endpoint would receive: service, method,
// path and body. The caller and its headers do not change it.
func (f *Fingerprinter) Of(service types.ServiceName, method, urlPath string, body []byte) request.Fingerprint {
	mac := hmac.New(sha256.New, f.key)
	for _, field := range [][]byte{[]byte(service), []byte(method), []byte(urlPath), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		mac.Write(length[:])
		mac.Write(field)
	}
	var fingerprint request.Fingerprint
	copy(fingerprint[:], mac.Sum(nil))
	return fingerprint
}
