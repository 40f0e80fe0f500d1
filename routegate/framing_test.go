package routegate

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

const (
	openHead    = "HTTP/1.1 200 OK\r\n" + signatureHeader + "\r\n"
	openHead10  = "HTTP/1.0 200 OK\r\n" + signatureHeader + "\r\n"
	eventOne    = "id: 1\ndata: a\n\n"
	eventTwo    = "id: 2\ndata: b\n\n"
	endOfChunks = "0\r\n\r\n"
)

// rawAnswer returns everything that a caller receives until the connection ends, and how it ends.
func rawAnswer(t *testing.T, c net.Conn, request string) (string, error) {
	t.Helper()
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(c)
	return string(answer), err
}

// ending is how an answer ends for a caller.
type ending string

const (
	byLength ending = "length"
	byChunks ending = "chunks"
	byClose  ending = "close"
	cutShort ending = "cut"
	byReset  ending = "reset"
)

// endingOf tells how an answer to a request that asked to close the connection ended.
func endingOf(answer string, err error) (ending, string) {
	head, body, _ := strings.Cut(answer, "\r\n\r\n")
	switch {
	case err != nil:
		return byReset, body
	case strings.Contains(head, "Content-Length"):
		return byLength, body
	case strings.Contains(head, "chunked") && strings.HasSuffix(body, endOfChunks):
		return byChunks, body
	case strings.Contains(head, "chunked"):
		return cutShort, body
	}
	return byClose, body
}

func TestAnswerIsFramedNoFurtherThanItsServerDid(t *testing.T) {
	large := strings.Repeat("x", maxBufferedBytes+10)
	tests := []struct {
		name    string
		path    string
		version string
		method  string
		answer  string
		ending  ending
	}{
		{"length", "/once/", "1.1", "GET", okAnswer, byLength},
		{"chunks", "/once/", "1.1", "GET", streamHead + chunk("ok") + endOfChunks, byLength},
		{"close", "/once/", "1.1", "GET", openHead + "ok", byClose},
		{"close, HTTP/1.0 server", "/once/", "1.1", "GET", openHead10 + "ok", byClose},
		{"close, HTTP/1.0 caller", "/once/", "1.0", "GET", openHead + "ok", byClose},
		{"close, empty", "/once/", "1.1", "GET", openHead, byClose},
		{"close, a failure", "/once/", "1.1", "GET", "HTTP/1.1 404 Not Found\r\n" + signatureHeader + "\r\nno", byClose},
		{"close, large", "/once/", "1.1", "GET", openHead + large, byClose},
		{"chunks, large", "/once/", "1.1", "GET", streamHead + chunk(large) + endOfChunks, byChunks},
		{"chunks, large, HTTP/1.0 caller", "/once/", "1.0", "GET", streamHead + chunk(large) + endOfChunks, byClose},
		{"chunks, large, without the last chunk", "/once/", "1.1", "GET", streamHead + chunk(large), cutShort},
		{"chunks, large, without the last chunk, HTTP/1.0 caller", "/once/", "1.0", "GET", streamHead + chunk(large), byReset},
		{"chunks, large, ends inside the last chunk's line", "/once/", "1.1", "GET", streamHead + chunk(large) + "0", cutShort},
		{"chunks, large, without the line end of a chunk", "/once/", "1.1", "GET", streamHead + strings.TrimSuffix(chunk(large), "\r\n"), cutShort},
		{"HEAD with a length", "/once/", "1.1", "HEAD", "HTTP/1.1 200 OK\r\n" + signatureHeader + "Content-Length: 7\r\n\r\n", byLength},
		{"HEAD without a length", "/once/", "1.1", "HEAD", openHead, byClose},
		{"HEAD of chunks", "/once/", "1.1", "HEAD", streamHead, byClose},
		{"204", "/once/", "1.1", "GET", "HTTP/1.1 204 No Content\r\n" + signatureHeader + "\r\n", byClose},
		{"304", "/once/", "1.1", "GET", "HTTP/1.1 304 Not Modified\r\n" + signatureHeader + "\r\n", byClose},
		{"304 with a length", "/once/", "1.1", "GET", "HTTP/1.1 304 Not Modified\r\n" + signatureHeader + "Content-Length: 7\r\n\r\n", byLength},
		{"stream of chunks", "/stream/", "1.1", "GET", streamHead + chunk(eventOne) + endOfChunks, byChunks},
		{"stream of chunks, HTTP/1.0 caller", "/stream/", "1.0", "GET", streamHead + chunk(eventOne) + endOfChunks, byClose},
		{"stream of chunks inside an event", "/stream/", "1.1", "GET", streamHead + chunk(eventOne+"id: 2") + endOfChunks, cutShort},
		{"stream of chunks inside an event, HTTP/1.0 caller", "/stream/", "1.0", "GET", streamHead + chunk(eventOne+"id: 2") + endOfChunks, byReset},
		{"stream with a length inside an event", "/stream/", "1.1", "GET", fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", signatureHeader, len(eventOne)+2, eventOne+"id"), cutShort},
		{"stream until close", "/stream/", "1.1", "GET", openHead + eventOne, byClose},
		{"stream until close, HTTP/1.0 server", "/stream/", "1.1", "GET", openHead10 + eventOne, byClose},
		{"stream until close inside an event", "/stream/", "1.1", "GET", openHead + eventOne + "id: 2\nda", byReset},
		{"stream until close inside an event, HTTP/1.0 caller", "/stream/", "1.0", "GET", openHead + eventOne + "id: 2\nda", byReset},
		{"stream of lines, not of events", "/stream/", "1.1", "GET", "HTTP/1.1 200 OK\r\n" + signatureHeader + "Content-Type: application/x-ndjson\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("{}\n{}\n") + endOfChunks, byChunks},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBackend(t, tt.answer)
			_, c := newGate(t, routes(), b)
			answer, err := rawAnswer(t, c, fmt.Sprintf("%s %s HTTP/%s\r\nHost: h\r\nX-Request-Id: r1\r\nConnection: close\r\n\r\n", tt.method, tt.path, tt.version))
			if got, body := endingOf(answer, err); got != tt.ending {
				t.Errorf("the answer ends by %s after %.60q, want %s", got, body, tt.ending)
			}
			if strings.Contains(tt.answer, " 204 ") && strings.Contains(answer, "Content-Length") {
				t.Errorf("a 204 has a length: %q", answer)
			}
		})
	}
}

