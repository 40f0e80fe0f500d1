package claims

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wheelgauge"
)

var noon = time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)

// keyAt returns a UUID of version 7 created at a time.
func keyAt(at time.Time, n int) string {
	ms := at.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7%03x-8000-%012x", ms>>16, ms&0xffff, n&0xfff, n)
}

type fakeClock struct{ now time.Time }

func mustOpen(t *testing.T, dir string, c *fakeClock) *Table {
	t.Helper()
	table, err := Open(context.Background(), Options{Dir: dir, Now: func() time.Time { return c.now }})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func mustTake(t *testing.T, table *Table, c wheelgauge.Claim) wheelgauge.Claim {
	t.Helper()
	got, err := table.Take(context.Background(), c)
	if err != nil {
		t.Fatalf("take %+v: %v", c, err)
	}
	return got
}

func claim(key, holder string, state wheelgauge.ClaimState) wheelgauge.Claim {
	return wheelgauge.Claim{Client: "desk", Key: key, Digest: "d", Holder: holder, State: state}
}

// TestClaimLifecycle takes claims through their states, with a restart after every step.
func TestClaimLifecycle(t *testing.T) {
	key := keyAt(noon, 1)
	newClaim := func(holder string) wheelgauge.Claim { return claim(key, holder, wheelgauge.ClaimNew) }
	endedClaim := func(holder string, state wheelgauge.ClaimState) wheelgauge.Claim {
		c := claim(key, holder, state)
		c.Status, c.Body = 200, []byte("receipt")
		return c
	}
	type step struct {
		in   wheelgauge.Claim
		want wheelgauge.ClaimState
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"the holder asks again", []step{{newClaim("a"), wheelgauge.ClaimNew}, {newClaim("a"), wheelgauge.ClaimNew}, {newClaim("b"), wheelgauge.ClaimRunning}}},
		{"a resend finds it running", []step{{newClaim("a"), wheelgauge.ClaimNew}, {newClaim("b"), wheelgauge.ClaimRunning}}},
		{"a resend gets the record", []step{{newClaim("a"), wheelgauge.ClaimNew}, {endedClaim("a", wheelgauge.ClaimDone), wheelgauge.ClaimDone}, {newClaim("b"), wheelgauge.ClaimDone}}},
		{"released for the next", []step{{newClaim("a"), wheelgauge.ClaimNew}, {endedClaim("a", wheelgauge.ClaimReleased), wheelgauge.ClaimReleased}, {newClaim("b"), wheelgauge.ClaimNew}}},
		{"only the holder releases", []step{{newClaim("a"), wheelgauge.ClaimNew}, {endedClaim("b", wheelgauge.ClaimReleased), wheelgauge.ClaimRunning}, {newClaim("b"), wheelgauge.ClaimRunning}}},
		{"a record is final", []step{{newClaim("a"), wheelgauge.ClaimNew}, {endedClaim("a", wheelgauge.ClaimDone), wheelgauge.ClaimDone}, {endedClaim("a", wheelgauge.ClaimReleased), wheelgauge.ClaimDone}, {newClaim("c"), wheelgauge.ClaimDone}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			dir := t.TempDir()
			if err := Initialize(dir); err != nil {
				t.Fatal(err)
			}
			c := &fakeClock{noon}
			for i, s := range tt.steps {
				table := mustOpen(t, dir, c)
				if got := mustTake(t, table, s.in); got.State != s.want {
					t.Fatalf("step %d: got %s, want %s", i, got.State, s.want)
				}
				if err := table.Close(); err != nil {
					t.Fatal(err)
				}
			}
		})
	}
}

