package routegate

import (
	"net/http"

	"wheelgauge/serverlimit"
	"wheelgauge/serverset"
)

// hearLimit takes what an answer says of the server's limit, and writes a line when that
// changes.
func (c *call) hearLimit(x *exchange, s *serverset.Server) {
	name := c.gate.options.Names.Limit
	if name == "" || x.head.StatusCode() == http.StatusMisdirectedRequest {
		return // another server answered
	}
	server, values := lifeOf(s), x.head.PeekAll(name)
	rate, named := least(values)
	switch {
	case named:
		if c.gate.options.Limits.Named(server, rate) {
			c.gate.options.Meter.Count("servers.limited")
			c.gate.options.Log.Info("A server names a limit.", "id", c.id, "server", server, "rate", rate, "status", x.head.StatusCode())
		}
	case len(values) > 0:
		c.gate.options.Meter.Count("servers.limit.unreadable")
	case isSuccess(x.head.StatusCode()) && c.gate.options.Limits.Absent(server, x.clock):
		c.gate.options.Log.Info("A server's limit ends.", "id", c.id, "server", server)
	}
}

// least returns the smallest limit among the values of a header; ok is false if none can
// be read.
func least(values [][]byte) (rate float64, ok bool) {
	for _, v := range values {
		if r, good := serverlimit.Parse(string(v)); good && (!ok || r < rate) {
			rate, ok = r, true
		}
	}
	return rate, ok
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}
