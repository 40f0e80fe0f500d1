package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// blockedWriter blocks writes while its mutex is held.
type blockedWriter struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

func TestBufferNeverBlocks(t *testing.T) {
	out := &blockedWriter{}
	out.mu.Lock()
	b := NewBuffer(out)
	for range 2 * maxQueuedLines {
		if n, err := b.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	if b.Dropped() < maxQueuedLines-1 {
		t.Errorf("%d of %d lines counted as dropped", b.Dropped(), 2*maxQueuedLines)
	}
	out.mu.Unlock()
	b.Close()
	<-b.done
	if text := out.buf.String(); !strings.Contains(text, "lines were dropped") {
		t.Error("expected a line that reports dropped lines, got none")
	}
}
