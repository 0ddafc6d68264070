package graceful

import "encoding/binary"

// Layout of a TLS record: a header whose last two bytes are the length of the rest.
const (
	recordHeaderBytes = 5
	recordLengthAt    = 3
)

// handshake is a TLS handshake of a connection. It lets each read end with the TLS record at
// the latest, so that nothing of a request is read before the handshake is complete.
type handshake struct {
	// header holds the bytes of the current record's header that were read.
	header []byte
	// left is the number of bytes that are left of the current record after its header.
	left int
}

// limit returns the part of a buffer that a read may fill.
func (h *handshake) limit(b []byte) []byte {
	left := h.left
	if len(h.header) < recordHeaderBytes {
		left = recordHeaderBytes - len(h.header)
	}
	return b[:min(left, len(b))]
}

// record takes account of the bytes that a read returned.
func (h *handshake) record(read []byte) {
	if len(h.header) < recordHeaderBytes {
		h.header = append(h.header, read...)
		if len(h.header) == recordHeaderBytes {
			h.left = int(binary.BigEndian.Uint16(h.header[recordLengthAt:]))
		}
	} else {
		h.left -= len(read)
	}
	if len(h.header) == recordHeaderBytes && h.left == 0 {
		h.header = h.header[:0]
	}
}
