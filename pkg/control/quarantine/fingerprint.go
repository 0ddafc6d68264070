package quarantine

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"

	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Fingerprinter computes keyed fingerprints (truncated HMAC-SHA256) of the
// content of requests. Without the fleet's key, a fingerprint reveals nothing about the
// content, and a guess at the content cannot be checked against it. It is safe for
// concurrent use.
type Fingerprinter struct {
	key []byte
}

// NewFingerprinter returns a fingerprinter for the fleet's key, which has to be the
// same on every daemon of the fleet.
func NewFingerprinter(key []byte) *Fingerprinter {
	return &Fingerprinter{key: append([]byte(nil), key...)}
}

// Of returns the fingerprint of a request as an endpoint would receive it: service,
// method, path and body. It does not depend on the caller or the headers.
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
