// Package httpplatform reads the customer's platform through its JSON API over
// HTTP. It implements every interface of package platform.
package httpplatform

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/platform"
	"github.com/flamingomount/flamingomount/pkg/types"
	"github.com/flamingomount/flamingomount/pkg/wholebody"
)

// maxResponseBytes limits the size of a response body. It leaves room for a
// base64-encoded value of the maximum size and the JSON around it.
const maxResponseBytes = 2 * platform.MaxValueBytes

// maxResponseHeaderBytes limits the size of the head of a response.
const maxResponseHeaderBytes = 64 << 10

// watchWait is the longest time that the service may hold one watch request open.
const watchWait = 30 * time.Second

// Client reads the platform at one base URL. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client

	// mu guards listing, the most recently read VM list, and etag, its entity
	// tag. An empty etag means that there is none.
	mu      sync.Mutex
	listing platform.VMListing
	etag    string
}

var (
	_ platform.ConfigService   = (*Client)(nil)
	_ platform.VMList          = (*Client)(nil)
	_ platform.ClientDirectory = (*Client)(nil)
	_ platform.WeightStore     = (*Client)(nil)
)

// New returns a client for the platform at baseURL, for example
// "http://10.0.0.5:7000". A nil httpClient means one that has the transport of
// http.DefaultClient with a bound on the heads of responses.
func New(baseURL string, httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = &http.Client{Transport: newTransport()}
	}
	return &Client{baseURL: baseURL, http: httpClient}
}

func newTransport() *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = maxResponseHeaderBytes
	return transport
}

// Read returns the value of a key.
func (c *Client) Read(ctx context.Context, key string) (platform.Value, error) {
	return c.value(ctx, key, nil)
}

// Watch blocks until the key's version differs from after and returns the value.
// It sends a new request whenever the service returns an unchanged version.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (platform.Value, error) {
	query := url.Values{}
	query.Set("after", strconv.FormatUint(after, 10))
	query.Set("wait_ms", strconv.FormatInt(watchWait.Milliseconds(), 10))
	for {
		value, err := c.value(ctx, key, query)
		if err != nil {
			return platform.Value{}, err
		}
		if value.Version != after {
			return value, nil
		}
	}
}

func (c *Client) value(ctx context.Context, key string, query url.Values) (platform.Value, error) {
	var value platform.Value
	err := c.get(ctx, "/config/"+url.PathEscape(key), query, &value)
	return value, err
}

// List returns all VMs. If the platform sent an ETag with the list, later calls
// make conditional requests, and the platform sends the list again only when it
// has changed. The caller must not modify the returned list.
func (c *Client) List(ctx context.Context) (platform.VMListing, error) {
	c.mu.Lock()
	cached, etag := c.listing, c.etag
	c.mu.Unlock()
	header := http.Header{}
	if etag != "" {
		header.Set("If-None-Match", etag)
	}
	var listing platform.VMListing
	responseHeader, err := c.getConditional(ctx, "/vms", nil, header, &listing)
	if err != nil {
		return platform.VMListing{}, err
	}
	if responseHeader == nil {
		return cached, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listing, c.etag = listing, responseHeader.Get("ETag")
	return listing, nil
}

// DirectoryResponse is the response body of the client directory.
type DirectoryResponse struct {
	Entries []string `json:"entries"`
}

// Entries returns the caller-facing addresses of entries.
func (c *Client) Entries(ctx context.Context) ([]string, error) {
	var response DirectoryResponse
	err := c.get(ctx, "/directory", nil, &response)
	return response.Entries, err
}

// SizeResponse is the response body of the weight store.
type SizeResponse struct {
	SizeBytes int64 `json:"size_bytes"`
}

// Size returns the size, in bytes, of the weights of one model version.
func (c *Client) Size(ctx context.Context, model types.ServiceName, version types.ModelVersion) (int64, error) {
	var response SizeResponse
	path := "/weights/" + url.PathEscape(string(model)) + "/" + url.PathEscape(string(version))
	err := c.get(ctx, path, nil, &response)
	return response.SizeBytes, err
}

func (c *Client) get(ctx context.Context, path string, query url.Values, out any) error {
	_, err := c.getConditional(ctx, path, query, nil, out)
	return err
}

// getConditional sends a GET request with the given header, decodes the JSON
// response body into out and returns the response header. It returns a nil header
// if the platform responds to If-None-Match with 304 Not Modified.
func (c *Client) getConditional(ctx context.Context, path string, query url.Values, header http.Header, out any) (http.Header, error) {
	address := c.baseURL + path
	if len(query) > 0 {
		address += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, eris.Wrap(err, "build platform request")
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, eris.Wrapf(platform.ErrUnavailable, "read %s: %v", path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusOK:
	case resp.StatusCode == http.StatusNotModified && header.Get("If-None-Match") != "":
		return nil, nil
	case resp.StatusCode == http.StatusNotFound:
		return nil, eris.Wrapf(platform.ErrNotFound, "read %s", path)
	default:
		return nil, eris.Wrapf(platform.ErrUnavailable, "read %s: status %d", path, resp.StatusCode)
	}
	err = wholebody.DecodeJSON(resp.Body, maxResponseBytes, out)
	if err != nil {
		return nil, eris.Wrapf(platform.ErrUnavailable, "read %s: %v", path, err)
	}
	return resp.Header, nil
}
