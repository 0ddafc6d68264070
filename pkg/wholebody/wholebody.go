// Package wholebody reads HTTP bodies that count as a whole or not at all. A JSON document
// can be complete although its body is not: what follows was cut off, or has no end.
package wholebody

import (
	"encoding/json"
	"errors"
	"io"
)

// ErrTooLarge means that a body has more bytes than are read.
var ErrTooLarge = errors.New("the body is too large")

// Read reads a body to its end. It returns ErrTooLarge, and reads no further, if the body has
// more than limit bytes.
func Read(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, ErrTooLarge
	}
	return data, nil
}

// DecodeJSON reads a body to its end, as Read does, and decodes the JSON document that it is.
func DecodeJSON(body io.Reader, limit int64, into any) error {
	data, err := Read(body, limit)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}
