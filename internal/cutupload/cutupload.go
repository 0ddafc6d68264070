// Package cutupload has the endpoint for tests of answers that are cut off while the
// request is still being written.
package cutupload

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// writing is the time between the answer and the reset, in which the other side goes on
// writing its body.
const writing = 5 * time.Millisecond

// Listen starts an endpoint that answers as soon as it has the head of a request and
// resets the connection while the body is still being written. Respond returns the answer,
// its head included. The endpoint ends when the listener is closed.
func Listen(respond func(header http.Header) string) (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "endpoint that cuts uploads")
	}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go answer(connection.(*net.TCPConn), respond)
		}
	}()
	return listener, nil
}

// answer serves one connection.
func answer(connection *net.TCPConn, respond func(header http.Header) string) {
	defer func() { _ = connection.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}
	_, _ = io.WriteString(connection, respond(request.Header))
	time.Sleep(writing)
	_ = connection.SetLinger(0) // Close then resets
}
