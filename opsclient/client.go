// Package opsclient is a client of the operators' API of the stores.
package opsclient

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"wheelgauge"
	"wheelgauge/confwatch"
	"wheelgauge/peerhttp"
	"wheelgauge/storeapi"
)

const (
	// retryTimeout bounds the retries of a call. It is longer than an election takes.
	retryTimeout  = 15 * time.Second
	retryInterval = 250 * time.Millisecond
	callTimeout   = 6 * time.Second
	pollInterval  = 100 * time.Millisecond
	changeIDBytes = 8
)

// Client sends calls to any of several stores. A change is retried under the same change ID
// until a store responds, so it is made only once.
type Client struct {
	stores  []string
	http    *peerhttp.Client
	current int
}

// New returns a client of stores, which are their operator addresses. Without secure, which
// may be nil, it uses plain HTTP.
func New(stores []string, token string, secure peerhttp.Secure) *Client {
	return &Client{stores: stores, http: peerhttp.NewClient(peerhttp.NewDialer("", secure), token)}
}

// NewChangeID returns a random change ID.
func NewChangeID() string {
	var b [changeIDBytes]byte
	_, _ = rand.Read(b[:]) // never returns an error: it crashes the process instead
	return hex.EncodeToString(b[:])
}

// call tries the stores in turn. It does not retry errors that every store would return.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	started := time.Now()
	for {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := c.http.Call(callCtx, method, c.stores[c.current%len(c.stores)], path, in, out)
		cancel()
		if err == nil || isFinal(err) || ctx.Err() != nil || time.Since(started) > retryTimeout {
			return err
		}
		c.current++
		sleep(ctx, retryInterval)
	}
}

func isFinal(err error) bool {
	e, ok := errors.AsType[*wheelgauge.Error](err)
	return ok && e.Status() < http.StatusInternalServerError
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func resourcePath(kind wheelgauge.Kind, name string) string {
	path := confwatch.PathList
	if kind != "" {
		path += "/" + url.PathEscape(string(kind))
	}
	if name != "" {
		path += "/" + url.PathEscape(name)
	}
	return path
}

// List returns all resources of a kind, or of every kind when it is empty.
func (c *Client) List(ctx context.Context, kind wheelgauge.Kind) (wheelgauge.ListAnswer, error) {
	var out wheelgauge.ListAnswer
	err := c.call(ctx, http.MethodGet, resourcePath(kind, ""), nil, &out)
	return out, err
}

// Get returns one resource.
func (c *Client) Get(ctx context.Context, kind wheelgauge.Kind, name string) (wheelgauge.Resource, error) {
	var out wheelgauge.Resource
	err := c.call(ctx, http.MethodGet, resourcePath(kind, name), nil, &out)
	return out, err
}

// Change makes a change. It generates the change ID when that is empty.
func (c *Client) Change(ctx context.Context, change wheelgauge.Change, dryRun bool) (wheelgauge.ChangeResult, error) {
	if change.ID == "" {
		change.ID = NewChangeID()
	}
	query := url.Values{"change": {change.ID}}
	if change.Expected != nil {
		query.Set("expected", strconv.FormatUint(*change.Expected, 10))
	}
	if dryRun {
		query.Set("dry_run", "true")
	}
	method, body := http.MethodPut, any(change.Spec)
	if change.Op == wheelgauge.OpDelete {
		method, body = http.MethodDelete, nil
	}
	var out wheelgauge.ChangeResult
	err := c.call(ctx, method, resourcePath(change.Kind, change.Name)+"?"+query.Encode(), body, &out)
	return out, err
}

// Watch returns the events after a generation, or no events but the current generation
// after wait.
func (c *Client) Watch(ctx context.Context, from uint64, wait time.Duration) (wheelgauge.WatchAnswer, error) {
	var out wheelgauge.WatchAnswer
	path := fmt.Sprintf("%s?from=%d&wait_ms=%d", confwatch.PathWatch, from, wait.Milliseconds())
	err := c.call(ctx, http.MethodGet, path, nil, &out)
	return out, err
}

// Status returns the state of the stores and hosts.
func (c *Client) Status(ctx context.Context) (storeapi.Status, error) {
	var out storeapi.Status
	err := c.call(ctx, http.MethodGet, storeapi.PathStatus, nil, &out)
	return out, err
}

// RemoveStore removes a store from the group.
func (c *Client) RemoveStore(ctx context.Context, name string) error {
	return c.call(ctx, http.MethodDelete, storeapi.PathStores+url.PathEscape(name), nil, nil)
}

// LaggingHosts returns the names of configured hosts that have not applied a generation yet.
func LaggingHosts(s storeapi.Status, hosts []wheelgauge.Resource, generation uint64) []string {
	applied := map[string]bool{}
	for _, h := range s.Hosts {
		applied[h.Host] = h.Generation >= generation
	}
	var out []string
	for _, h := range hosts {
		if !applied[h.Name] {
			out = append(out, h.Name)
		}
	}
	return out
}

// WaitInForce returns once every configured host has applied a generation and no
// residency rule of it or of an earlier one is pending. If ctx ends first, the error lists
// what is missing.
func (c *Client) WaitInForce(ctx context.Context, generation uint64) error {
	missing := []string{"no store responded"}
	for ctx.Err() == nil {
		got, err := c.pendingAt(ctx, generation)
		if err == nil && len(got) == 0 {
			return nil
		}
		if err == nil {
			missing = got
		}
		sleep(ctx, pollInterval)
	}
	return fmt.Errorf("generation %d is not applied yet at %v: %w", generation, missing, ctx.Err())
}

func (c *Client) pendingAt(ctx context.Context, generation uint64) ([]string, error) {
	s, err := c.Status(ctx)
	if err != nil {
		return nil, err
	}
	hosts, err := c.List(ctx, wheelgauge.KindHost)
	if err != nil {
		return nil, err
	}
	out := LaggingHosts(s, hosts.Resources, generation)
	for _, p := range s.Pending {
		if p.Generation <= generation {
			out = append(out, fmt.Sprintf("rule %s is waiting for %v", p.Rule, p.Waiting))
		}
	}
	return out, nil
}
