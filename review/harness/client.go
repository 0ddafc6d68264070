package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// client is one connection of a client to a daemon's front.
type client struct {
	address string
	conn    net.Conn
	in      *bufio.Reader
	used    int
}

// call is a request.
type call struct {
	method, path, id string
	header           []string
	body             string
	deadline         time.Duration
}

// outcome is what a client saw of an answer.
type outcome struct {
	status   int
	seal, id string
	header   http.Header
	body     string
	// whole is true if the answer was read to its proper end.
	whole bool
	// err is why not.
	err error
	// sent is when the last byte of the request was written; done when the answer ended.
	sent, done time.Time
}

func (o outcome) String() string {
	switch {
	case o.status == 0:
		return fmt.Sprintf("no answer (%v)", o.err)
	case !o.whole:
		return fmt.Sprintf("%d cut in the answer (%v)", o.status, o.err)
	case o.seal == "":
		return fmt.Sprintf("%d of the system, %.160s", o.status, strings.TrimSpace(o.body))
	}
	return fmt.Sprintf("%d signed %s", o.status, o.seal)
}

const host = "ficu95.example"

// connect opens the connection; clients allow one second.
func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.in, c.used = conn, bufio.NewReader(conn), 0
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends a request on the kept connection, or a new one, and reads the answer.
func (c *client) send(q call) outcome {
	if err := c.connect(); err != nil {
		return outcome{err: err, done: time.Now()}
	}
	if q.deadline == 0 {
		q.deadline = 5 * time.Second
	}
	_ = c.conn.SetDeadline(time.Now().Add(q.deadline))
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.path, host, q.id, q.deadline.Milliseconds())
	for _, line := range q.header {
		text.WriteString(line + "\r\n")
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(q.body))
	}
	text.WriteString("\r\n" + q.body)
	c.used++
	if _, err := io.WriteString(c.conn, text.String()); err != nil {
		c.close()
		return outcome{err: err, done: time.Now()}
	}
	sent := time.Now()
	result := c.read(q)
	result.sent, result.done = sent, time.Now()
	if !result.whole || strings.EqualFold(result.header.Get("Connection"), "close") {
		c.close()
	}
	return result
}

func (c *client) read(q call) outcome {
	response, err := http.ReadResponse(c.in, &http.Request{Method: q.method})
	if err != nil {
		return outcome{err: err}
	}
	result := outcome{status: response.StatusCode, seal: response.Header.Get(wire["seal"]), id: response.Header.Get("Request-Id"), header: response.Header}
	if response.Close {
		result.header.Set("Connection", "close")
	}
	body, err := io.ReadAll(response.Body)
	result.body, result.err, result.whole = string(body), err, err == nil
	return result
}

// timedOut reports whether the client itself gave up.
func (o outcome) timedOut() bool {
	var timeout net.Error
	return errors.As(o.err, &timeout) && timeout.Timeout() || errors.Is(o.err, context.DeadlineExceeded)
}

// promised reports whether a status promises that the request has not run and never
// will.
func promised(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
