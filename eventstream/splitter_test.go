package eventstream

import (
	"strings"
	"testing"
)

func TestSplitter(t *testing.T) {
	tests := []struct {
		name   string
		pieces []string
		whole  string
		rest   string
		last   string
		events int
	}{
		{"one event", []string{"id: 1\ndata: a\n\n"}, "id: 1\ndata: a\n\n", "", "1", 1},
		{"cut inside", []string{"id: 1\nda", "ta: a\n\nid: 2\ndata"}, "id: 1\ndata: a\n\n", "id: 2\ndata", "1", 1},
		{"cut in the empty line", []string{"id:7\ndata: a\n", "\n"}, "id:7\ndata: a\n\n", "", "7", 1},
		{"carriage returns", []string{"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"}, "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", "", "2", 2},
		{"no id", []string{"data: a\n\n"}, "data: a\n\n", "", "", 1},
		{"carriage returns only", []string{"id: 1\rdata: a\r\rid: 2\rda"}, "id: 1\rdata: a\r\r", "id: 2\rda", "1", 1},
		{"mixed line ends", []string{"id: 1\ndata: a\n\r\nid: 2\r\n"}, "id: 1\ndata: a\n\r\n", "id: 2\r\n", "1", 1},
		{"line ends after an event", []string{"data: a\n\n", "\n"}, "data: a\n\n", "\n", "", 1},
		{"nothing whole", []string{"data"}, "", "data", "", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s Splitter
			var whole strings.Builder
			for _, p := range tt.pieces {
				w, ok := s.Feed([]byte(p))
				if !ok {
					t.Fatal("Feed rejected an event as too long")
				}
				whole.Write(w)
			}
			if whole.String() != tt.whole || s.LastID() != tt.last || s.Events() != tt.events {
				t.Errorf("unexpected events: got %q, last ID %q, %d events", whole.String(), s.LastID(), s.Events())
			}
			if inside := strings.Trim(tt.rest, "\r\n") != ""; s.InsideEvent() != inside {
				t.Errorf("inside an event: %v, want %v", s.InsideEvent(), inside)
			}
			if rest := string(s.TakePending()); rest != tt.rest {
				t.Errorf("got rest %q, want %q", rest, tt.rest)
			}
		})
	}
}

func TestEndlessEvent(t *testing.T) {
	var s Splitter
	if _, ok := s.Feed(make([]byte, maxPendingBytes+1)); ok {
		t.Error("Feed accepted an event that exceeds maxPendingBytes")
	}
}
