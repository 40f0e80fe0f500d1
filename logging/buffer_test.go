package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// stuck is a reader that takes nothing until it is let go.
type stuck struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

func TestBufferNeverBlocks(t *testing.T) {
	out := &stuck{}
	out.mu.Lock()
	b := NewBuffer(out)
	for range 2 * mostLines {
		if n, err := b.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	if b.Dropped() < mostLines-1 {
		t.Errorf("dropped %d of %d", b.Dropped(), 2*mostLines)
	}
	out.mu.Unlock()
	b.Close()
	<-b.done
	if text := out.buf.String(); !strings.Contains(text, "lines were dropped") {
		t.Error("nothing tells of dropped lines")
	}
}
