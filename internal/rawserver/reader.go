package rawserver

import (
	"fmt"
)

// maxSent bounds what is sent of an answer without an end: the largest answer that a reader
// takes, and the buffers of the connection.
const maxSent = 64 << 20

// CheckReader returns an error if a reader takes a broken answer, on a new connection or on
// one that was kept. The function newReader returns a reader of the server; the reader reads
// once and reports whether it took the answer.
func CheckReader(whole, broken Answer, newReader func(address string) (read func() bool)) error {
	for _, kept := range []bool{false, true} {
		if err := checkReader(kept, whole, broken, newReader); err != nil {
			return fmt.Errorf("on a kept connection %t: %w", kept, err)
		}
	}
	return nil
}

func checkReader(kept bool, whole, broken Answer, newReader func(address string) (read func() bool)) error {
	server, err := Start(broken)
	if err != nil {
		return err
	}
	defer server.Stop()
	read := newReader(server.Addr())
	if kept {
		server.Set(whole)
		if !read() {
			return fmt.Errorf("the whole answer was not taken")
		}
		server.Set(broken)
	}
	switch taken := read(); {
	case taken:
		return fmt.Errorf("the answer was taken")
	case server.Kept() != kept:
		return fmt.Errorf("the connection was kept: %t", server.Kept())
	case server.Sent() > maxSent:
		return fmt.Errorf("%d bytes were read", server.Sent())
	}
	server.Set(whole)
	if !read() {
		return fmt.Errorf("the whole answer after it was not taken")
	}
	return nil
}
