package relay_test

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/stage/relay"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay")
}

func stream(body string) *http.Response {
	return &http.Response{
		StatusCode: http.StatusOK,
		Header:     http.Header{"Content-Type": {"text/event-stream"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}},
		Body:       io.NopCloser(strings.NewReader(body)),
	}
}

const tokenEvent = `data: {"choices":[{"delta":{"content":"a"}}]}` + "\n\n"

var _ = Describe("Stream", func() {
	relayStream := func(body string) (*httptest.ResponseRecorder, *relay.Caller, relay.Result) {
		recorder := httptest.NewRecorder()
		caller := relay.NewCaller(recorder, "r1", relay.Limits{MaxEventBytes: 1 << 10})
		return recorder, caller, caller.Stream(stream(body), func() {}, func() {})
	}

	It("relays complete events and counts tokens", func() {
		recorder, _, result := relayStream(": hello\n\n" + tokenEvent + tokenEvent + "data: [DONE]\n\n")
		Expect(result).To(Equal(relay.Result{End: relay.EndComplete, Tokens: 2, Resumable: true}))
		Expect(recorder.Body.String()).To(Equal(": hello\n\n" + tokenEvent + tokenEvent + "data: [DONE]\n\n"))
		Expect(recorder.Header()).NotTo(HaveKey("X-Hop"))
	})

	DescribeTable("ends in a truncated response, without any part of an invalid event",
		func(tail string, want error) {
			recorder, caller, result := relayStream(tokenEvent + tail)
			Expect(result.End).To(Equal(relay.EndSource))
			Expect(errors.Is(result.Err, want)).To(BeTrue(), "%v", result.Err)
			Expect(recorder.Body.String()).To(Equal(tokenEvent))
			caller.Fail(types.NewFailure(types.MayHaveRun, types.CodeAnswerIncomplete, "broke"))
			Expect(caller.Broken()).To(BeTrue())
			Expect(recorder.Body.String()).To(ContainSubstring(`"verdict":"may-have-run"`))
			Expect(recorder.Body.String()).NotTo(ContainSubstring("[DONE]"))
		},
		Entry("no terminal event", "", relay.ErrTruncated),
		Entry("a truncated event", `data: {"cho`, relay.ErrTruncated),
		Entry("an event without its end", strings.TrimSuffix(tokenEvent, "\n"), relay.ErrTruncated),
		Entry("a terminal event without its end", "data: [DONE]", relay.ErrTruncated),
		Entry("data that is not JSON", "data: \x00\n\n", relay.ErrInvalidFormat),
		Entry("an event that is too large", "data: "+strings.Repeat("x", 2<<10), relay.ErrEventTooLarge),
		Entry("an engine's error", `data: {"error":{"message":"out of memory"}}`+"\n\n", relay.ErrStreamFailed),
	)

	DescribeTable("reports whether the stream can be resumed after the relayed tokens",
		func(events string, want bool) {
			_, _, result := relayStream(events)
			Expect(result.Resumable).To(Equal(want))
		},
		Entry("tokens after a role", `data: {"choices":[{"delta":{"role":"assistant"}}]}`+"\n\n"+tokenEvent, true),
		Entry("a tool call between tokens", tokenEvent+`data: {"choices":[{"delta":{"tool_calls":[]}}]}`+"\n\n"+tokenEvent, false),
		Entry("two choices", `data: {"choices":[{"delta":{"content":"a"}},{"delta":{"content":"b"}}]}`+"\n\n", false),
		Entry("no token", ": comment\n\n", false),
	)

	It("sends nothing before the first complete event", func() {
		_, caller, result := relayStream(`data: {"choices`)
		Expect(result.End).To(Equal(relay.EndSource))
		Expect(caller.Committed()).To(BeFalse())
	})
})

// deadlineRecorder records the write deadline of a connection.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

// SetWriteDeadline records the deadline.
func (d *deadlineRecorder) SetWriteDeadline(deadline time.Time) error {
	d.deadline = deadline
	return nil
}

