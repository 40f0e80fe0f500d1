// Package directory asks the client directory who a credential belongs to, and
// remembers the answers for a while.
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
	// freshTime is how long an answer is used without asking again; staleTime
	// how long while the directory does not answer.
	freshTime   = 30 * time.Second
	staleTime   = time.Hour
	unknownTime = 5 * time.Second
	mostEntries = 20_000
	askTimeout  = 2 * time.Second
)

// lookup is the question to the directory.
type lookup struct {
	Credential string `json:"credential"`
}

type entry struct {
	identity wheelgauge.Identity
	unknown  bool
	at       time.Time
}

// Directory implements wheelgauge.Directory.
type Directory struct {
	address string
	client  *peerhttp.Client
	mu      sync.Mutex
	entries map[uint64]entry
}

// New returns a directory reached at address.
func New(address string, client *peerhttp.Client) *Directory {
	return &Directory{address: address, client: client, entries: map[uint64]entry{}}
}

// Lookup implements wheelgauge.Directory.
func (d *Directory) Lookup(ctx context.Context, credential string) (wheelgauge.Identity, error) {
	if credential == "" {
		return wheelgauge.Identity{}, unknown()
	}
	key := rendezvous.Hash(credential)
	d.mu.Lock()
	known, ok := d.entries[key]
	d.mu.Unlock()
	age := time.Since(known.at)
	if ok && (known.unknown && age < unknownTime || !known.unknown && age < freshTime) {
		return known.result()
	}
	asked, err := d.ask(ctx, credential)
	if err != nil {
		if ok && !known.unknown && age < staleTime {
			return known.identity, nil
		}
		return wheelgauge.Identity{}, err
	}
	d.keep(key, asked)
	return asked.result()
}

func (e *entry) result() (wheelgauge.Identity, error) {
	if e.unknown {
		return wheelgauge.Identity{}, unknown()
	}
	return e.identity, nil
}

func unknown() *wheelgauge.Error {
	return wheelgauge.NewError(wheelgauge.ReasonUnauthorized, wheelgauge.OutcomeNotRun, http.StatusUnauthorized, "the credential is not known")
}

func (d *Directory) ask(ctx context.Context, credential string) (entry, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	e := entry{at: time.Now()}
	err := d.client.Call(ctx, http.MethodPost, d.address, path, lookup{credential}, &e.identity)
	if fault, ok := errors.AsType[*wheelgauge.Error](err); ok && fault.Status() == http.StatusNotFound {
		e.unknown = true
		return e, nil
	}
	if err != nil {
		return e, wheelgauge.NewError(wheelgauge.ReasonUnauthorized, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable,
			fmt.Sprintf("the client directory does not answer: %v", err)).WithRetryAfter(time.Second)
	}
	return e, nil
}

func (d *Directory) keep(key uint64, e entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.entries) >= mostEntries {
		clear(d.entries)
	}
	d.entries[key] = e
}
