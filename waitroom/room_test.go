package waitroom

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
)

// patience bounds what a test waits for; none depends on how long it takes.
const patience = 20 * time.Second

func newRoom(t *testing.T, o Options) *Room {
	t.Helper()
	o.Now, o.Log = time.Now, logr.Discard()
	r := New(o)
	t.Cleanup(func() {
		if err := r.Close(); err != nil {
			t.Error(err)
		}
	})
	return r
}

// longRequest returns a request that can wait far longer than the test takes.
func longRequest(hasRoom func() bool) wheelgauge.QueuedRequest {
	now := time.Now()
	q := patientRequest(now, hasRoom)
	q.StartBy = now.Add(time.Hour)
	return q
}

// waitAll starts requests that wait in the room, and returns their results.
func waitAll(ctx context.Context, r *Room, n int, q wheelgauge.QueuedRequest) chan bool {
	results := make(chan bool, n)
	for range n {
		go func() { results <- r.Wait(ctx, q) }()
	}
	return results
}

func awaitWaiting(t *testing.T, r *Room, n int) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if waiting, _ := r.held(); waiting == n {
			return
		}
	}
	t.Fatalf("not %d are waiting", n)
}

func (r *Room) held() (waiting, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.waiting, r.bytes
}

func awaitResults(t *testing.T, results chan bool, n int, want bool) {
	t.Helper()
	for range n {
		select {
		case got := <-results:
			if got != want {
				t.Errorf("got %v, want %v", got, want)
			}
		case <-time.After(patience):
			t.Fatal("a request waits on")
		}
	}
}

// Those that wait are let go once there is room, and the ticker ends with the last of them.
func TestLetGo(t *testing.T) {
	r := newRoom(t, Options{})
	var room atomic.Bool
	results := waitAll(context.Background(), r, 5, longRequest(room.Load))
	awaitWaiting(t, r, 5)
	if !r.Holds("s", 1) || r.Holds("s", 0) || r.Holds("other", 1) {
		t.Error("it is not known who waits")
	}
	room.Store(true)
	awaitResults(t, results, 5, true)
	r.mu.Lock()
	done := r.done
	r.mu.Unlock()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
		done <- nil // for Close
	case <-time.After(patience):
		t.Error("the ticker goes on without anybody waiting")
	}
	awaitResults(t, waitAll(context.Background(), r, 1, longRequest(always)), 1, true)
}

// Callers that leave give their places and memory free, and nothing is asked for them any more.
func TestCallersLeave(t *testing.T) {
	r := newRoom(t, Options{})
	var left atomic.Bool
	q := longRequest(func() bool {
		if left.Load() {
			t.Error("room is looked for after the callers have left")
		}
		return false
	})
	q.Bytes = 1000
	ctx, leave := context.WithCancel(context.Background())
	results := waitAll(ctx, r, 8, q)
	awaitWaiting(t, r, 8)
	leave()
	awaitResults(t, results, 8, false)
	left.Store(true)
	if waiting, bytes := r.held(); waiting != 0 || bytes != 0 {
		t.Errorf("%d wait with %d bytes, want none", waiting, bytes)
	}
	r.tick(context.Background())
}

// A host that leaves with a full room refuses those that would outlast it.
func TestHostLeaves(t *testing.T) {
	r := newRoom(t, Options{})
	var leaving atomic.Bool
	q := longRequest(never)
	q.Ended = leaving.Load
	results := waitAll(context.Background(), r, maxEntries, q)
	awaitWaiting(t, r, maxEntries)
	if r.Wait(context.Background(), longRequest(always)) {
		t.Error("the room holds more than it may")
	}
	leaving.Store(true)
	awaitResults(t, results, maxEntries, false)
	awaitResults(t, waitAll(context.Background(), r, 1, q), 1, false)
}

func TestClose(t *testing.T) {
	r := newRoom(t, Options{})
	results := waitAll(context.Background(), r, 4, longRequest(never))
	awaitWaiting(t, r, 4)
	done := r.done
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	if len(done) != 0 || r.stop != nil {
		t.Error("Close does not wait for the ticker")
	}
	awaitResults(t, results, 4, false)
	if r.Wait(context.Background(), longRequest(always)) {
		t.Error("a closed room lets somebody in")
	}
	if err := r.Close(); err != nil {
		t.Errorf("closed again: %v", err)
	}
}

// The memory held is bounded. A workspace above its share makes way for the others.
func TestMemoryIsBounded(t *testing.T) {
	r := newRoom(t, Options{MaxBytes: 5000})
	large, greedy := longRequest(never), longRequest(never)
	large.Bytes, greedy.Bytes = 2000, 2000
	greedy.AboveShare = always
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	first := waitAll(ctx, r, 1, large)
	awaitWaiting(t, r, 1)
	second := waitAll(ctx, r, 1, greedy)
	awaitWaiting(t, r, 2)
	if r.Wait(ctx, greedy) {
		t.Error("more is held than allowed")
	}
	third := waitAll(ctx, r, 1, large)
	awaitResults(t, second, 1, false)
	if r.Wait(ctx, large) {
		t.Error("others make way for a workspace that is not above its share either")
	}
	if waiting, bytes := r.held(); waiting != 2 || bytes != 4000 {
		t.Errorf("%d wait with %d bytes, want 2 with 4000", waiting, bytes)
	}
	leave()
	awaitResults(t, first, 1, false)
	awaitResults(t, third, 1, false)
}
