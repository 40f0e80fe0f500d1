// Package changelog is a table of rows with the log of its last changes, from which whoever holds
// an earlier state gets what changed since.
package changelog

import (
	"cmp"
	"slices"
	"sync"

	"wheelgauge"
	"wheelgauge/tabledigest"
)

const (
	// maxSteps bounds the log: 17 minutes of four steps a second.
	maxSteps = 4096
	// maxLogBytes bounds the rows of the log, which are shared with the table while they are
	// the newest.
	maxLogBytes = 8 << 20
)

// row is the value of a row and its digest.
type row struct {
	value  []byte
	digest uint64
}

// step is one change of the table. Its rows are sorted by key, so that it is the same at each
// store that made it.
type step struct {
	before, after uint64
	rows          []wheelgauge.TableRow
	bytes         int
}

// Table is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	buckets [tabledigest.Buckets]map[string]row
	digest  tabledigest.Digest
	size    int
	// log holds the last steps, the oldest first.
	log      []step
	logBytes int
}

// New returns an empty table.
func New() *Table { return &Table{} }

// Digest returns the digest of all rows.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest.Sum()
}

// Len returns the number of rows.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.size
}

// Apply makes one step of the rows that differ from the table's own.
func (t *Table) Apply(rows []wheelgauge.TableRow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := step{before: t.digest.Sum()}
	for _, r := range rows {
		if t.set(r) {
			s.rows = append(s.rows, r)
			s.bytes += size(r)
		}
	}
	if len(s.rows) == 0 {
		return
	}
	slices.SortStableFunc(s.rows, func(a, b wheelgauge.TableRow) int { return cmp.Compare(a.Key, b.Key) })
	s.after = t.digest.Sum()
	t.log = append(t.log, s)
	t.logBytes += s.bytes
	for len(t.log) > maxSteps || t.logBytes > maxLogBytes && len(t.log) > 1 {
		t.logBytes -= t.log[0].bytes
		t.log[0] = step{}
		t.log = t.log[1:]
	}
}

// set sets or removes one row; false means that nothing changed. The lock is held.
func (t *Table) set(r wheelgauge.TableRow) bool {
	i := tabledigest.Bucket(r.Key)
	old, held := t.buckets[i][r.Key]
	if r.Value == nil {
		if held {
			t.digest.Remove(i, old.digest)
			delete(t.buckets[i], r.Key)
			t.size--
		}
		return held
	}
	fresh := row{r.Value, tabledigest.Row(r.Key, r.Value)}
	if held && old.digest == fresh.digest {
		return false
	}
	if t.buckets[i] == nil {
		t.buckets[i] = map[string]row{}
	}
	if held {
		t.digest.Remove(i, old.digest)
	} else {
		t.size++
	}
	t.digest.Add(i, fresh.digest)
	t.buckets[i][r.Key] = fresh
	return true
}

func size(r wheelgauge.TableRow) int { return len(r.Key) + len(r.Value) }

// Rows returns all rows, in no order.
func (t *Table) Rows() []wheelgauge.TableRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]wheelgauge.TableRow, 0, t.size)
	for _, bucket := range t.buckets {
		for key, r := range bucket {
			out = append(out, wheelgauge.TableRow{Key: key, Value: r.value})
		}
	}
	return out
}

// Since returns changes of at most maxBytes, but at least one row or bucket, that lead from what
// the requester holds towards the table. What a table that is not complete lacks stays with
// requesters that hold it.
func (t *Table) Since(held wheelgauge.HeldTable, maxBytes int, complete bool) wheelgauge.TableChanges {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := wheelgauge.TableChanges{Table: held.Table, Digest: t.digest.Sum()}
	if held.Digest == out.Digest {
		return out
	}
	if i := t.find(held); i >= 0 {
		t.addSteps(&out, i, held, maxBytes)
		return out
	}
	if held.Digest != 0 && held.Buckets == nil {
		out.Unknown = true
		return out
	}
	out.Incomplete = held.Digest != 0 && !complete
	t.addBuckets(&out, held, maxBytes)
	return out
}

// find returns the number of the step that begins at the digest held, -1 without one. An empty
// table is not continued by the log, which may be longer than the table. The lock is held.
func (t *Table) find(held wheelgauge.HeldTable) int {
	if held.Digest == 0 {
		return -1
	}
	for i, s := range slices.Backward(t.log) {
		if s.before == held.Digest {
			return i
		}
	}
	return -1
}

// addSteps adds the rest of a step, and the steps after it that fit as a whole. The lock is held.
func (t *Table) addSteps(out *wheelgauge.TableChanges, i int, held wheelgauge.HeldTable, maxBytes int) {
	first, offset := t.log[i], 0
	if held.Target == first.after {
		offset = min(max(0, held.Offset), len(first.rows))
	}
	out.After, out.Offset = first.after, offset
	used := 0
	for _, r := range first.rows[offset:] {
		if used > 0 && used+size(r) > maxBytes {
			out.Partial = true
			return
		}
		out.Rows = append(out.Rows, r)
		used += size(r)
	}
	for _, s := range t.log[i+1:] {
		if used += s.bytes; used > maxBytes {
			return
		}
		out.Rows = append(out.Rows, s.rows...)
		out.After = s.after
	}
}

// addBuckets adds buckets that differ from those of the requester. The lock is held.
func (t *Table) addBuckets(out *wheelgauge.TableChanges, held wheelgauge.HeldTable, maxBytes int) {
	used := 0
	for _, i := range t.digest.Differing(held.Buckets) {
		if out.Incomplete && i < held.From {
			continue
		}
		bytes := 0
		for key, r := range t.buckets[i] {
			bytes += len(key) + len(r.value)
		}
		if used > 0 && used+bytes > maxBytes {
			if out.Incomplete {
				out.Next = i
			}
			return
		}
		used += bytes
		if !out.Incomplete {
			out.Buckets = append(out.Buckets, i)
		}
		for key, r := range t.buckets[i] {
			out.Rows = append(out.Rows, wheelgauge.TableRow{Key: key, Value: r.value})
		}
	}
}
