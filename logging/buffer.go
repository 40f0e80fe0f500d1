package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// mostLines wait for a slow reader; further ones are dropped and counted.
	mostLines = 4096
	// closeWait bounds the last lines' way out of a process that ends.
	closeWait = 200 * time.Millisecond
)

// Buffer is a writer that never blocks: lines wait in a bounded queue, and
// those that find it full are dropped and counted in a line of their own.
type Buffer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewBuffer returns a buffer before out.
func NewBuffer(out io.Writer) *Buffer {
	b := &Buffer{out: out, lines: make(chan []byte, mostLines), done: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer; p is one line.
func (b *Buffer) Write(p []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), p...):
	default:
		b.dropped.Add(1)
	}
	return len(p), nil
}

func (b *Buffer) run() {
	defer close(b.done)
	for line := range b.lines {
		// Whoever reads the log may be gone; the program goes on.
		_, _ = b.out.Write(line)
		if n := b.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(b.out, "log: %d lines were dropped: the reader is too slow\n", n)
		}
	}
}

// Dropped returns the lines dropped since the last that was told of.
func (b *Buffer) Dropped() int64 { return b.dropped.Load() }

// Close writes what waits, for a bounded time. Nothing may be written after it.
func (b *Buffer) Close() {
	b.once.Do(func() { close(b.lines) })
	timer := time.NewTimer(closeWait)
	defer timer.Stop()
	select {
	case <-b.done:
	case <-timer.C:
	}
}
