package graceful_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/graceful"
)

// Guards against attempts at endpoints that lack a descriptor since callers hold them all.
var _ = Describe("the sockets of a process", func() {
	// fewDescriptors leaves two sockets.
	const fewDescriptors = 8
	var sockets *graceful.Sockets
	var f *fixture
	BeforeEach(func() {
		sockets = graceful.NewSockets(fewDescriptors)
		f = serveOptions(graceful.Options{Listener: listen(), HTTP: patientServer(), Sockets: sockets})
	})

	It("go from a connection that waits for a request to one that is dialled", func() {
		held := &heldListener{Listener: listen(), held: make(chan struct{})}
		sockets = graceful.NewSockets(fewDescriptors)
		f = serveOptions(graceful.Options{Listener: held, HTTP: patientServer(), Sockets: sockets})
		served, waiting := f.dial(), f.dial()
		for _, c := range []*caller{served, waiting} {
			c.send(get("/"))
			status, _ := c.status()
			Expect(status).To(Equal(http.StatusOK))
		}
		ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
		defer cancel()
		release, err := sockets.Reserve(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(waiting.isClosed()).To(BeTrue())
		close(held.held)
		served.send(get("/"))
		status, _ := served.status()
		Expect(status).To(Equal(http.StatusOK))
		release()
		release()
		late := f.dial()
		late.send(get("/"))
		status, _ = late.status()
		Expect(status).To(Equal(http.StatusOK))
	})

	It("stay with connections whose requests are served", func() {
		first, second := f.dial(), f.dial()
		for _, c := range []*caller{first, second} {
			c.send(get("/wait"))
			<-f.handling
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := sockets.Reserve(ctx)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		close(f.release)
		for _, c := range []*caller{first, second} {
			status, _ := c.status()
			Expect(status).To(Equal(http.StatusOK))
		}
	})

	It("that are dialled leave later connections waiting", func() {
		var releases []func()
		for range 2 {
			release, err := sockets.Reserve(context.Background())
			Expect(err).NotTo(HaveOccurred())
			releases = append(releases, release)
		}
		c := f.dial()
		c.send(get("/"))
		_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		_, err := c.reader.Peek(1)
		Expect(err).To(HaveOccurred())
		for _, release := range releases {
			release()
		}
		status, _ := c.status()
		Expect(status).To(Equal(http.StatusOK))
	})

	It("have no limit if nothing bounds them", func() {
		release, err := (*graceful.Sockets)(nil).Reserve(context.Background())
		Expect(err).NotTo(HaveOccurred())
		release()
	})
})
