// Package client sends requests to the entries of a deployment. There is no
// balancer before the entries: the client asks which of them to use, keeps the
// answer for its lifetime, and turns to another entry when one did not run a
// request. It implements http.RoundTripper, so that any HTTP library, such as
// OpenAI's, can use it:
//
//	entries, err := client.New(client.Options{
//		Directory:  client.Addresses("10.0.0.4:8080", "10.0.1.4:8080"),
//		Credential: os.Getenv("GATEWAY_CREDENTIAL"),
//	})
//	httpClient := &http.Client{Transport: entries}
//	response, err := httpClient.Post("http://gateway/v1/chat/completions", ...)
//
// The host of the URL is replaced by that of an entry.
//
// Requests to plain services that may change something carry a ticket as their
// Idempotency-Key, so that they run at most once. When such a request ends in
// an *Error whose verdict is types.MayHaveRun, sending it again with Error.Key
// as Idempotency-Key is safe and returns the first run's answer if there is one.
package client

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Directory names entries for the first contact, "ip:port".
type Directory interface {
	Entries(ctx context.Context) ([]string, error)
}

// Addresses is a directory that always gives the same entries.
func Addresses(addresses ...string) Directory {
	return fixedDirectory(addresses)
}

type fixedDirectory []string

// Entries returns the addresses.
func (f fixedDirectory) Entries(context.Context) ([]string, error) {
	return f, nil
}

// Options configures a Client. Directory and Credential are required.
type Options struct {
	Directory Directory
	// Credential is sent with each request that carries none.
	Credential string
	// Scheme is "http" or "https"; empty means "http".
	Scheme string
	// Transport sends the requests; nil means a new http.Transport. It must
	// not follow redirects, as transports do not.
	Transport http.RoundTripper
	// MaxSends bounds how many entries are tried for one request. Default 4.
	MaxSends int
	// MaxBodyBytes bounds a request body, which is held for the next entry.
	// Default 16 MiB.
	MaxBodyBytes int64
	// AskTimeout bounds each question for entries. Default 3 s.
	AskTimeout time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// The defaults of Options.
const (
	DefaultMaxSends     = 4
	DefaultMaxBodyBytes = 16 << 20
	DefaultAskTimeout   = 3 * time.Second
)

// Client is safe for concurrent use.
type Client struct {
	opts Options

	mu    sync.Mutex
	known []string
	until time.Time
}

var _ http.RoundTripper = (*Client)(nil)

// New returns a client. It contacts nobody yet.
func New(opts Options) (*Client, error) {
	if opts.Directory == nil || opts.Credential == "" {
		return nil, fmt.Errorf("client options need a directory and a credential")
	}
	if opts.Scheme == "" {
		opts.Scheme = "http"
	}
	if opts.Transport == nil {
		opts.Transport = &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 60 * time.Second}
	}
	if opts.MaxSends == 0 {
		opts.MaxSends = DefaultMaxSends
	}
	if opts.MaxBodyBytes == 0 {
		opts.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if opts.AskTimeout == 0 {
		opts.AskTimeout = DefaultAskTimeout
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Client{opts: opts}, nil
}

// Error says that a request got no answer from any entry.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict types.Verdict
	// Key is the Idempotency-Key to send the request again with; empty for
	// requests that carried none.
	Key   string
	Cause error
}

// Error returns the verdict and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("request got no answer (%s): %v", e.Verdict, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// RoundTrip sends the request to an entry, and to another one as long as it was
// not run. An answer of an entry is returned as it is, failures included, once
// no other entry may help. An error is of type *Error.
func (c *Client) RoundTrip(request *http.Request) (*http.Response, error) {
	body, err := c.readBody(request)
	if err != nil {
		return nil, &Error{Verdict: types.NotRun, Cause: err}
	}
	exchange := &exchange{client: c, request: request, body: body, key: request.Header.Get(types.HeaderIdempotencyKey)}
	return exchange.run()
}

func (c *Client) readBody(request *http.Request) ([]byte, error) {
	if request.Body == nil {
		return nil, nil
	}
	defer func() { _ = request.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(request.Body, c.opts.MaxBodyBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read request body: %w", err)
	}
	if int64(len(body)) > c.opts.MaxBodyBytes {
		return nil, fmt.Errorf("request body is larger than %d bytes", c.opts.MaxBodyBytes)
	}
	return body, nil
}

// needsTicket reports whether a request may change something at a plain service.
func needsTicket(request *http.Request) bool {
	if request.Method == http.MethodGet || request.Method == http.MethodHead {
		return false
	}
	return strings.HasPrefix(request.URL.Path, servicesPath)
}

const servicesPath = "/v1/services/"

// serviceOf returns the plain service that a path names; empty for none.
func serviceOf(path string) string {
	rest, found := strings.CutPrefix(path, servicesPath)
	if !found {
		return ""
	}
	name, _, _ := strings.Cut(rest, "/")
	return name
}
