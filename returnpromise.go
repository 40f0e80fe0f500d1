package wheelgauge

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"time"
)

// packedPromiseBytes is the packed size of a promise: 4 bytes of hash, 2 of body size and 2 of
// time.
const packedPromiseBytes = 8

// RequestHash is a short hash of a fingerprint.
type RequestHash uint32

// HashOf returns the hash of a fingerprint.
func HashOf(f Fingerprint) RequestHash { return RequestHash(crc32.ChecksumIEEE([]byte(f))) }

// ReturnPromise is a moment at which a refused caller was told to return.
type ReturnPromise struct {
	Hash RequestHash
	// BodySize is the lowest 16 bits of the body's size in bytes.
	BodySize uint16
	// In is the time left until the moment, in whole ms; negative once it has passed.
	In time.Duration
}

// ReturnPromises is a list of promises, packed in messages into one string of 11 bytes a promise.
type ReturnPromises []ReturnPromise

// MarshalText implements encoding.TextMarshaler.
func (p ReturnPromises) MarshalText() ([]byte, error) {
	packed := make([]byte, 0, packedPromiseBytes*len(p))
	for _, r := range p {
		packed = binary.BigEndian.AppendUint32(packed, uint32(r.Hash))
		packed = binary.BigEndian.AppendUint16(packed, r.BodySize)
		packed = binary.BigEndian.AppendUint16(packed, uint16(int16(min(max(r.In.Milliseconds(), -1<<15), 1<<15-1))))
	}
	return base64.RawStdEncoding.AppendEncode(nil, packed), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *ReturnPromises) UnmarshalText(text []byte) error {
	packed, err := base64.RawStdEncoding.AppendDecode(nil, text)
	if err != nil {
		return fmt.Errorf("decode promises: %w", err)
	}
	*p = nil
	for ; len(packed) >= packedPromiseBytes; packed = packed[packedPromiseBytes:] {
		*p = append(*p, ReturnPromise{
			Hash:     RequestHash(binary.BigEndian.Uint32(packed)),
			BodySize: binary.BigEndian.Uint16(packed[4:]),
			In:       time.Duration(int16(binary.BigEndian.Uint16(packed[6:]))) * time.Millisecond,
		})
	}
	return nil
}
