package replica

import (
	"crypto/rand"
	"encoding/binary"
)

// newID returns a random, nonzero replica ID.
func newID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails: crypto/rand crashes the process instead
	return binary.LittleEndian.Uint64(b[:])>>1 | 1
}
