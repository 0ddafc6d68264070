// Package rawserver is an HTTP server for tests that writes its answers as they are given to
// it, also such that net/http can't write: cut off, without an end, or with a status that is none.
package rawserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
)

// End says what happens to a connection after an answer.
type End int

// The ends of an answer.
const (
	// Keep leaves the connection open for the next request.
	Keep End = iota
	// Close closes it in order.
	Close
	// Reset resets it.
	Reset
	// Endless sends Answer.Repeat until the client ends the connection.
	Endless
)

// Answer is what a server answers each request with.
type Answer struct {
	Name string
	Text string
	// Repeat is sent again and again after Text if End is Endless.
	Repeat string
	End    End
}

// Server is a server whose answer can be changed. It is safe for concurrent use.
type Server struct {
	listener net.Listener

	mu sync.Mutex
	// answers are those to the next requests; the last one is given to all later ones too.
	answers []Answer
	// conns are the open connections.
	conns map[net.Conn]bool

	sent atomic.Int64
	kept atomic.Bool
}

// Start starts a server that gives the answers in turn, and the last one to all later requests.
func Start(answers ...Answer) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &Server{listener: listener, answers: answers, conns: map[net.Conn]bool{}}
	go server.accept()
	return server, nil
}

// Addr returns the server's address.
func (s *Server) Addr() string {
	return s.listener.Addr().String()
}

// Set changes the answers to later requests.
func (s *Server) Set(answers ...Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = answers
}

// next returns the answer to the next request.
func (s *Server) next() Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := s.answers[0]
	if len(s.answers) > 1 {
		s.answers = s.answers[1:]
	}
	return answer
}

// Sent returns the number of bytes that were sent.
func (s *Server) Sent() int64 {
	return s.sent.Load()
}

// Kept reports whether a connection has carried more than one request.
func (s *Server) Kept() bool {
	return s.kept.Load()
}

// Stop closes the listener and all connections.
func (s *Server) Stop() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serve(conn)
	}
}

// serve answers the requests of one connection.
func (s *Server) serve(conn net.Conn) {
	defer s.end(conn)
	reader := bufio.NewReader(conn)
	for requests := 1; ; requests++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		s.kept.Store(s.kept.Load() || requests > 1)
		if !s.next().write(conn, &s.sent) {
			return
		}
	}
}

func (s *Server) end(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Write gives the answer and reports whether the connection can take another request. If it
// can't, the caller closes the connection.
func (a Answer) Write(conn net.Conn) bool {
	return a.write(conn, new(atomic.Int64))
}

// write also adds the number of bytes that it sends to sent.
func (a Answer) write(conn net.Conn, sent *atomic.Int64) bool {
	err := send(conn, a.Text, sent)
	for err == nil && a.End == Endless {
		err = send(conn, a.Repeat, sent)
	}
	if a.End == Reset {
		_ = conn.(*net.TCPConn).SetLinger(0) // Close then resets
	}
	return err == nil && a.End == Keep
}

func send(conn net.Conn, text string, sent *atomic.Int64) error {
	n, err := io.WriteString(conn, text)
	sent.Add(int64(n))
	return err
}

// Whole returns an answer that is one. The header is empty, or lines that each end with "\r\n".
func Whole(header, body string) Answer {
	return Answer{Name: "whole", Text: fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)}
}

// Broken returns answers that are none, each of which holds a part of the answer that Whole
// returns, or all of it.
func Broken(header, body string) []Answer {
	broken := append(cut(header, body), noStatus(header, body)...)
	broken = append(broken, endless(header, body)...)
	return append(broken, largeHead(header, body))
}

// cut returns answers that end before their end.
func cut(header, body string) []Answer {
	const missing = 7
	head, part := "HTTP/1.1 200 OK\r\n"+header, body[:len(body)/2]
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)+missing)
	chunk := func(text string) string {
		return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
	}
	return []Answer{
		{Name: "cut inside the head", Text: head, End: Close},
		{Name: "without a length, closed inside", Text: head + "\r\n" + part, End: Close},
		{Name: "without a length, reset inside", Text: head + "\r\n" + part, End: Reset},
		{Name: "without a length, reset at the end", Text: head + "\r\n" + body, End: Reset},
		{Name: "a length that ends early, closed inside", Text: head + length + part, End: Close},
		{Name: "a length that ends early, reset inside", Text: head + length + part, End: Reset},
		{Name: "a length that ends early, closed at the end", Text: head + length + body, End: Close},
		{Name: "a length that ends early, reset at the end", Text: head + length + body, End: Reset},
		{Name: "chunks that end early, closed inside", Text: head + chunk(part), End: Close},
		{Name: "chunks that end early, closed at the end", Text: head + chunk(body), End: Close},
		{Name: "chunks that end early, reset at the end", Text: head + chunk(body), End: Reset},
	}
}

// noStatus returns answers whose status is none.
func noStatus(header, body string) []Answer {
	answers := []Answer{}
	for _, status := range []string{"000 None", "099 None", "600 None", "999 None", "2x0 OK", "-20 OK", "20 OK", ""} {
		text := fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
		answers = append(answers, Answer{Name: "status '" + status + "'", Text: text, End: Close})
	}
	return answers
}

// endless returns answers without an end.
func endless(header, body string) []Answer {
	const block = 16 << 10
	head, spaces := "HTTP/1.1 200 OK\r\n"+header, strings.Repeat(" ", block)
	largest := fmt.Sprintf("Content-Length: %d\r\n\r\n", int64(1)<<40)
	chunked := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body)
	return []Answer{
		{Name: "interim status without end", Repeat: "HTTP/1.1 103 Early Hints\r\n\r\n", End: Endless},
		{Name: "line of the head without end", Text: head + "Filler: ", Repeat: strings.Repeat("x", block), End: Endless},
		{Name: "lines of the head without end", Text: head, Repeat: strings.Repeat("Filler: x\r\n", block/16), End: Endless},
		{Name: "body without end", Text: head + "\r\n" + body, Repeat: spaces, End: Endless},
		{Name: "chunks without end", Text: head + chunked, Repeat: fmt.Sprintf("%x\r\n%s\r\n", block, spaces), End: Endless},
		{Name: "length over any bound", Text: head + largest + body, Repeat: spaces, End: Endless},
		{Name: "body whose end never comes", Text: head + "\r\n" + body, End: Keep},
	}
}

// largeHead returns an answer whose head has an end, but is larger than a reader should take.
func largeHead(header, body string) Answer {
	const lines = 64 << 10
	filler := strings.Repeat("Filler: 1234567\r\n", lines)
	answer := Whole(header+filler, body)
	answer.Name = "head of a megabyte"
	return answer
}
