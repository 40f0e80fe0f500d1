package routegate

import (
	"bytes"
	"net/http"

	"github.com/valyala/fasthttp"

	"wheelgauge/serverask"
	"wheelgauge/serverset"
)

// hearAsk takes what a server's answer asks of this host: a rest, or nothing more as it
// leaves. It tells whether the answer asks for a rest.
func (c *call) hearAsk(x *exchange, k *serverset.Pick) (rests bool) {
	status := x.head.StatusCode()
	if status == http.StatusMisdirectedRequest {
		return false // another server answered
	}
	c.hearLeaving(x, k)
	if status != http.StatusServiceUnavailable {
		return false
	}
	values := headerValues(x.head, "Retry-After")
	wait, ok := serverask.ParseRest(values, headerValues(x.head, "Date"))
	switch {
	case !ok && len(values) > 0:
		c.gate.options.Meter.Count("servers.rests.unreadable")
	case ok && wait > 0:
		c.gate.options.Meter.Count("servers.rests")
		if k.Rest(wait) {
			c.gate.options.Log.Info("A server asks for a rest.", "id", c.id, "server", k.Server().Life(), "rest_ms", wait.Milliseconds(), "status", status, "forwarded", c.forwarded)
		}
	}
	return ok && wait > 0
}

func (c *call) hearLeaving(x *exchange, k *serverset.Pick) {
	name := c.gate.options.Names.Leaving
	if name == "" {
		return
	}
	leaving, ok := serverask.ParseLeaving(headerValues(x.head, name))
	if !ok {
		c.gate.options.Meter.Count("servers.leaving.unreadable")
	}
	if leaving && k.Leave() {
		c.gate.options.Meter.Count("servers.leaving")
		c.gate.options.Log.Info("A server says that it leaves.", "id", c.id, "server", k.Server().Life(), "status", x.head.StatusCode(), "forwarded", c.forwarded)
	}
}

// headerValues returns all values of a header, whose name is written in any case.
func headerValues(h *fasthttp.ResponseHeader, name string) (values serverask.Values) {
	for n, value := range h.All() {
		if len(n) == len(name) && bytes.EqualFold(n, []byte(name)) {
			values = append(values, value)
		}
	}
	return values
}

// noteAsked writes a line when a request goes to a server that asked for none.
func (c *call) noteAsked(k *serverset.Pick) {
	asked, now := k.Asked(), c.gate.options.Clock.Now()
	if asked.Allows(now) {
		return
	}
	c.gate.options.Meter.Count("servers.asked.passed_over")
	c.gate.options.Log.Info("A request goes to a server that asked for none.", "id", c.id, "server", k.Server().Life(), "rest_left_ms", asked.Left(now).Milliseconds(),
		"leaving", asked.Leaving(), "forwarded", c.forwarded, "sends", c.sends, "resumed", c.request.Begun())
}
