// Package fingerprint identifies requests by their content, independent of the id of an
// attempt.
package fingerprint

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"

	"wheelgauge"
)

const (
	// fingerprintSize is how many bytes of the hash are kept: at 96 bits, no two requests of
	// a day collide, and finding a body with the fingerprint of a given request is
	// infeasible.
	fingerprintSize = 12
	// typicalHeadSize is enough, in bytes, for everything but the body of most requests.
	typicalHeadSize = 512
)

// headPool holds buffers for the part of the input before the body.
var headPool = sync.Pool{New: func() any {
	head := make([]byte, 0, typicalHeadSize)
	return &head
}}

// Of returns the fingerprint of a request. Requests have the same fingerprint if their
// method, host name, path with query, workspace and body are the same. It takes 11 us for a
// body of 12 kB and 0.3 us without a body.
func Of(method, host, uri []byte, workspace string, body []byte) wheelgauge.Fingerprint {
	buf, ok := headPool.Get().(*[]byte)
	if !ok {
		buf = new([]byte)
	}
	defer headPool.Put(buf)
	head := (*buf)[:0]
	head = appendPart(head, method)
	head = appendPart(head, host)
	head = appendPart(head, uri)
	head = appendPart(head, workspace)
	head = binary.BigEndian.AppendUint64(head, uint64(len(body)))
	*buf = head
	sum := sha256.New()
	// A hash never returns an error.
	_, _ = sum.Write(head)
	_, _ = sum.Write(body)
	var out [sha256.Size]byte
	return wheelgauge.Fingerprint(base64.RawURLEncoding.EncodeToString(sum.Sum(out[:0])[:fingerprintSize]))
}

// OfPart returns the fingerprint of a part of prompts of a service; id is the hash of its name. It
// is shorter than those of requests, so the two never coincide.
func OfPart(service string, id uint64) wheelgauge.Fingerprint {
	var sum [8]byte
	binary.BigEndian.PutUint64(sum[:], id^xxhash.Sum64String(service))
	return wheelgauge.Fingerprint(base64.RawURLEncoding.EncodeToString(sum[:]))
}

// appendPart appends a part prefixed with its length, so that different lists of parts never
// give the same bytes.
func appendPart[T string | []byte](dst []byte, part T) []byte {
	dst = binary.BigEndian.AppendUint64(dst, uint64(len(part)))
	return append(dst, part...)
}
