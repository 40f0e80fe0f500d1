// Package directory looks up the owner of a credential in the client directory, and
// caches the responses.
package directory

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"wheelgauge"
	"wheelgauge/peerhttp"
	"wheelgauge/rendezvous"
)

const (
	path = "/lookup"
	// cacheTTL is how long a response is used without a new request, staleTTL how
	// long while the directory does not respond, unknownTTL how long a credential
	// counts as unknown.
	cacheTTL       = 30 * time.Second
	staleTTL       = time.Hour
	unknownTTL     = 5 * time.Second
	maxEntries     = 20_000
	requestTimeout = 2 * time.Second
)

// lookupRequest is the body of a request to the directory.
type lookupRequest struct {
	Credential string `json:"credential"`
}

type entry struct {
	identity wheelgauge.Identity
	unknown  bool
	at       time.Time
}

// Directory implements wheelgauge.ClientDirectory.
type Directory struct {
	address string
	client  *peerhttp.Client
	mu      sync.Mutex
	entries map[uint64]entry
}

// New returns a client of the directory at address.
func New(address string, client *peerhttp.Client) *Directory {
	return &Directory{address: address, client: client, entries: map[uint64]entry{}}
}

// Lookup implements wheelgauge.ClientDirectory.
func (d *Directory) Lookup(ctx context.Context, credential string) (wheelgauge.Identity, error) {
	if credential == "" {
		return wheelgauge.Identity{}, unknownCredential()
	}
	key := rendezvous.Hash(credential)
	d.mu.Lock()
	cached, ok := d.entries[key]
	d.mu.Unlock()
	age := time.Since(cached.at)
	if ok && (cached.unknown && age < unknownTTL || !cached.unknown && age < cacheTTL) {
		return cached.result()
	}
	fetched, err := d.request(ctx, credential)
	if err != nil {
		if ok && !cached.unknown && age < staleTTL {
			return cached.identity, nil
		}
		return wheelgauge.Identity{}, err
	}
	d.store(key, fetched)
	return fetched.result()
}

func (e *entry) result() (wheelgauge.Identity, error) {
	if e.unknown {
		return wheelgauge.Identity{}, unknownCredential()
	}
	return e.identity, nil
}

func unknownCredential() *wheelgauge.Error {
	return wheelgauge.NewError(wheelgauge.ReasonUnauthorized, wheelgauge.OutcomeNotRun, http.StatusUnauthorized, "unknown credential")
}

func (d *Directory) request(ctx context.Context, credential string) (entry, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	e := entry{at: time.Now()}
	err := d.client.Call(ctx, http.MethodPost, d.address, path, lookupRequest{credential}, &e.identity)
	if apiErr, ok := errors.AsType[*wheelgauge.Error](err); ok && apiErr.Status() == http.StatusNotFound {
		e.unknown = true
		return e, nil
	}
	if err != nil {
		return e, wheelgauge.NewError(wheelgauge.ReasonUnauthorized, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable,
			fmt.Sprintf("client directory does not respond: %v", err)).WithRetryAfter(time.Second)
	}
	return e, nil
}

func (d *Directory) store(key uint64, e entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.entries) >= maxEntries {
		clear(d.entries)
	}
	d.entries[key] = e
}
