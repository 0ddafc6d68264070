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

// Client reads the platform at one base address.
type Client struct {
	base string
	http *http.Client
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

// List returns all VMs.
func (c *Client) List(ctx context.Context) (platform.VMListing, error) {
	var listing platform.VMListing
	err := c.get(ctx, "/vms", nil, &listing)
	return listing, err
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
	address := c.base + path
	if len(query) > 0 {
		address += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return eris.Wrap(err, "build platform request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return eris.Wrapf(platform.ErrUnavailable, "read %s: %v", path, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return eris.Wrapf(platform.ErrNotFound, "read %s", path)
	default:
		return eris.Wrapf(platform.ErrUnavailable, "read %s: status %d", path, resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(into)
	if err != nil {
		return eris.Wrapf(platform.ErrUnavailable, "read %s: %v", path, err)
	}
	return nil
}
