// Package opsclient is the operators' side of the resource API.
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
	// patience is how long a call is sent again: longer than an election takes.
	patience   = 15 * time.Second
	pause      = 250 * time.Millisecond
	callLimit  = 6 * time.Second
	waitEvery  = 100 * time.Millisecond
	changeSize = 8
)

// Client talks to any of several stores. A change is sent again under the same
// change ID until an answer comes, so it is made once.
type Client struct {
	stores []string
	http   *peerhttp.Client
	at     int
}

// New returns a client of the stores' operator addresses. secure may be nil.
func New(stores []string, token string, secure peerhttp.Secure) *Client {
	return &Client{stores: stores, http: peerhttp.NewClient(peerhttp.NewDialer("", secure), token)}
}

// NewChangeID returns a new change ID.
func NewChangeID() string {
	var b [changeSize]byte
	_, _ = rand.Read(b[:]) // never fails: it ends the process instead
	return hex.EncodeToString(b[:])
}

// call tries the stores in turn. Answers that no other store would change are final.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	started := time.Now()
	for {
		limit, cancel := context.WithTimeout(ctx, callLimit)
		err := c.http.Call(limit, method, c.stores[c.at%len(c.stores)], path, in, out)
		cancel()
		if err == nil || final(err) || ctx.Err() != nil || time.Since(started) > patience {
			return err
		}
		c.at++
		sleep(ctx, pause)
	}
}

func final(err error) bool {
	fault, ok := errors.AsType[*wheelgauge.Error](err)
	return ok && fault.Status() < http.StatusInternalServerError
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

// Change makes a change; its ID is made up when it is empty.
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

// Watch returns the events after a generation, or a bookmark after wait.
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

// RemoveStore takes a store out of the group.
func (c *Client) RemoveStore(ctx context.Context, name string) error {
	return c.call(ctx, http.MethodDelete, storeapi.PathStores+url.PathEscape(name), nil, nil)
}

// Lagging names the hosts, of those configured, that do not obey a generation yet.
func Lagging(s storeapi.Status, hosts []wheelgauge.Resource, generation uint64) []string {
	has := map[string]bool{}
	for _, h := range s.Hosts {
		has[h.Host] = h.Generation >= generation
	}
	var out []string
	for _, h := range hosts {
		if !has[h.Name] {
			out = append(out, h.Name)
		}
	}
	return out
}

// WaitInForce returns once every configured host obeys a generation and no
// residency rule of it is pending, or names what is missing when ctx ends.
func (c *Client) WaitInForce(ctx context.Context, generation uint64) error {
	missing := []string{"no store answered"}
	for ctx.Err() == nil {
		got, err := c.missing(ctx, generation)
		if err == nil && len(got) == 0 {
			return nil
		}
		if err == nil {
			missing = got
		}
		sleep(ctx, waitEvery)
	}
	return fmt.Errorf("generation %d is not in force at %v: %w", generation, missing, ctx.Err())
}

func (c *Client) missing(ctx context.Context, generation uint64) ([]string, error) {
	s, err := c.Status(ctx)
	if err != nil {
		return nil, err
	}
	hosts, err := c.List(ctx, wheelgauge.KindHost)
	if err != nil {
		return nil, err
	}
	out := Lagging(s, hosts.Resources, generation)
	for _, p := range s.Pending {
		if p.Generation <= generation {
			out = append(out, fmt.Sprintf("rule %s waits for %v", p.Rule, p.Waiting))
		}
	}
	return out, nil
}
