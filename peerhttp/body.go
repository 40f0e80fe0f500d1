package peerhttp

import (
	"encoding/json"
	"fmt"

	"github.com/valyala/fasthttp"
)

// minCompressedBytes is the shortest response that is compressed: a shorter one takes one packet
// in any case.
const minCompressedBytes = 1400

// Body is a response in JSON, encoded once for many requests. It must not be changed.
type Body struct {
	data       []byte
	compressed bool
}

// EncodeBody encodes v, compressed if that pays.
func EncodeBody(v any) (Body, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return Body{}, fmt.Errorf("encode response: %w", err)
	}
	if len(data) < minCompressedBytes {
		return Body{data: data}, nil
	}
	return Body{data: fasthttp.AppendGzipBytesLevel(nil, data, fasthttp.CompressBestSpeed), compressed: true}, nil
}

// Len returns the length on the wire, in bytes.
func (b Body) Len() int { return len(b.data) }

// WriteBody responds with a body.
func WriteBody(ctx *fasthttp.RequestCtx, b Body) {
	ctx.SetContentType("application/json")
	if b.compressed {
		ctx.Response.Header.SetContentEncoding("gzip")
	}
	ctx.SetBody(b.data)
}
