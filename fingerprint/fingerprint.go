// Package fingerprint tells requests apart by what they ask, whatever id a try
// of them carries.
package fingerprint

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"

	"wheelgauge"
)

// size is how many bytes of the sum are kept: no two requests of a day share 96
// bits, and nobody can choose a body that has another's.
const size = 12

// Of returns the fingerprint of a request. Requests have the same one if their
// method, host name, path with query, workspace and body are the same. BenchmarkOf:
// 11 us for a body of 12 kB.
func Of(method, host, uri []byte, workspace string, body []byte) wheelgauge.Fingerprint {
	sum := sha256.New()
	for _, part := range [][]byte{method, host, uri, []byte(workspace), body} {
		add(sum, part)
	}
	return wheelgauge.Fingerprint(base64.RawURLEncoding.EncodeToString(sum.Sum(nil)[:size]))
}

// add writes a part behind its length, so that no two lists of parts give the same bytes.
func add(sum hash.Hash, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	// A hash never returns an error.
	_, _ = sum.Write(length[:])
	_, _ = sum.Write(part)
}
