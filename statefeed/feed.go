// Package statefeed is a store's side of the transfer of the replicated state
// to entry hosts: the body of a configuration, compressed once and cut into
// parts.
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

// Path is where stores hand out parts.
const Path = "/v1/state"

const (
	// keptBytes is how much of packed bodies is kept, so that transfers end though
	// newer configurations come meanwhile: of 4,200 routes 90, as many as come in
	// 5 s at 60 ms from one to the next; a transfer takes some hundred ms.
	keptBytes = 8 << 20
	// mostPart bounds a part, in bytes.
	mostPart = 256 << 10
)

// packed is a compressed body, and the last state that was seen with it.
type packed struct {
	name  wheelgauge.PackedBody
	state wheelgauge.FleetState
	data  []byte
}

// Feed is safe for concurrent use.
type Feed struct {
	state func() wheelgauge.FleetState
	mu    sync.Mutex
	// bodies are those packed last, the newest at the end.
	bodies []*packed
}

// New returns a feed of the state that a function gives.
func New(state func() wheelgauge.FleetState) *Feed { return &Feed{state: state} }

// Part returns the part that is asked for: of the body named, if it is still
// kept, else of the newest from its beginning.
func (f *Feed) Part(r wheelgauge.StateRequest) (wheelgauge.StatePart, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state()
	if s.Generation <= r.Generation || s.Version == r.Version {
		return wheelgauge.StatePart{Generation: s.Generation, Version: s.Version, Drained: s.Drained, Rollouts: s.Rollouts, Packed: wheelgauge.PackedBody{Version: s.Version}}, nil
	}
	p := f.kept(r.Packed)
	if p == nil {
		var err error
		if p, err = f.pack(s); err != nil {
			return wheelgauge.StatePart{}, err
		}
	}
	if p.name != r.Packed {
		return p.part(0, r.Most), nil
	}
	return p.part(r.Offset, r.Most), nil
}

// kept returns a body that was packed earlier; nil when it is not kept. The lock
// is held.
func (f *Feed) kept(name wheelgauge.PackedBody) *packed {
	for _, p := range f.bodies {
		if p.name == name {
			return p
		}
	}
	return nil
}

// pack compresses the body of a state unless that was done; the lock is held.
func (f *Feed) pack(s wheelgauge.FleetState) (*packed, error) {
	at := slices.IndexFunc(f.bodies, func(p *packed) bool { return p.name.Version == s.Version })
	if at >= 0 {
		f.bodies[at].state = s
		return f.bodies[at], nil
	}
	data, err := compress(s.Body)
	if err != nil {
		return nil, fmt.Errorf("pack version %d: %w", s.Version, err)
	}
	p := &packed{name: wheelgauge.PackedBody{Version: s.Version, Size: len(data), Sum: crc32.ChecksumIEEE(data)}, state: s, data: data}
	f.bodies = append(f.bodies, p)
	f.forget()
	return p, nil
}

// forget drops the oldest bodies until the others fit; the newest always stays.
func (f *Feed) forget() {
	size, first := 0, len(f.bodies)
	for first > 0 && (first == len(f.bodies) || size+len(f.bodies[first-1].data) <= keptBytes) {
		first--
		size += len(f.bodies[first].data)
	}
	f.bodies = slices.Delete(f.bodies, 0, first)
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

func (p *packed) part(offset, most int) wheelgauge.StatePart {
	from := min(max(0, offset), len(p.data))
	to := min(from+min(max(1, most), mostPart), len(p.data))
	return wheelgauge.StatePart{
		Generation: p.state.Generation, Version: p.state.Version, Drained: p.state.Drained, Rollouts: p.state.Rollouts, Packed: p.name, Offset: from, Data: p.data[from:to],
	}
}
