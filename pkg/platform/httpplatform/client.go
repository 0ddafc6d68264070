// Package httpplatform reads the customer's platform over HTTP with JSON. It
// implements every interface of package platform.
package httpplatform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/platform"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// maxAnswerBytes bounds one answer: a value of the largest size in base64 and
// the JSON around it.
const maxAnswerBytes = 2 * platform.MaxValueBytes

// watchWait is how long the service may hold one watch open.
const watchWait = 30 * time.Second

// Client reads the platform at one base address. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client

	// mu guards listing, the VM list that was read last, and tag, its entity
	// tag; an empty tag means none.
	mu      sync.Mutex
	listing platform.VMListing
	tag     string
}

var (
	_ platform.ConfigService   = (*Client)(nil)
	_ platform.VMList          = (*Client)(nil)
	_ platform.ClientDirectory = (*Client)(nil)
	_ platform.WeightStore     = (*Client)(nil)
)

// New returns a client of the platform at base, for example
// "http://10.0.0.5:7000". A nil httpClient means http.DefaultClient.
func New(base string, httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = http.DefaultClient
	}
	return &Client{base: base, http: httpClient}
}

// Read returns the value of a key.
func (c *Client) Read(ctx context.Context, key string) (platform.Value, error) {
	return c.value(ctx, key, nil)
}

// Watch waits until the key's version differs from after and returns the value.
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

// List returns all VMs. A platform that gives the list an entity tag sends it
// again only when it has changed. The caller must not change the list.
func (c *Client) List(ctx context.Context) (platform.VMListing, error) {
	c.mu.Lock()
	known, tag := c.listing, c.tag
	c.mu.Unlock()
	header := http.Header{}
	if tag != "" {
		header.Set("If-None-Match", tag)
	}
	var listing platform.VMListing
	answered, err := c.getIf(ctx, "/vms", nil, header, &listing)
	if err != nil {
		return platform.VMListing{}, err
	}
	if answered == nil {
		return known, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listing, c.tag = listing, answered.Get("ETag")
	return listing, nil
}

// DirectoryAnswer is the client directory's answer.
type DirectoryAnswer struct {
	Entries []string `json:"entries"`
}

// Entries returns caller addresses of entries.
func (c *Client) Entries(ctx context.Context) ([]string, error) {
	var answer DirectoryAnswer
	err := c.get(ctx, "/directory", nil, &answer)
	return answer.Entries, err
}

// SizeAnswer is the weight store's answer.
type SizeAnswer struct {
	SizeBytes int64 `json:"size_bytes"`
}

// Size returns the size in bytes of one version's weights.
func (c *Client) Size(ctx context.Context, model types.ServiceName, version types.ModelVersion) (int64, error) {
	var answer SizeAnswer
	path := "/weights/" + url.PathEscape(string(model)) + "/" + url.PathEscape(string(version))
	err := c.get(ctx, path, nil, &answer)
	return answer.SizeBytes, err
}

func (c *Client) get(ctx context.Context, path string, query url.Values, into any) error {
	_, err := c.getIf(ctx, path, query, nil, into)
	return err
}

// getIf reads a value and returns the answer's header; nil when the platform
// says that the value has not changed.
func (c *Client) getIf(ctx context.Context, path string, query url.Values, header http.Header, into any) (http.Header, error) {
	address := c.base + path
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
	err = json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(into)
	if err != nil {
		return nil, eris.Wrapf(platform.ErrUnavailable, "read %s: %v", path, err)
	}
	return resp.Header, nil
}
