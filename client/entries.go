package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"
)

// maxAnswerBytes bounds an answer about entries.
const maxAnswerBytes = 1 << 20

// answer is the body of GET /v1/entries.
type answer struct {
	Entries []struct {
		Address string `json:"address"`
	} `json:"entries"`
	LifetimeMS  int64  `json:"lifetime_ms"`
	Ticket      string `json:"ticket"`
	TicketEntry string `json:"ticket_entry"`
}

// question is what a client asks for entries.
type question struct {
	// service is the plain service that is called; empty for models.
	service string
	// ownTicket asks for a ticket that binds to the entry which answers.
	ownTicket bool
}

// entries returns the entries to use, best first. It asks when the last answer
// has expired; when nobody answers, the last answer is used on.
func (c *Client) entries(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	known, fresh := slices.Clone(c.known), c.opts.Now().Before(c.until)
	c.mu.Unlock()
	if fresh && len(known) > 0 {
		return known, nil
	}
	got, err := c.ask(ctx, question{})
	if err == nil {
		return addresses(got), nil
	}
	if len(known) > 0 {
		return known, nil
	}
	return nil, err
}

// ask asks the known entries, then those of the directory, and keeps the first
// answer.
func (c *Client) ask(ctx context.Context, about question) (answer, error) {
	c.mu.Lock()
	candidates := slices.Clone(c.known)
	c.mu.Unlock()
	listed, problem := c.opts.Directory.Entries(ctx)
	for _, address := range listed {
		if !slices.Contains(candidates, address) {
			candidates = append(candidates, address)
		}
	}
	for _, address := range candidates {
		got, err := c.askOne(ctx, address, about)
		if err == nil && len(got.Entries) > 0 {
			c.keep(got)
			return got, nil
		}
		problem = errors.Join(problem, err)
	}
	return answer{}, fmt.Errorf("no entry answered: %w", problem)
}

func (c *Client) askOne(ctx context.Context, address string, about question) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.AskTimeout)
	defer cancel()
	target := url.URL{Scheme: c.opts.Scheme, Host: address, Path: "/v1/entries"}
	query := url.Values{}
	if about.service != "" {
		query.Set("service", about.service)
	}
	if about.ownTicket {
		query.Set("owner", "self")
	}
	target.RawQuery = query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return answer{}, err
	}
	request.Header.Set("Authorization", "Bearer "+c.opts.Credential)
	response, err := c.opts.Transport.RoundTrip(request)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return answer{}, fmt.Errorf("entry %s answered with status %d", address, response.StatusCode)
	}
	var got answer
	err = json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&got)
	return got, err
}

func (c *Client) keep(got answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = addresses(got)
	c.until = c.opts.Now().Add(time.Duration(got.LifetimeMS) * time.Millisecond)
}

// forget makes the next request ask anew, because an entry failed.
func (c *Client) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Time{}
}

func addresses(got answer) []string {
	list := make([]string, len(got.Entries))
	for i, entry := range got.Entries {
		list[i] = entry.Address
	}
	return list
}