var _ = Describe("a failure", func() {
	It("names entries as callers reach them, also inside a stream", func() {
		recorder := httptest.NewRecorder()
		caller := relay.NewCaller(recorder, "r1", relay.Limits{})
		caller.SetEntryTranslator(func(vm types.VMID) types.VMID { return "public-" + vm })
		caller.Stream(stream(tokenEvent), func() {}, func() {})
		failure := types.NewFailure(types.NotRun, types.CodeResidency, "elsewhere")
		failure.Entries = []types.VMID{"a"}
		caller.Fail(failure)
		Expect(recorder.Body.String()).To(ContainSubstring(`"entries":["public-a"]`))
	})

	It("sets its own write deadline", func() {
		past := time.Now().Add(-time.Hour)
		recorder := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder(), deadline: past}
		relay.WriteFailure(recorder, "r1", types.NewFailure(types.NotRun, types.CodeOverloaded, "full"))
		Expect(recorder.deadline).To(BeTemporally(">", past.Add(time.Hour)))
	})

	It("writes nothing more to a caller whose connection failed", func() {
		recorder := httptest.NewRecorder()
		caller := relay.NewCaller(failingWriter{recorder}, "r1", relay.Limits{})
		result := caller.Stream(stream(tokenEvent), func() {}, func() { Fail("no token was sent") })
		Expect(result.End).To(Equal(relay.EndCaller))
		caller.Fail(types.NewFailure(types.MayHaveRun, types.CodeCallerGone, "gone"))
		Expect(recorder.Body.Len()).To(BeZero())
		Expect(caller.Broken()).To(BeTrue())
	})
})

// failingWriter fails every write.
type failingWriter struct {
	*httptest.ResponseRecorder
}

// Write fails.
func (failingWriter) Write([]byte) (int, error) {
	return 0, io.ErrClosedPipe
}

var _ = Describe("BufferResponse", func() {
	newResponse := func(length int64, body io.Reader) *http.Response {
		return &http.Response{StatusCode: 200, ContentLength: length, Header: http.Header{}, Body: io.NopCloser(body)}
	}
	It("refuses a response without length or chunks", func() {
		_, err := relay.BufferResponse(newResponse(-1, strings.NewReader("x")), relay.Limits{}, func() {})
		Expect(errors.Is(err, relay.ErrUndelimited)).To(BeTrue())
	})
	It("refuses a truncated response", func() {
		_, err := relay.BufferResponse(newResponse(9, iotest.ErrReader(io.ErrUnexpectedEOF)), relay.Limits{}, func() {})
		Expect(errors.Is(err, io.ErrUnexpectedEOF)).To(BeTrue())
	})
	It("buffers no more than its limit", func() {
		buffered, err := relay.BufferResponse(newResponse(100, strings.NewReader(strings.Repeat("x", 100))), relay.Limits{MaxBufferedBytes: 10}, func() {})
		Expect(err).NotTo(HaveOccurred())
		Expect(buffered.Complete).To(BeFalse())
		Expect(buffered.Body).To(HaveLen(10))
	})
})

// FuzzEventReader checks that every event consists of complete lines of the input,
// in order, and that the events are the same when the input arrives byte by byte.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte(tokenEvent + "data: [DONE]\n\n"))
	f.Add([]byte("data: a\r\ndata:b\r\n\r\n:c\n\nevent: x\ndata\n\n"))
	f.Add([]byte("\n\n\ndata: [DONE]"))
	f.Fuzz(func(t *testing.T, input []byte) {
		atOnce := readEvents(bytes.NewReader(input))
		byteByByte := readEvents(iotest.OneByteReader(bytes.NewReader(input)))
		if len(atOnce) != len(byteByByte) {
			t.Fatalf("%d events at once, %d byte by byte", len(atOnce), len(byteByByte))
		}
		rest := input
		for i, event := range atOnce {
			if event != byteByByte[i] {
				t.Fatalf("event %d differs: %q, %q", i, event, byteByByte[i])
			}
			index := bytes.Index(rest, []byte(event))
			if index < 0 || strings.Trim(string(rest[:index]), "\r\n") != "" {
				t.Fatalf("event %q is not the next part of the input", event)
			}
			rest = rest[index+len(event):]
		}
	})
}

func readEvents(source io.Reader) []string {
	const limit = 1 << 12
	reader := relay.NewEventReader(source, limit)
	var events []string
	for {
		event, err := reader.Next()
		if err != nil {
			return events
		}
		events = append(events, string(event.Raw))
	}
}

// slowBody is a body that gives one byte after each pause.
type slowBody struct {
	pause time.Duration
	left  int
}

func (b *slowBody) Read(data []byte) (int, error) {
	time.Sleep(b.pause)
	if b.left == 0 {
		return 0, io.EOF
	}
	b.left--
	data[0] = 'x'
	return 1, nil
}

func (b *slowBody) Close() error { return nil }

var _ = Describe("BufferResponse", func() {
	It("does not end a response that takes longer than the idle timeout but is never idle", func() {
		const idle = time.Second
		body := &slowBody{pause: idle / 5, left: 9}
		cancelled := make(chan struct{})
		response := &http.Response{Body: body, ContentLength: 9}
		held, err := relay.BufferResponse(response, relay.Limits{IdleTimeout: idle}, func() { close(cancelled) })
		Expect(err).NotTo(HaveOccurred())
		Expect(held.Complete).To(BeTrue())
		Expect(cancelled).NotTo(BeClosed())
	})
})
