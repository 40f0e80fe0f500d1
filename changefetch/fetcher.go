// Package changefetch is the requester's side of the feed of changes: it keeps replicas of a
// store's tables current.
package changefetch

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"wheelgauge"
	"wheelgauge/changefeed"
	"wheelgauge/peerhttp"
	"wheelgauge/tabledigest"
	"wheelgauge/tablereplica"
)

const (
	// maxRowBytes bounds the rows of one response, before compression: it occupies a host's link
	// of 10 Mbit/s, which callers share, for some 35 ms.
	maxRowBytes = 128 << 10
	// minRowBytes is requested over links where larger responses time out.
	minRowBytes = 4 << 10
	// callTimeout bounds one call: several round trips and a busy store.
	callTimeout = time.Second
)

// Update is what one response changed of a table.
type Update struct {
	Table string
	// Rows are to be set or removed, in order.
	Rows []wheelgauge.TableRow
	// Current is set if the table is now the store's, or has all that an incomplete one has.
	Current bool
}

// Batch is what one response changed.
type Batch struct {
	Updates []Update
	// Config is the replicated state of a request for the configuration; nil if the store holds
	// none that is newer.
	Config *wheelgauge.ConfigHead
	// Current is set if all tables are current.
	Current bool
}

// Fetcher makes one call at a time; only Digest is safe for concurrent use. What a call brought
// is kept when the next one fails, and any store can continue.
type Fetcher struct {
	client   *peerhttp.Client
	replicas map[string]*tablereplica.Replica
	// rowBytes is how much the next response may hold.
	rowBytes int
	digest   atomic.Uint64
}

// New returns a Fetcher that holds nothing and calls stores through client.
func New(client *peerhttp.Client) *Fetcher {
	return &Fetcher{client: client, replicas: map[string]*tablereplica.Replica{}, rowBytes: maxRowBytes}
}

// Hold sets the rows that the requester holds of a table.
func (f *Fetcher) Hold(table string, rows []wheelgauge.TableRow) {
	f.replicas[table] = tablereplica.New(table, rows...)
	f.digest.Store(f.combined())
}

// Digest returns the combined digest of all tables held.
func (f *Fetcher) Digest() uint64 { return f.digest.Load() }

// Len returns the number of rows held of a table.
func (f *Fetcher) Len(table string) int {
	if r := f.replicas[table]; r != nil {
		return r.Len()
	}
	return 0
}

// Fetch requests the next changes from a store. The request's Held and MaxBytes are filled in.
func (f *Fetcher) Fetch(ctx context.Context, address string, r wheelgauge.ChangesRequest) (Batch, error) {
	if err := ctx.Err(); err != nil {
		return Batch{}, err // calls observe deadlines, not cancellation
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r.MaxBytes = f.rowBytes
	for _, name := range slices.Sorted(maps.Keys(f.replicas)) { // equal requests are equal in JSON
		if r.Only == "" || r.Only == name {
			r.Held = append(r.Held, f.replicas[name].Held())
		}
	}
	var resp wheelgauge.ChangesResponse
	if err := f.client.Call(ctx, http.MethodPost, address, changefeed.Path, r, &resp); err != nil {
		f.rowBytes = max(minRowBytes, f.rowBytes/2)
		return Batch{}, fmt.Errorf("fetch changes from %s: %w", address, err)
	}
	f.rowBytes = min(maxRowBytes, 2*f.rowBytes)
	return f.apply(resp)
}

func (f *Fetcher) apply(resp wheelgauge.ChangesResponse) (Batch, error) {
	out := Batch{Config: resp.Config, Current: true}
	var errs []error
	for _, c := range resp.Tables {
		replica := f.replicas[c.Table]
		if replica == nil {
			replica = tablereplica.New(c.Table)
			f.replicas[c.Table] = replica
		}
		rows, err := replica.Apply(c)
		errs = append(errs, err)
		u := Update{Table: c.Table, Rows: rows, Current: replica.Digest() == c.Digest || c.Incomplete && c.Next == 0}
		out.Current = out.Current && u.Current
		out.Updates = append(out.Updates, u)
	}
	f.digest.Store(f.combined())
	return out, errors.Join(errs...)
}

func (f *Fetcher) combined() uint64 {
	var sum uint64
	for name, r := range f.replicas {
		sum = tabledigest.Combine(sum, name, r.Digest())
	}
	return sum
}
