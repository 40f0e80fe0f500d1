// Package tablereplica follows a table of a store by its changes. It holds digests of the rows
// only; the rows themselves are passed on.
package tablereplica

import (
	"errors"
	"fmt"

	"wheelgauge"
	"wheelgauge/tabledigest"
)

var (
	errNotContiguous = errors.New("rows do not follow those received so far")
	errWrongDigest   = errors.New("digest differs after a step")
)

// Replica is not safe for concurrent use.
type Replica struct {
	table   string
	buckets [tabledigest.Buckets]map[string]uint64
	digest  tabledigest.Digest
	size    int
	// target and pending are a step of which some rows have been received.
	target  uint64
	pending []wheelgauge.TableRow
	// compare is set once the store does not know the digest; from is the first bucket to compare
	// with a store whose table is not complete.
	compare bool
	from    int
}

// New returns a replica of a table that holds the given rows.
func New(table string, rows ...wheelgauge.TableRow) *Replica {
	r := &Replica{table: table}
	r.set(rows)
	return r
}

// Digest returns the digest of the rows passed on.
func (r *Replica) Digest() uint64 { return r.digest.Sum() }

// Len returns the number of rows passed on.
func (r *Replica) Len() int { return r.size }

// Held returns what to tell a store in the next request.
func (r *Replica) Held() wheelgauge.HeldTable {
	held := wheelgauge.HeldTable{Table: r.table, Digest: r.digest.Sum(), Target: r.target, Offset: len(r.pending)}
	if r.compare {
		held.Buckets, held.From = r.digest.Bytes(), r.from
	}
	return held
}

// Apply takes changes and returns the rows to pass on, in order. After an error the next request
// compares all buckets.
func (r *Replica) Apply(c wheelgauge.TableChanges) ([]wheelgauge.TableRow, error) {
	r.from = c.Next
	switch {
	case c.Incomplete:
		r.dropPending()
		r.set(c.Rows)
		return c.Rows, nil
	case c.Unknown:
		r.dropPending()
		r.compare = true
		return nil, nil
	case len(c.Buckets) > 0:
		r.dropPending()
		rows := append(r.missing(c), c.Rows...)
		r.set(rows)
		r.compare = r.digest.Sum() != c.Digest
		return rows, nil
	case c.After == 0 && len(c.Rows) == 0:
		return nil, nil
	}
	return r.applyStep(c)
}

// applyStep takes rows of the log.
func (r *Replica) applyStep(c wheelgauge.TableChanges) ([]wheelgauge.TableRow, error) {
	if c.Offset == 0 {
		r.dropPending()
	}
	if c.Offset != len(r.pending) || c.Offset > 0 && r.target != c.After && c.Partial {
		r.dropPending()
		return nil, errNotContiguous
	}
	rows := append(r.pending, c.Rows...)
	if c.Partial {
		r.target, r.pending = c.After, rows
		return nil, nil
	}
	r.dropPending()
	r.set(rows)
	r.compare = r.digest.Sum() != c.After
	if r.compare {
		return rows, fmt.Errorf("table %s: %w", r.table, errWrongDigest)
	}
	return rows, nil
}

func (r *Replica) dropPending() { r.target, r.pending = 0, nil }

// missing returns the removals of the rows that are held in replaced buckets and not sent.
func (r *Replica) missing(c wheelgauge.TableChanges) []wheelgauge.TableRow {
	sent := make(map[string]bool, len(c.Rows))
	for _, row := range c.Rows {
		sent[row.Key] = true
	}
	var out []wheelgauge.TableRow
	for _, i := range c.Buckets {
		if i < 0 || i >= tabledigest.Buckets {
			continue
		}
		for key := range r.buckets[i] {
			if !sent[key] {
				out = append(out, wheelgauge.TableRow{Key: key})
			}
		}
	}
	return out
}

func (r *Replica) set(rows []wheelgauge.TableRow) {
	for _, row := range rows {
		i := tabledigest.Bucket(row.Key)
		if old, ok := r.buckets[i][row.Key]; ok {
			r.digest.Remove(i, old)
			delete(r.buckets[i], row.Key)
			r.size--
		}
		if row.Value == nil {
			continue
		}
		if r.buckets[i] == nil {
			r.buckets[i] = map[string]uint64{}
		}
		digest := tabledigest.Row(row.Key, row.Value)
		r.buckets[i][row.Key] = digest
		r.digest.Add(i, digest)
		r.size++
	}
}
