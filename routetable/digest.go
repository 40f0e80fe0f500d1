package routetable

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"wheelgauge"
)

// Digest returns a digest of what a route and a workspace allow: which services may run a request,
// where, and how often. It is 0 without a route. Both may be nil.
func Digest(r *wheelgauge.PathRoute, w *wheelgauge.Workspace) uint64 {
	if r == nil {
		return 0
	}
	var buf [256]byte
	data := appendText(appendText(buf[:0], r.Prefix), string(r.Kind))
	for _, s := range r.Shares {
		data = binary.AppendVarint(appendText(data, s.Service), int64(s.Weight))
	}
	data = appendTexts(data, r.HomeRegions)
	data = binary.AppendVarint(data, int64(r.MaxAttempts))
	if r.Resumable {
		data = append(data, 1)
	}
	if w != nil {
		data = appendTexts(appendText(data, w.Name), w.HomeRegions)
	}
	return max(1, xxhash.Sum64(data))
}

// appendText appends a text so that it cannot run into the next one.
func appendText(dst []byte, s string) []byte {
	return append(binary.AppendUvarint(dst, uint64(len(s))), s...)
}

func appendTexts(dst []byte, texts []string) []byte {
	dst = binary.AppendUvarint(dst, uint64(len(texts)))
	for _, s := range texts {
		dst = appendText(dst, s)
	}
	return dst
}
