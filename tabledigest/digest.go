// Package tabledigest computes digests of tables that depend on their rows only, not on the order
// in which these came, and that are updated row by row.
package tabledigest

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of buckets into which keys are divided: with 10,000 rows, a single one
// that differs costs the transfer of 40.
const Buckets = 256

// Digest is the digest of a table; the zero value is that of an empty one.
type Digest struct {
	sum     uint64
	buckets [Buckets]uint64
}

// Row returns the digest of a row.
func Row(key string, value []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key) // never fails
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(value)
	return d.Sum64()
}

// Bucket returns the number of the bucket of a key.
func Bucket(key string) int { return int(xxhash.Sum64String(key) % Buckets) }

// Add adds a row with a digest to a bucket.
func (d *Digest) Add(bucket int, row uint64) {
	d.sum += row
	d.buckets[bucket] += row
}

// Remove removes a row with a digest from a bucket.
func (d *Digest) Remove(bucket int, row uint64) {
	d.sum -= row
	d.buckets[bucket] -= row
}

// Sum returns the digest of all rows, 0 without any.
func (d *Digest) Sum() uint64 { return d.sum }

// Bytes returns the digests of all buckets, big-endian.
func (d *Digest) Bytes() []byte {
	out := make([]byte, 0, 8*Buckets)
	for _, b := range d.buckets {
		out = binary.BigEndian.AppendUint64(out, b)
	}
	return out
}

// Differing returns the numbers of the buckets that differ from those of encoded digests. All that
// have rows do if the encoding has another length, as that of an empty table.
func (d *Digest) Differing(encoded []byte) []int {
	var out []int
	whole := len(encoded) == 8*Buckets
	for i, b := range d.buckets {
		var other uint64
		if whole {
			other = binary.BigEndian.Uint64(encoded[8*i:])
		}
		if b != other {
			out = append(out, i)
		}
	}
	return out
}

// Combine adds the digest of a named table to that of several; empty tables do not count.
func Combine(sum uint64, table string, digest uint64) uint64 {
	if digest == 0 {
		return sum
	}
	return sum + Row(table, binary.BigEndian.AppendUint64(nil, digest))
}
