// Package statefetch is an entry host's side of the transfer of the replicated
// state: it fetches the body of a configuration part by part.
package statefetch

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"wheelgauge"
	"wheelgauge/peerhttp"
	"wheelgauge/statefeed"
)

const (
	// largestPart is how much is asked for at once, in bytes: it keeps a host's
	// link of 10 Mbit/s, which callers share, busy for 35 ms.
	largestPart = 32 << 10
	// smallestPart is asked for over links where larger ones did not come in time.
	smallestPart = 2 << 10
	// partTimeout bounds the call for one part: several links' delay and a busy store.
	partTimeout = time.Second
	// largestBody bounds a body that is unpacked, in bytes: as much as a call of
	// an operator may carry.
	largestBody = 64 << 20
)

var (
	errNothingNewer = errors.New("the store holds no newer state")
	errBroken       = errors.New("the part does not follow the one before")
)

// Fetcher fetches one state at a time; it is not safe for concurrent use. What
// came of a body is kept when a call fails, and goes on at any store.
type Fetcher struct {
	client *peerhttp.Client
	packed wheelgauge.PackedBody
	data   []byte
	// crashes came with the first part.
	crashes []wheelgauge.Crash
	// part is how much is asked for at once.
	part int
}

// New returns a fetcher that calls stores by client.
func New(client *peerhttp.Client) *Fetcher { return &Fetcher{client: client, part: largestPart} }

// Fetch returns a state that is newer than the one held, from the first of the
// stores that gives the rest of it. Its body is empty if the version is the one
// held.
func (f *Fetcher) Fetch(ctx context.Context, stores []string, held wheelgauge.FleetState) (wheelgauge.FleetState, error) {
	var errs []error
	for _, address := range stores {
		s, err := f.from(ctx, address, held)
		if err == nil {
			return s, nil
		}
		errs = append(errs, fmt.Errorf("fetch state from %s: %w", address, err))
	}
	return wheelgauge.FleetState{}, errors.Join(errs...)
}

// Came returns how many bytes of the present body there are.
func (f *Fetcher) Came() int { return len(f.data) }

// from fetches part after part. Each has a time limit of its own, so that a body
// of any size comes through a link of any width, and what a failed call would
// have brought is all that is lost.
func (f *Fetcher) from(ctx context.Context, address string, held wheelgauge.FleetState) (wheelgauge.FleetState, error) {
	for {
		p, err := f.ask(ctx, address, held)
		if err != nil {
			f.part = max(smallestPart, f.part/2)
			return wheelgauge.FleetState{}, err
		}
		f.part = min(largestPart, 2*f.part)
		if p.Generation <= held.Generation {
			return wheelgauge.FleetState{}, errNothingNewer
		}
		s := wheelgauge.FleetState{Generation: p.Generation, Version: p.Version, Drained: p.Drained, Rollouts: p.Rollouts, Crashes: p.Crashes}
		if p.Packed.Size == 0 {
			return s, nil
		}
		if err := f.take(p); err != nil {
			return wheelgauge.FleetState{}, err
		}
		if len(f.data) == f.packed.Size {
			s.Crashes = f.crashes
			s.Body, err = f.unpack()
			return s, err
		}
	}
}

func (f *Fetcher) ask(ctx context.Context, address string, held wheelgauge.FleetState) (wheelgauge.StatePart, error) {
	if err := ctx.Err(); err != nil {
		return wheelgauge.StatePart{}, err // calls know deadlines only
	}
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	var p wheelgauge.StatePart
	r := wheelgauge.StateRequest{Generation: held.Generation, Version: held.Version, Packed: f.packed, Offset: len(f.data), Most: f.part}
	return p, f.client.Call(ctx, http.MethodPost, address, statefeed.Path, r, &p)
}

// take adds a part; that of another body begins anew.
func (f *Fetcher) take(p wheelgauge.StatePart) error {
	if p.Packed != f.packed {
		f.packed, f.data = p.Packed, nil
	}
	if p.Offset == 0 {
		f.crashes = p.Crashes
	}
	if p.Offset != len(f.data) || len(p.Data) == 0 || len(f.data)+len(p.Data) > p.Packed.Size {
		f.drop()
		return errBroken
	}
	f.data = append(f.data, p.Data...)
	return nil
}

func (f *Fetcher) drop() { f.packed, f.data = wheelgauge.PackedBody{}, nil }

// unpack returns the whole body, whose checksum is verified on the way.
func (f *Fetcher) unpack() ([]byte, error) {
	defer f.drop()
	r, err := gzip.NewReader(bytes.NewReader(f.data))
	if err != nil {
		return nil, fmt.Errorf("unpack version %d: %w", f.packed.Version, err)
	}
	body, err := io.ReadAll(io.LimitReader(r, largestBody))
	if err != nil {
		return nil, fmt.Errorf("unpack version %d: %w", f.packed.Version, err)
	}
	return body, nil
}
