package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/connclose"
	"wheelgauge/quarantine"
	"wheelgauge/relay"
)

// lateWriteTime is for answers that come at the last moment of their request.
const lateWriteTime = 500 * time.Millisecond

var (
	errStreamCut  = errors.New("the stream has no end")
	errServerGone = errors.New("the connection ended and the server refuses a new one")
)

// checkEnd returns why an answer of which body was read must not be passed on as whole.
func (g *Gateway) checkEnd(rq *request, answer *wheelgauge.Response, body []byte) error {
	if len(body) == maxBufferedBody {
		return nil // there may be more
	}
	if strings.HasPrefix(answer.ContentType, eventStream) && !relay.IsComplete(body) {
		return errStreamCut
	}
	if answer.EndUnknown && g.localServerGone(rq) {
		return errServerGone
	}
	return nil
}

// localServerGone reports whether the server of this region that answers a request refuses new
// connections.
func (g *Gateway) localServerGone(rq *request) bool {
	to := rq.target.Load()
	if to.region != g.options.Region {
		return false
	}
	s := rq.catalog.Server(to.server)
	if s == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(g.ctx, quarantine.ProbeTimeout)
	defer cancel()
	return !g.servers.Reachable(ctx, s.Address)
}

// replyOpen passes on an answer that ends with its connection, so that it ends so for the caller
// too: a length or a last chunk would vouch for an end that may be a break. A break that shows is
// passed on as a reset.
func (g *Gateway) replyOpen(ctx *fasthttp.RequestCtx, rq *request, body io.Reader, closer io.Closer) {
	h := &ctx.Response.Header
	h.SetContentLength(0) // drops the encoding
	h.SetConnectionClose()
	head := openHead(h)
	g.meter.Count("answers.unframed")
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		defer g.serving.Leave()
		defer func() { _ = closer.Close() }() // read as far as possible
		connclose.ResetOnClose(c, true)
		if err := writeOpen(c, head, body, func() time.Time { return g.localDeadline(rq) }); err != nil {
			g.options.Log.Info("An answer is cut.", "id", rq.call.ID, "cause", err.Error())
			connclose.Reset(c)
			return
		}
		connclose.ResetOnClose(c, false)
		g.observeAnswer(rq)
	})
}

// openHead renders a response's head without a length.
func openHead(h *fasthttp.ResponseHeader) []byte {
	var out []byte
	for line := range bytes.SplitAfterSeq(h.Header(), []byte("\r\n")) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if !bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)) && !bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)) {
			out = append(out, line...)
		}
	}
	return out
}

// writeOpen writes a response. Its caller may read it as slowly as it likes until the time of the
// request is over.
func writeOpen(c net.Conn, head []byte, body io.Reader, expires func() time.Time) error {
	_, err := io.Copy(boundedWriter{c, expires}, io.MultiReader(bytes.NewReader(head), body))
	return err
}

// boundedWriter bounds writes to a connection by the time that its request has left.
type boundedWriter struct {
	conn    net.Conn
	expires func() time.Time
}

// Write implements io.Writer.
func (w boundedWriter) Write(p []byte) (int, error) {
	_ = w.conn.SetWriteDeadline(w.expires().Add(lateWriteTime)) // fails only on a closed connection
	return w.conn.Write(p)
}
