package proxy

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// repeated is an endless source of one text; it counts the bytes that were read.
type repeated struct {
	text string
	read int
}

func (r *repeated) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = r.text[(r.read+i)%len(r.text)]
	}
	r.read += len(b)
	return len(b), nil
}

func eventsOf(data string) []string {
	var events []string
	eachEvent([]byte(data), func(event []byte) { events = append(events, string(event)) })
	return events
}

var _ = ginkgo.Describe("the events of a stream", func() {
	ginkgo.It("are separated by empty lines of either kind", func() {
		gomega.Expect(eventsOf("id: 1\n\nid: 2\r\n\r\nid: 3\ndata: x\n\nid: 4\n")).To(gomega.Equal([]string{"id: 1\n\n", "id: 2\r\n\r\n", "id: 3\ndata: x\n\n"}))
	})

	ginkgo.It("are returned whole, however the stream is cut into reads", func() {
		const stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n\n\nid: 3\n\n"
		for size := 1; size < len(stream); size++ {
			reader := newEventReader(iotestReader{strings.NewReader(stream), size})
			var got bytes.Buffer
			for {
				events, err := reader.next()
				if errors.Is(err, io.EOF) {
					break
				}
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				gomega.Expect(bytes.HasSuffix(events, []byte("\n\n")) || bytes.HasSuffix(events, []byte("\r\n\r\n"))).To(gomega.BeTrue())
				got.Write(events)
			}
			gomega.Expect(got.String()).To(gomega.Equal(stream))
		}
	})

	// Guards against an endpoint that sends empty lines without end, which took the
	// processor from the requests of others.
	for _, line := range []string{"\n", "\r\n"} {
		ginkgo.It(fmt.Sprintf("end with an error in a run of empty lines %q", line), func() {
			source := &repeated{text: line}
			reader := newEventReader(io.LimitReader(source, 4<<20))
			var err error
			for err == nil {
				_, err = reader.next()
			}
			gomega.Expect(err).To(gomega.MatchError(errEventTooLarge))
			gomega.Expect(source.read).To(gomega.BeNumerically("<=", maxEmptyBytes+2*eventReadBytes))
		})
	}

	ginkgo.It("may be far apart and separated by a few empty lines", func() {
		event := "data: x\n\n" + strings.Repeat("\n", maxEmptyBytes/2)
		reader := newEventReader(strings.NewReader(strings.Repeat(event, 20)))
		total := 0
		for {
			events, err := reader.next()
			if err != nil {
				gomega.Expect(err).To(gomega.MatchError(io.EOF))
				break
			}
			total += len(events)
		}
		gomega.Expect(total).To(gomega.BeNumerically(">=", 19*len(event)))
	})
})

// iotestReader returns at most size bytes a read.
type iotestReader struct {
	source io.Reader
	size   int
}

func (r iotestReader) Read(b []byte) (int, error) {
	return r.source.Read(b[:min(len(b), r.size)])
}

func BenchmarkEachEvent(b *testing.B) {
	for _, size := range []int{1 << 10, 64 << 10, 1 << 20} {
		lines := bytes.Repeat([]byte("\n"), size)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			b.SetBytes(int64(size))
			for b.Loop() {
				eachEvent(lines, func([]byte) {})
			}
		})
	}
}