// TestKeyAges checks keys that are fresh, expired, invalid, from the future, or created
// before the loss of a disk.
func TestKeyAges(t *testing.T) {
	tests := []struct {
		name    string
		founded bool
		key     string
		now     time.Time
		want    wheelgauge.ClaimState
		fault   bool
	}{
		{"fresh key", true, keyAt(noon, 1), noon, wheelgauge.ClaimNew, false},
		{"not a UUID", true, "booking-7", noon, "", true},
		{"random UUID", true, "6f1c3c1e-9c0e-4b6e-8a5e-3f8f6b1d2c3a", noon, "", true},
		{"made in the future", true, keyAt(noon.Add(time.Hour), 1), noon, "", true},
		{"older than its life", true, keyAt(noon, 1), noon.Add(25 * time.Hour), wheelgauge.ClaimLost, false},
		{"made before a new disk", false, keyAt(noon.Add(-time.Minute), 1), noon.Add(time.Hour), wheelgauge.ClaimLost, false},
		{"made within the skew of a new disk", false, keyAt(noon.Add(time.Minute), 1), noon.Add(time.Hour), wheelgauge.ClaimLost, false},
		{"made after a new disk", false, keyAt(noon.Add(3*time.Minute), 1), noon.Add(time.Hour), wheelgauge.ClaimNew, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			dir := t.TempDir()
			if tt.founded {
				if err := Initialize(dir); err != nil {
					t.Fatal(err)
				}
			}
			c := &fakeClock{noon}
			table := mustOpen(t, dir, c)
			c.now = tt.now
			got, err := table.Take(context.Background(), claim(tt.key, "a", wheelgauge.ClaimNew))
			if (err != nil) != tt.fault || err == nil && got.State != tt.want {
				t.Fatalf("got state %s, error %v", got.State, err)
			}
			if err := table.Close(); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// TestCompactedKeyIsNotGrantedAgain checks that a key dropped by compaction is still refused,
// because of its age.
func TestCompactedKeyIsNotGrantedAgain(t *testing.T) {
	dir := t.TempDir()
	if err := Initialize(dir); err != nil {
		t.Fatal(err)
	}
	c := &fakeClock{noon}
	table := mustOpen(t, dir, c)
	key := keyAt(noon, 1)
	mustTake(t, table, claim(key, "a", wheelgauge.ClaimNew))
	if err := table.Close(); err != nil {
		t.Fatal(err)
	}
	for _, after := range []time.Duration{23 * time.Hour, 24*time.Hour + time.Minute, 30 * time.Hour} {
		c.now = noon.Add(after)
		table = mustOpen(t, dir, c)
		if got := mustTake(t, table, claim(key, "b", wheelgauge.ClaimNew)); got.State == wheelgauge.ClaimNew {
			t.Fatalf("key was granted again after %s", after)
		}
		if err := table.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// TestConcurrentClaimsHaveOneWinner requests the same key from many goroutines at once.
func TestConcurrentClaimsHaveOneWinner(t *testing.T) {
	dir := t.TempDir()
	if err := Initialize(dir); err != nil {
		t.Fatal(err)
	}
	table := mustOpen(t, dir, &fakeClock{noon})
	key := keyAt(noon, 9)
	var mu sync.Mutex
	var group sync.WaitGroup
	won := 0
	for i := range 50 {
		group.Go(func() {
			got, err := table.Take(context.Background(), claim(key, fmt.Sprint(i), wheelgauge.ClaimNew))
			mu.Lock()
			defer mu.Unlock()
			if err == nil && got.State == wheelgauge.ClaimNew {
				won++
			}
		})
	}
	group.Wait()
	if won != 1 {
		t.Fatalf("%d concurrent requests were granted the claim, want 1", won)
	}
	if err := table.Close(); err != nil {
		t.Fatal(err)
	}
}

func TestOtherRequestUnderTheSameKey(t *testing.T) {
	dir := t.TempDir()
	if err := Initialize(dir); err != nil {
		t.Fatal(err)
	}
	table := mustOpen(t, dir, &fakeClock{noon})
	c := claim(keyAt(noon, 3), "a", wheelgauge.ClaimNew)
	mustTake(t, table, c)
	c.Digest, c.Holder = "another", "b"
	if _, err := table.Take(context.Background(), c); wheelgauge.AsError(err).Reason() != wheelgauge.ReasonConflict {
		t.Fatalf("got error %v, want reason conflict", err)
	}
	if err := table.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestCorruptFileIsRefused checks that a claim file damaged before its end cannot be opened.
func TestCorruptFileIsRefused(t *testing.T) {
	dir := t.TempDir()
	if err := Initialize(dir); err != nil {
		t.Fatal(err)
	}
	table := mustOpen(t, dir, &fakeClock{noon})
	for i := range 3 {
		mustTake(t, table, claim(keyAt(noon, i), "a", wheelgauge.ClaimNew))
	}
	if err := table.Close(); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, logFile)
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	data[len(data)/2] ^= 1
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(context.Background(), Options{Dir: dir}); err == nil {
		t.Fatal("a corrupt file was opened without an error")
	}
}

// BenchmarkTake takes and records claims from many goroutines at once; each is synced to disk.
func BenchmarkTake(b *testing.B) {
	dir := b.TempDir()
	if err := Initialize(dir); err != nil {
		b.Fatal(err)
	}
	table, err := Open(context.Background(), Options{Dir: dir})
	if err != nil {
		b.Fatal(err)
	}
	var n atomic.Int64
	b.SetParallelism(16)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			i := int(n.Add(1))
			c := claim(fmt.Sprintf("%08x-%04x-7%03x-8%03x-%012x", time.Now().UnixMilli()>>16, time.Now().UnixMilli()&0xffff, i&0xfff, i>>12&0xfff, i), "a", wheelgauge.ClaimNew)
			if _, err := table.Take(context.Background(), c); err != nil {
				b.Error(err)
				return
			}
			c.State, c.Status, c.Body = wheelgauge.ClaimDone, 200, []byte(`{"ref":"x"}`)
			if _, err := table.Take(context.Background(), c); err != nil {
				b.Error(err)
				return
			}
		}
	})
	if err := table.Close(); err != nil {
		b.Fatal(err)
	}
}

func TestKeyThatRanAfterTheCopyWasTakenIsNotGrantedAgain(t *testing.T) {
	for _, first := range []bool{true, false} {
		t.Run(fmt.Sprint("first disk: ", first), func(t *testing.T) {
			dir, c := t.TempDir(), &fakeClock{now: noon.Add(-time.Hour)}
			if first {
				if err := Initialize(dir); err != nil {
					t.Fatal(err)
				}
			}
			table := mustOpen(t, dir, c)
			c.now = noon
			before, after := claim(keyAt(noon, 1), "a", wheelgauge.ClaimNew), claim(keyAt(noon, 2), "a", wheelgauge.ClaimNew)
			mustTake(t, table, before)
			restored := t.TempDir()
			if err := os.CopyFS(restored, os.DirFS(dir)); err != nil {
				t.Fatal(err)
			}
			mustTake(t, table, after)
			if err := table.Close(); err != nil {
				t.Fatal(err)
			}
			c.now = noon.Add(time.Minute)
			for range 2 {
				table = mustOpen(t, restored, c)
				before.Holder, after.Holder = "b", "b"
				if got := mustTake(t, table, before); got.State != wheelgauge.ClaimRunning || got.Holder != "a" {
					t.Errorf("got %+v for a key that the copy has, want that of its holder", got)
				}
				if got := mustTake(t, table, after); got.State != wheelgauge.ClaimLost {
					t.Errorf("got %+v for a key that ran after the copy was taken, want %v", got, wheelgauge.ClaimLost)
				}
				if err := table.Close(); err != nil {
					t.Fatal(err)
				}
			}
			c.now = noon.Add(time.Hour)
			table = mustOpen(t, restored, c)
			defer table.Close()
			if got := mustTake(t, table, claim(keyAt(c.now, 3), "b", wheelgauge.ClaimNew)); got.State != wheelgauge.ClaimNew {
				t.Errorf("got %+v for a later key, want a grant", got)
			}
		})
	}
}
