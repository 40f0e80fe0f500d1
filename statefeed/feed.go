// Package statefeed is the store's side of the transfer of the replicated state
// to entry hosts: it serves the body of a configuration, compressed once, in
// chunks.
package statefeed

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"hash/crc32"
	"slices"
	"sync"

	"wheelgauge"
)

// Path is where stores serve chunks.
const Path = "/v1/state"

const (
	// maxCacheBytes bounds the cached compressed bodies, which let transfers complete while
	// newer configurations arrive. It holds 90 bodies of 4,200 routes each, as many as arrive
	// in 5 s at intervals of 60 ms; a transfer takes a few hundred ms.
	maxCacheBytes = 8 << 20
	// maxChunkBytes bounds a chunk, whatever the host requests.
	maxChunkBytes = 256 << 10
)

// compressedBody is a compressed body with the last state that contained it.
type compressedBody struct {
	id    wheelgauge.PackedBody
	state wheelgauge.FleetState
	data  []byte
}

// Feed serves chunks of the current state; it is safe for concurrent use.
type Feed struct {
	state func() wheelgauge.FleetState
	mu    sync.Mutex
	// cache holds the bodies compressed last, the newest at the end.
	cache []*compressedBody
}

// New returns a Feed of the state that the function returns.
func New(state func() wheelgauge.FleetState) *Feed { return &Feed{state: state} }

// Part returns the requested chunk if its body is still cached, and the first chunk of the
// newest body otherwise.
func (f *Feed) Part(r wheelgauge.StateRequest) (wheelgauge.StatePart, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state()
	if s.Generation <= r.Generation || s.Version == r.Version {
		return wheelgauge.StatePart{Generation: s.Generation, Version: s.Version, Drained: s.Drained, Rollouts: s.Rollouts, Packed: wheelgauge.PackedBody{Version: s.Version}}, nil
	}
	p := f.cached(r.Packed)
	if p == nil {
		var err error
		if p, err = f.compressed(s); err != nil {
			return wheelgauge.StatePart{}, err
		}
	}
	if p.id != r.Packed {
		return p.chunk(0, r.Most), nil
	}
	return p.chunk(r.Offset, r.Most), nil
}

// cached returns a body from the cache, or nil. The caller holds the lock.
func (f *Feed) cached(id wheelgauge.PackedBody) *compressedBody {
	for _, p := range f.cache {
		if p.id == id {
			return p
		}
	}
	return nil
}

// compressed returns the compressed body of a state, from the cache if it is there. The
// caller holds the lock.
func (f *Feed) compressed(s wheelgauge.FleetState) (*compressedBody, error) {
	i := slices.IndexFunc(f.cache, func(p *compressedBody) bool { return p.id.Version == s.Version })
	if i >= 0 {
		f.cache[i].state = s
		return f.cache[i], nil
	}
	data, err := compress(s.Body)
	if err != nil {
		return nil, fmt.Errorf("compress version %d: %w", s.Version, err)
	}
	p := &compressedBody{id: wheelgauge.PackedBody{Version: s.Version, Size: len(data), Sum: crc32.ChecksumIEEE(data)}, state: s, data: data}
	f.cache = append(f.cache, p)
	f.evict()
	return p, nil
}

// evict drops the oldest bodies until the rest fits into maxCacheBytes; the newest always stays.
func (f *Feed) evict() {
	size, first := 0, len(f.cache)
	for first > 0 && (first == len(f.cache) || size+len(f.cache[first-1].data) <= maxCacheBytes) {
		first--
		size += len(f.cache[first].data)
	}
	f.cache = slices.Delete(f.cache, 0, first)
}

func compress(body []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(body); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func (p *compressedBody) chunk(offset, maxBytes int) wheelgauge.StatePart {
	from := min(max(0, offset), len(p.data))
	to := min(from+min(max(1, maxBytes), maxChunkBytes), len(p.data))
	return wheelgauge.StatePart{
		Generation: p.state.Generation, Version: p.state.Version, Drained: p.state.Drained, Rollouts: p.state.Rollouts, Packed: p.id, Offset: from, Data: p.data[from:to],
	}
}
