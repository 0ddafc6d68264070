package bodies

import "bytes"

// Memory that the decoded values of a JSON document take, in bytes: for each byte of text, for
// each object, and for each value that a comma ends.
const (
	bytesPerText   = 1
	bytesPerObject = 512
	bytesPerValue  = 64
)

// decodedBytes estimates the memory that the values of a JSON document take once it is decoded.
func decodedBytes(document []byte) int64 {
	objects := bytes.Count(document, []byte{'{'})
	values := bytes.Count(document, []byte{','})
	return int64(len(document)*bytesPerText + objects*bytesPerObject + values*bytesPerValue)
}

// ReserveDecoded reserves the memory of the values that are about to be decoded from the body, a
// JSON document, until the body is released. It returns ErrNoMemory if that is not there: a
// document of many small elements takes far more than its bytes.
func (b *Body) ReserveDecoded() error {
	return b.ReserveDecodedFrom(b.data)
}

// ReserveDecodedFrom is ReserveDecoded for a document that was computed from the body.
func (b *Body) ReserveDecodedFrom(document []byte) error {
	return b.Reserve(decodedBytes(document))
}

// Reserve reserves memory for what is computed from the body, in bytes, until the body is
// released. It returns ErrNoMemory if that is not there.
func (b *Body) Reserve(n int64) error {
	if n == 0 || b.pool == nil {
		return nil
	}
	return b.pool.reserve(b, n)
}
