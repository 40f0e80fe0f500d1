package wheelgauge

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"time"
)

// streamKeyBytes is how many bytes of the hash are kept: at 96 bits, no two requests of a day
// collide.
const streamKeyBytes = 12

// StreamKey identifies a stream by the request that brought its first event.
type StreamKey string

// NewStreamKey returns the key of the stream that a request began.
func NewStreamKey(requestID string) StreamKey {
	sum := sha256.Sum256([]byte(requestID))
	return StreamKey(base64.RawURLEncoding.EncodeToString(sum[:streamKeyBytes]))
}

// StreamOrigin is what began a stream. Only servers of this version of the service may continue
// it.
type StreamOrigin struct {
	Key     StreamKey `json:"k"`
	Service string    `json:"s"`
	// Version is the version of the software of the server that sent the first event.
	Version string `json:"v,omitempty"`
	// TTLMS is how much longer the stream may be taken up, in ms.
	TTLMS int64 `json:"t"`
}

// StreamQuery asks what began a stream. An empty key asks only for the sole version of the
// service.
type StreamQuery struct {
	Key StreamKey `json:"k,omitempty"`
	// Service is the only service that can have begun the stream as far as the host knows, empty
	// if there are several; WithinMS is how long ago it may have begun, in ms.
	Service  string `json:"s,omitempty"`
	WithinMS int64  `json:"w,omitempty"`
	// Host and Path are those of the request. Whoever names a sole version must also know that
	// they have led to this service only.
	Host string `json:"h,omitempty"`
	Path string `json:"p,omitempty"`
	// ReturnMS is how long after it broke off a stream may be taken up, in ms.
	ReturnMS int64 `json:"r,omitempty"`
}

// StreamOrigins holds what began streams.
type StreamOrigins interface {
	// Record records, at its first event, what began a stream. It does not block. implied is set
	// if only this service can have begun streams of the route, so that its sole version says the
	// same.
	Record(o StreamOrigin, implied bool)
	// Find returns what began a stream; ok is false if that is not known, and several is set if
	// several versions may have begun it, whatever the host's own lists say.
	Find(ctx context.Context, q StreamQuery) (o StreamOrigin, ok, several bool)
}

// StreamOriginsRequest tells a store what began streams, or asks it.
type StreamOriginsRequest struct {
	Origins []StreamOrigin `json:"o,omitempty"`
	Query   *StreamQuery   `json:"q,omitempty"`
}

// StreamOriginsResponse is a store's response.
type StreamOriginsResponse struct {
	// StoreBoot identifies the start of the store, which holds nothing from before.
	StoreBoot uint64 `json:"b"`
	// Found is what began the stream asked for; nil if the store does not know.
	Found *StreamOrigin `json:"o,omitempty"`
	// Sole is the version of the service if it is the only one that can have begun the stream.
	Sole *string `json:"v,omitempty"`
	// Several is set if the store knows of several services or versions that may have begun the
	// stream, Outdated if its list of a region is too old to tell.
	Several  bool `json:"m,omitempty"`
	Outdated bool `json:"u,omitempty"`
}

// TTL returns how much longer the stream may be taken up.
func (o StreamOrigin) TTL() time.Duration { return time.Duration(o.TTLMS) * time.Millisecond }

// Within returns how long ago the stream may have begun.
func (q StreamQuery) Within() time.Duration { return time.Duration(q.WithinMS) * time.Millisecond }

// ReturnTime returns how long after it broke off the stream may be taken up.
func (q StreamQuery) ReturnTime() time.Duration {
	return time.Duration(q.ReturnMS) * time.Millisecond
}