func TestStreamIsNotEndedByAServerThatDoesNotMarkTheEnd(t *testing.T) {
	broken, open := streamHead+chunk(eventOne), openHead+eventTwo
	framed := streamHead + chunk(eventTwo) + endOfChunks
	tests := []struct {
		name   string
		script []string
		ending ending
	}{
		{"begun framed, resumed open", []string{broken, open}, cutShort},
		{"begun framed, resumed framed", []string{broken, framed}, byChunks},
		{"begun open, resumed framed", []string{openHead + eventOne + "id", framed}, byClose},
		{"begun open, resumed open", []string{openHead + eventOne + "id", open}, byClose},
		{"no event at all", []string{openHead, streamHead + chunk(eventOne+eventTwo) + endOfChunks}, byClose},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBackend(t, tt.script...)
			_, c := newGate(t, routes(), b, b)
			answer, err := rawAnswer(t, c, "GET /resume/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nConnection: close\r\n\r\n")
			got, body := endingOf(answer, err)
			if got != tt.ending || !strings.Contains(body, eventOne) || !strings.Contains(body, eventTwo) {
				t.Errorf("the answer ends by %s after %q, want %s after both events", got, body, tt.ending)
			}
		})
	}
}

func TestStreamsOfAServiceThatDoesNotMarkEndsMayBeResumed(t *testing.T) {
	b := newBackend(t, openHead+eventOne, streamHead+chunk(eventOne), openHead+eventTwo)
	g, c := newGate(t, routes(), b, b)
	if _, err := rawAnswer(t, c, "GET /resume/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	answer, err := rawAnswer(t, serveGate(t, g), "GET /resume/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: r2\r\n\r\n")
	if got, body := endingOf(answer, err); got != byClose || body != eventOne+eventTwo {
		t.Errorf("the answer ends by %s after %q, want close after both events", got, body)
	}
}

func TestServerThatCrashedAtAnEndIsNotTakenForDone(t *testing.T) {
	crashing := newBackend(t, openHead+"o")
	other := newBackend(t)
	_, c := newGate(t, routes(), crashing, other)
	// The connection in use lives on, new ones are refused.
	crashing.beforeAnswer = func() { _ = crashing.conn.Close() }
	resp, body, err := get(t, c, "/safe/", "")
	if err != nil || resp.StatusCode != http.StatusOK || body != "ok" {
		t.Errorf("got %v, %q, %v, want the answer of the other server", resp, body, err)
	}
}

func TestLargeAnswerOfAServerThatCrashedAtItsEndIsReset(t *testing.T) {
	crashing := newBackend(t, openHead+strings.Repeat("x", maxBufferedBytes+10))
	_, c := newGate(t, routes(), crashing)
	crashing.beforeAnswer = func() { _ = crashing.conn.Close() }
	answer, err := rawAnswer(t, c, "GET /once/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n\r\n")
	if got, _ := endingOf(answer, err); got != byReset {
		t.Errorf("the answer ends by %s after %d bytes, want reset", got, len(answer))
	}
}
