package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the number of lines queued for a slow reader; further ones are dropped
	// and counted.
	maxQueuedLines = 4096
	// flushTimeout bounds the time for writing the queued lines when the process exits.
	flushTimeout = 200 * time.Millisecond
)

// Buffer is a writer that never blocks: lines are queued, and lines written while the queue
// is full are dropped; their number is logged in a line of its own.
type Buffer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewBuffer returns a buffer that writes to out.
func NewBuffer(out io.Writer) *Buffer {
	b := &Buffer{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go b.run()
	return b
}

// Write queues p, which is one line. It implements io.Writer and never fails.
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
		// A closed log reader must not stop the program.
		_, _ = b.out.Write(line)
		if n := b.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(b.out, "log: %d lines were dropped: the reader is too slow\n", n)
		}
	}
}

// Dropped returns the number of lines dropped since the last one was logged.
func (b *Buffer) Dropped() int64 { return b.dropped.Load() }

// Close writes the queued lines, for a bounded time. Write must not be called after it.
func (b *Buffer) Close() {
	b.once.Do(func() { close(b.lines) })
	timer := time.NewTimer(flushTimeout)
	defer timer.Stop()
	select {
	case <-b.done:
	case <-timer.C:
	}
}
