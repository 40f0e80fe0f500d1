package fingerprint

import (
	"fmt"
	"testing"
)

func ExampleOf() {
	first := Of([]byte("POST"), []byte("desk.example"), []byte("/explain/7"), "council", []byte("fine 12"))
	again := Of([]byte("POST"), []byte("desk.example"), []byte("/explain/7"), "council", []byte("fine 12"))
	fmt.Println(first == again, len(first))
	// Output: true 16
}

func TestSimilarRequestsDiffer(t *testing.T) {
	type request struct{ method, host, uri, workspace, body string }
	of := func(r request) string {
		return string(Of([]byte(r.method), []byte(r.host), []byte(r.uri), r.workspace, []byte(r.body)))
	}
	first := request{"POST", "h", "/a/b", "w", "body"}
	tests := []struct {
		name string
		r    request
	}{
		{"method", request{"PUT", "h", "/a/b", "w", "body"}},
		{"host", request{"POST", "g", "/a/b", "w", "body"}},
		{"path", request{"POST", "h", "/a/c", "w", "body"}},
		{"query", request{"POST", "h", "/a/b?c=1", "w", "body"}},
		{"workspace", request{"POST", "h", "/a/b", "v", "body"}},
		{"body", request{"POST", "h", "/a/b", "w", "bodz"}},
		{"boundary between parts", request{"POST", "h", "/a/bw", "", "body"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if of(tt.r) == of(first) {
				t.Errorf("%v has the same fingerprint as %v", tt.r, first)
			}
		})
	}
}

func BenchmarkOf(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 12 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			body := make([]byte, size)
			b.ReportAllocs()
			for b.Loop() {
				Of([]byte("POST"), []byte("desk.example"), []byte("/explain/7"), "council", body)
			}
		})
	}
}
