package serverconn

import (
	"fmt"
	"strings"
	"testing"
)

// No response counts as complete if net/http rejects it or reads it differently.
func TestMalformedResponsesAreNotComplete(t *testing.T) {
	versions := []string{"HTTP/1.1", "HTTP/1.0", "HTTP/0.9", "HTTP/1.2", "HTTP/2.0", "HTTP/5.1", "http/1.1", "HTTP/1", "HTTP/11.1", "HTTP/1.1\t", "ICY"}
	statuses := []string{
		"200 OK", "200", "200 ", "100 Continue", "101 Switching Protocols", "101 0", "101", "102 Processing", "103 Early Hints", "199 x", "204 No Content", "205 Reset Content",
		"304 Not Modified", "404 Not Found", "503 Service Unavailable", "599 x", "600 x", "999 x", "000 OK", "099 x", "20 OK", "2000 OK", "2x0 OK", "+20 OK", "-20 OK", " 200 OK", "", "OK 200",
	}
	heads := []string{
		"", "Content-Length: 3", "Content-Length: 0", "Content-Length: 03", "Content-Length: ", "Content-Length: +3", "Content-Length: -3", "Content-Length: 3 ", "Content-Length: 3,3", "Content-Length: 0x3",
		"Content-Length: 3|Content-Length: 3", "Content-Length: 3|Content-Length: 5", "Content-Length: 99999999999999999999", "Content-Length : 3", "content-length: 3", "Content-Length:3", "Content-Length>n3",
		"Transfer-Encoding: chunked", "Transfer-Encoding: Chunked", "transfer-encoding: chunked", "Transfer-Encoding: identity", "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked, identity",
		"Transfer-Encoding: chunked|Transfer-Encoding: chunked", "Transfer-Encoding: chunked|Transfer-Encoding: identity", "Transfer-Encoding: x|Transfer-Encoding: chunked", "Transfer-Encoding:", "Transfer-Encoding : chunked",
		"Transfer-Encoding: chunked|Content-Length: 3", "Content-Length: 3|Transfer-Encoding: chunked", "Transfer-Encoding: identity|Content-Length: 3",
		"X: a|  folded", "X: a|\tContent-Length: 3", " Content-Length: 3", "X", ": x", "X y: z", "X: a\rContent-Length: 3", "X: a\x00b", "X\x00: a", "X: a\nContent-Length: 3", "Connection: close", "Connection: close|Content-Length: 3",
		"Connection: keep-alive", "Content-Type: text/event-stream", "Trailer: X|Transfer-Encoding: chunked", "Upgrade: x|Connection: Upgrade|Content-Length: 3",
	}
	bodies := []string{"", "abc", "abcde", "3\r\nabc\r\n0\r\n\r\n", "3\r\nabc\r\n0\r\nX: y\r\n\r\n", "3\nabc\n0\n\n", "3;x=y\r\nabc\r\n0\r\n\r\n", "3\r\nabc\r\n", "+3\r\nabc\r\n0\r\n\r\n"}
	ends := []string{"\r\n", "\n"}
	tried, bad := 0, 0
	for _, version := range versions {
		for _, status := range statuses {
			for _, head := range heads {
				for _, body := range bodies {
					for _, end := range ends {
						lines := append([]string{fmt.Sprintf("%s %s", version, status)}, strings.Split(head, "|")...)
						if head == "" {
							lines = lines[:1]
						}
						in := strings.Join(lines, end) + end + end + body
						tried++
						if err := compare([]byte(in)); err != nil {
							if bad++; bad <= 20 {
								t.Error(err)
							}
						}
					}
				}
			}
		}
	}
	t.Logf("%d of %d responses are read differently by net/http", bad, tried)
}
