package callerhttp

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
)

func TestCheckFraming(t *testing.T) {
	tests := []struct {
		name  string
		block string
		bad   bool
	}{
		{"plain", "Host: a\r\nContent-Length: 3\r\n\r\n", false},
		{"chunked", "Transfer-Encoding: chunked\r\n\r\n", false},
		{"two lengths", "Content-Length: 3\r\nContent-Length: 3\r\n\r\n", true},
		{"length and chunked", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		{"identity", "Transfer-Encoding: identity\r\n\r\n", true},
		{"chunked twice", "Transfer-Encoding: chunked, chunked\r\n\r\n", true},
		{"bare line feed", "Host: a\nContent-Length: 3\r\n\r\n", true},
		{"carriage return inside", "Host: a\rX: b\r\n\r\n", true},
		{"folded", "Host: a\r\n b\r\n\r\n", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if err := checkFraming([]byte(tt.block)); (err != nil) != tt.bad {
				t.Errorf("got %v, want an error: %v", err, tt.bad)
			}
		})
	}
}

// A request target that is a whole URL is the same request as its path at its host.
func TestWholeURLAsTarget(t *testing.T) {
	tests := []struct {
		target, host string
		status       int
		path         string
	}{
		{"http://h/a?b=http://x/", "other", 200, "/a?b=http://x/"},
		{"HTTP://h:80/a", "h", 200, "/a"},
		{"http://h", "h", 200, "/"},
		{"http://h?b", "h", 200, "/?b"},
		{"/a?u=http://h/", "h", 200, "/a?u=http://h/"},
		{"http:///a", "h", 400, ""},
		{"http://user@h/a", "h", 400, ""},
	}
	for _, tt := range tests {
		got := make(chan string, 1)
		_, c := listen(t, func(_ context.Context, r *Request) {
			got <- string(r.Header().Host()) + " " + string(r.Header().RequestURI())
			_ = r.Respond(http.StatusOK, nil, nil)
		})
		if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", tt.target, tt.host); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != tt.status {
			t.Errorf("%s: got status %d, want %d", tt.target, resp.StatusCode, tt.status)
			continue
		}
		if tt.status != http.StatusOK {
			continue
		}
		if host, path, _ := strings.Cut(<-got, " "); !strings.HasPrefix(host, "h") || path != tt.path {
			t.Errorf("%s: served as %s at host %s, want %s at h", tt.target, path, host, tt.path)
		}
	}
}
