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

// openWriteTimeout bounds each write of an answer that ends with its connection.
const openWriteTimeout = 30 * time.Second

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
		if err := writeOpen(c, head, body); err != nil {
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

// writeOpen writes a response, each part within openWriteTimeout.
func writeOpen(c net.Conn, head []byte, body io.Reader) error {
	_, err := io.Copy(timedWriter{c}, io.MultiReader(bytes.NewReader(head), body))
	return err
}

// timedWriter bounds the time of each write to a connection.
type timedWriter struct{ conn net.Conn }

// Write implements io.Writer.
func (w timedWriter) Write(p []byte) (int, error) {
	_ = w.conn.SetWriteDeadline(time.Now().Add(openWriteTimeout)) // fails only on a closed connection
	return w.conn.Write(p)
}
