// Package statefetch is the entry host's side of the transfer of the replicated
// state: it fetches the body of a configuration in chunks.
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
	// maxChunkBytes bounds one chunk: it occupies a host's link of 10 Mbit/s, which
	// callers share, for 35 ms.
	maxChunkBytes = 32 << 10
	// minChunkBytes is requested over links where larger chunks time out.
	minChunkBytes = 2 << 10
	// chunkTimeout bounds the call for one chunk: several round trips and a busy store.
	chunkTimeout = time.Second
	// maxBodyBytes bounds a decompressed body: as much as an operator's request may carry.
	maxBodyBytes = 64 << 20
)

var (
	errNoNewerState  = errors.New("store has no newer state")
	errNotContiguous = errors.New("chunk does not follow the data received so far")
)

// Fetcher fetches one state at a time; it is not safe for concurrent use. The
// chunks received are kept when a call fails, and any store can continue the transfer.
type Fetcher struct {
	client *peerhttp.Client
	packed wheelgauge.PackedBody
	data   []byte
	// crashes arrived with the first chunk.
	crashes []wheelgauge.Crash
	// chunkBytes is the size of the next chunk to request.
	chunkBytes int
}

// New returns a Fetcher that calls stores through client.
func New(client *peerhttp.Client) *Fetcher {
	return &Fetcher{client: client, chunkBytes: maxChunkBytes}
}

// Fetch returns a state that is newer than the one held, from the first of the
// stores that completes its transfer. The body is empty if the version is the one
// held.
func (f *Fetcher) Fetch(ctx context.Context, stores []string, held wheelgauge.FleetState) (wheelgauge.FleetState, error) {
	var errs []error
	for _, address := range stores {
		s, err := f.fetchFrom(ctx, address, held)
		if err == nil {
			return s, nil
		}
		errs = append(errs, fmt.Errorf("fetch state from %s: %w", address, err))
	}
	return wheelgauge.FleetState{}, errors.Join(errs...)
}

// Came returns how many bytes of the current body have been received.
func (f *Fetcher) Came() int { return len(f.data) }

// fetchFrom fetches one chunk after the other. Each has its own timeout, so that a body of
// any size can be transferred over a link of any bandwidth, and a failed call loses one
// chunk only.
func (f *Fetcher) fetchFrom(ctx context.Context, address string, held wheelgauge.FleetState) (wheelgauge.FleetState, error) {
	for {
		p, err := f.requestChunk(ctx, address, held)
		if err != nil {
			f.chunkBytes = max(minChunkBytes, f.chunkBytes/2)
			return wheelgauge.FleetState{}, err
		}
		f.chunkBytes = min(maxChunkBytes, 2*f.chunkBytes)
		if p.Generation <= held.Generation {
			return wheelgauge.FleetState{}, errNoNewerState
		}
		s := wheelgauge.FleetState{Generation: p.Generation, Version: p.Version, Drained: p.Drained, Rollouts: p.Rollouts, Crashes: p.Crashes}
		if p.Packed.Size == 0 {
			return s, nil
		}
		if err := f.add(p); err != nil {
			return wheelgauge.FleetState{}, err
		}
		if len(f.data) == f.packed.Size {
			s.Crashes = f.crashes
			s.Body, err = f.decompress()
			return s, err
		}
	}
}

func (f *Fetcher) requestChunk(ctx context.Context, address string, held wheelgauge.FleetState) (wheelgauge.StatePart, error) {
	if err := ctx.Err(); err != nil {
		return wheelgauge.StatePart{}, err // calls observe deadlines, not cancellation
	}
	ctx, cancel := context.WithTimeout(ctx, chunkTimeout)
	defer cancel()
	var p wheelgauge.StatePart
	r := wheelgauge.StateRequest{Generation: held.Generation, Version: held.Version, Packed: f.packed, Offset: len(f.data), Most: f.chunkBytes}
	return p, f.client.Call(ctx, http.MethodPost, address, statefeed.Path, r, &p)
}

// add appends a chunk; one of another body restarts the transfer.
func (f *Fetcher) add(p wheelgauge.StatePart) error {
	if p.Packed != f.packed {
		f.packed, f.data = p.Packed, nil
	}
	if p.Offset == 0 {
		f.crashes = p.Crashes
	}
	if p.Offset != len(f.data) || len(p.Data) == 0 || len(f.data)+len(p.Data) > p.Packed.Size {
		f.reset()
		return errNotContiguous
	}
	f.data = append(f.data, p.Data...)
	return nil
}

func (f *Fetcher) reset() { f.packed, f.data = wheelgauge.PackedBody{}, nil }

// decompress returns the complete body; gzip verifies its checksum.
func (f *Fetcher) decompress() ([]byte, error) {
	defer f.reset()
	r, err := gzip.NewReader(bytes.NewReader(f.data))
	if err != nil {
		return nil, fmt.Errorf("decompress version %d: %w", f.packed.Version, err)
	}
	body, err := io.ReadAll(io.LimitReader(r, maxBodyBytes))
	if err != nil {
		return nil, fmt.Errorf("decompress version %d: %w", f.packed.Version, err)
	}
	return body, nil
}
