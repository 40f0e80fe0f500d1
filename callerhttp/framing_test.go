package callerhttp

import "testing"

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
