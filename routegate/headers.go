package routegate

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/callerhttp"
)

// hopByHop are the headers that apply to a single connection, in lower case.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "te": true, "trailer": true,
	"transfer-encoding": true, "upgrade": true, "content-length": true, "expect": true,
}

// originFields are the lower-case names of the headers that gateways send only to one another.
var originFields = map[string]bool{strings.ToLower(wheelgauge.HeaderStreamService): true, strings.ToLower(wheelgauge.HeaderStreamVersion): true}

// reservedNames are the headers that are removed from callers' requests and set by the
// gateway.
func reservedNames(n wheelgauge.HeaderNames) map[string]bool {
	out := map[string]bool{}
	for _, name := range append([]string{n.Deadline, n.Target, n.Priority, n.CacheSource, n.APIKey, n.Workspace, wheelgauge.HeaderForwardedFrom, wheelgauge.HeaderTrial, wheelgauge.HeaderWorkspace, wheelgauge.HeaderConfigVersion, wheelgauge.HeaderRouteDigest}, n.Reserved...) {
		if name != "" {
			out[strings.ToLower(name)] = true
		}
	}
	return out
}

// endToEndNames are the headers that a Connection header cannot remove: servers and callers
// tell requests and answers by them.
func endToEndNames(n wheelgauge.HeaderNames) map[string]bool {
	out := map[string]bool{}
	for _, name := range []string{n.RequestID, n.Signature, n.PromptParts, n.TokenCounts, n.OutputHint, n.Resumes} {
		if name != "" {
			out[strings.ToLower(name)] = true
		}
	}
	return out
}

// connectionTokens returns the header names listed in a Connection header.
func connectionTokens(connection []byte) map[string]bool {
	var out map[string]bool
	for name := range strings.SplitSeq(string(connection), ",") {
		if name = strings.ToLower(strings.TrimSpace(name)); name != "" {
			if out == nil {
				out = map[string]bool{}
			}
			out[name] = true
		}
	}
	return out
}

func appendHeader(dst []byte, name, value string) []byte {
	dst = append(dst, name...)
	dst = append(dst, ": "...)
	dst = append(dst, value...)
	return append(dst, "\r\n"...)
}

// requestHead renders the request line and headers sent to a server or to another gateway.
func (c *call) requestHead(set [][2]string) []byte {
	h := c.request.Header()
	dst := make([]byte, 0, 1024)
	dst = append(dst, h.Method()...)
	dst = append(dst, ' ')
	dst = append(dst, h.RequestURI()...)
	dst = append(dst, " HTTP/1.1\r\n"...)
	connectionHeaders := connectionTokens(h.Peek("Connection"))
	lastEvent := strings.ToLower(c.gate.options.Names.LastEventID)
	for name, value := range h.All() {
		lower := strings.ToLower(string(name))
		if hopByHop[lower] || originFields[lower] || c.gate.reservedHeaders[lower] || lower == lastEvent ||
			connectionHeaders[lower] && !c.gate.endToEndHeaders[lower] {
			continue
		}
		dst = appendHeader(dst, string(name), string(value))
	}
	if body := c.request.Body(); len(body) > 0 || !h.IsGet() && !h.IsHead() {
		dst = appendHeader(dst, "Content-Length", strconv.Itoa(len(body)))
	}
	if c.lastEventID != "" {
		dst = appendHeader(dst, c.gate.options.Names.LastEventID, c.lastEventID)
	}
	for _, s := range set {
		if s[0] != "" {
			dst = appendHeader(dst, s[0], s[1])
		}
	}
	return append(dst, "\r\n"...)
}

// remainingMS renders the time left until a deadline in whole milliseconds, at least 1.
func remainingMS(deadline time.Time) string {
	return strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10)
}

// responseFields returns the headers of an answer that are relayed to the caller.
func responseFields(h *fasthttp.ResponseHeader) []callerhttp.Field {
	connectionHeaders := connectionTokens(h.Peek("Connection"))
	fields := make([]callerhttp.Field, 0, 8)
	for name, value := range h.All() {
		lower := strings.ToLower(string(name))
		if hopByHop[lower] || connectionHeaders[lower] || originFields[lower] {
			continue
		}
		fields = append(fields, callerhttp.NewField(string(name), string(value)))
	}
	return fields
}
