package peerhttp

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge/connpeek"
)

// Sender implements wheelgauge.Sender for the request of a connection. It is valid until the
// request's handler returns.
type Sender struct {
	conn     net.Conn
	patience time.Duration
}

// NewSender returns the sender of a request. patience is how long it waits for a response; 0 if
// that is not known.
func NewSender(ctx *fasthttp.RequestCtx, patience time.Duration) *Sender {
	return &Sender{conn: ctx.Conn(), patience: patience}
}

// Waiting implements wheelgauge.Sender.
func (s *Sender) Waiting() bool {
	if t, ok := s.conn.(*tls.Conn); ok {
		// The notice that a TLS connection is closed cannot be told from other data here.
		return !connpeek.Readable(t.NetConn())
	}
	return !connpeek.PeerClosed(s.conn)
}

// Patience implements wheelgauge.Sender.
func (s *Sender) Patience() time.Duration { return s.patience }
