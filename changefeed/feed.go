// Package changefeed is the store's side of the feed of changes: it answers requests for what
// changed in its tables.
package changefeed

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"wheelgauge"
	"wheelgauge/changelog"
	"wheelgauge/peerhttp"
	"wheelgauge/tabledigest"
)

// Path is where stores serve changes.
const Path = "/v1/changes"

const (
	// maxBytes bounds the rows of a response, whatever is requested.
	maxBytes = 1 << 20
	// maxCachedBytes bounds the encoded responses that are kept: after one change all hosts ask
	// for the same.
	maxCachedBytes = 4 << 20
)

// Feed is safe for concurrent use.
type Feed struct {
	mu     sync.Mutex
	tables map[string]*changelog.Table
	// incomplete are the tables that may lack rows which requesters hold.
	incomplete map[string]bool
	// encoded holds responses by what they depend on.
	encoded      map[uint64]peerhttp.Body
	encodedBytes int
}

// New returns a feed without tables.
func New() *Feed {
	return &Feed{tables: map[string]*changelog.Table{}, incomplete: map[string]bool{}, encoded: map[uint64]peerhttp.Body{}}
}

// Add adds a table. What an incomplete one lacks stays with requesters that hold it.
func (f *Feed) Add(name string, t *changelog.Table, complete bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tables[name], f.incomplete[name] = t, !complete
}

// Digest returns the combined digest of all tables besides that of the configuration.
func (f *Feed) Digest() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var sum uint64
	for name, t := range f.tables {
		if name != wheelgauge.TableRoutes {
			sum = tabledigest.Combine(sum, name, t.Digest())
		}
	}
	return sum
}

// Response returns the encoded response to a request. head is sent with requests for the
// configuration, nil if there is nothing newer than what the requester holds.
func (f *Feed) Response(r wheelgauge.ChangesRequest, head *wheelgauge.ConfigHead) (peerhttp.Body, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	names := f.requested(r)
	key, err := f.cacheKey(r, names, head)
	if err != nil {
		return peerhttp.Body{}, err
	}
	if body, ok := f.encoded[key]; ok {
		return body, nil
	}
	body, err := peerhttp.EncodeBody(f.changes(r, names, head))
	if err != nil {
		return body, err
	}
	if f.encodedBytes += body.Len(); f.encodedBytes > maxCachedBytes {
		clear(f.encoded)
		f.encodedBytes = body.Len()
	}
	f.encoded[key] = body
	return body, nil
}

// requested returns the names of the tables for a request: the servers of the requester's region
// come first, then the hosts. The lock is held.
func (f *Feed) requested(r wheelgauge.ChangesRequest) []string {
	switch {
	case r.Config:
		return []string{wheelgauge.TableRoutes}
	case r.Only != "":
		return []string{r.Only}
	}
	rank := func(name string) int {
		switch name {
		case wheelgauge.ServersTable(r.Region):
			return 0
		case wheelgauge.TableHosts:
			return 1
		}
		return 2
	}
	names := slices.DeleteFunc(slices.Collect(maps.Keys(f.tables)), func(name string) bool { return name == wheelgauge.TableRoutes })
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b)) })
	return names
}

// cacheKey digests all that a response depends on. The lock is held.
func (f *Feed) cacheKey(r wheelgauge.ChangesRequest, names []string, head *wheelgauge.ConfigHead) (uint64, error) {
	data, err := json.Marshal(struct {
		Request wheelgauge.ChangesRequest
		Head    *wheelgauge.ConfigHead
	}{r, head})
	if err != nil {
		return 0, fmt.Errorf("encode request: %w", err)
	}
	for _, name := range names {
		if t := f.tables[name]; t != nil {
			data = binary.BigEndian.AppendUint64(append(data, name...), t.Digest())
			if f.incomplete[name] {
				data = append(data, 0)
			}
		}
	}
	return xxhash.Sum64(data), nil
}

// changes returns the response to a request. Each table gets half of the bytes that are left, so
// that none waits for another. The lock is held.
func (f *Feed) changes(r wheelgauge.ChangesRequest, names []string, head *wheelgauge.ConfigHead) wheelgauge.ChangesResponse {
	out := wheelgauge.ChangesResponse{Config: head}
	left := min(max(1, r.MaxBytes), maxBytes)
	if r.Config && head == nil {
		return out
	}
	for i, name := range names {
		t := f.tables[name]
		if t == nil {
			continue
		}
		held := heldOf(r, name)
		share := left
		if i < len(names)-1 {
			share = left / 2
		}
		c := t.Since(held, share, !f.incomplete[name])
		for _, row := range c.Rows {
			left -= len(row.Key) + len(row.Value)
		}
		left = max(1, left)
		out.Tables = append(out.Tables, c)
	}
	return out
}

func heldOf(r wheelgauge.ChangesRequest, name string) wheelgauge.HeldTable {
	i := slices.IndexFunc(r.Held, func(h wheelgauge.HeldTable) bool { return h.Table == name })
	if i < 0 {
		return wheelgauge.HeldTable{Table: name}
	}
	return r.Held[i]
}
