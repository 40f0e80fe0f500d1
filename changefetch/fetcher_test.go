package changefetch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/changefeed"
	"wheelgauge/changelog"
	"wheelgauge/httpserve"
	"wheelgauge/peerhttp"
)

const (
	testTimeout = 20 * time.Second
	region      = "north"
)

// fakeStore serves tables, and can be made to fail.
type fakeStore struct {
	feed   *changefeed.Feed
	tables map[string]*changelog.Table
	http   *httpserve.Server

	mu sync.Mutex
	// remaining is how many requests it answers before it fails; all if negative.
	remaining int
	// before is called before each answer.
	before   func()
	requests []wheelgauge.ChangesRequest
}

func newFakeStore(t *testing.T, names ...string) *fakeStore {
	t.Helper()
	s := &fakeStore{feed: changefeed.New(), tables: map[string]*changelog.Table{}, remaining: -1}
	for _, name := range names {
		s.tables[name] = changelog.New()
		s.feed.Add(name, s.tables[name], true)
	}
	var err error
	if s.http, err = httpserve.Listen("127.0.0.1:0", s.serve, httpserve.Options{}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		_ = s.http.Close(ctx)
	})
	return s
}

func (s *fakeStore) serve(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, err := peerhttp.Decode[wheelgauge.ChangesRequest](ctx)
	if err != nil || s.remaining == 0 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	s.remaining--
	s.requests = append(s.requests, r)
	if s.before != nil {
		s.before()
	}
	body, err := s.feed.Response(r, nil)
	if err != nil {
		peerhttp.WriteError(ctx, err)
		return
	}
	peerhttp.WriteBody(ctx, body)
}

// fill makes one step of count rows from a number on.
func (s *fakeStore) fill(table string, from, count int) {
	var rows []wheelgauge.TableRow
	for i := range count {
		rows = append(rows, wheelgauge.TableRow{Key: fmt.Sprintf("row-%06d", from+i), Value: []byte(fmt.Sprintf(`"%0100d"`, i))})
	}
	s.tables[table].Apply(rows)
}

// fetchAll fetches from a store until nothing differs, and returns the number of rows told.
func fetchAll(t *testing.T, f *Fetcher, s *fakeStore) (rows int, err error) {
	t.Helper()
	for range 10_000 {
		b, err := f.Fetch(context.Background(), s.http.Address(), wheelgauge.ChangesRequest{Region: region})
		for _, u := range b.Updates {
			rows += len(u.Rows)
		}
		if err != nil || b.Current {
			return rows, err
		}
	}
	t.Fatal("the tables are not current after 10,000 requests")
	return 0, nil
}

func TestFetch(t *testing.T) {
	servers := wheelgauge.ServersTable(region)
	s := newFakeStore(t, wheelgauge.TableHosts, servers)
	s.fill(servers, 0, 5000)
	s.fill(wheelgauge.TableHosts, 0, 300)
	f := New(peerhttp.NewClient(nil, ""))
	steps := []struct {
		name string
		do   func()
		want int
	}{
		{"everything", func() {}, 5300},
		{"nothing", func() {}, 0},
		{"one row more", func() { s.fill(servers, 5000, 1) }, 1},
		{"one row less", func() { s.tables[wheelgauge.TableHosts].Apply([]wheelgauge.TableRow{{Key: "row-000007"}}) }, 1},
		{"a step of many responses", func() { s.fill(servers, 6000, 4000) }, 4000},
	}
	for _, tt := range steps {
		tt.do()
		if rows, err := fetchAll(t, f, s); err != nil || rows != tt.want || f.Digest() != s.feed.Digest() {
			t.Errorf("%s: got %d rows, error %v, want %d and the digest of the store", tt.name, rows, err, tt.want)
		}
	}
}

// An interrupted transfer goes on where it stood, in smaller responses, at this store or another.
func TestFetchGoesOn(t *testing.T) {
	const rows = 5000
	table := wheelgauge.ServersTable(region)
	for _, other := range []bool{false, true} {
		first := newFakeStore(t, table)
		first.fill(table, 0, rows)
		first.remaining = 2
		next := first
		if other {
			next = newFakeStore(t, table)
			next.fill(table, 0, rows)
		}
		f := New(peerhttp.NewClient(nil, ""))
		got, err := fetchAll(t, f, first)
		if err == nil || got == 0 {
			t.Fatalf("got %d rows and no error from a failing store", got)
		}
		next.mu.Lock()
		next.remaining, next.requests = -1, nil
		next.mu.Unlock()
		rest, err := fetchAll(t, f, next)
		if err != nil || got+rest != rows {
			t.Errorf("another store %t: got %d and %d rows, error %v, want %d", other, got, rest, err, rows)
		}
		if most := next.requests[0].MaxBytes; most != maxRowBytes/2 {
			t.Errorf("another store %t: goes on with %d bytes, want %d", other, most, maxRowBytes/2)
		}
	}
}

// A transfer completes although the table changes with each response.
func TestFetchDuringChanges(t *testing.T) {
	table := wheelgauge.ServersTable(region)
	s := newFakeStore(t, table)
	s.fill(table, 0, 5000)
	changes := 0
	s.before = func() {
		if changes++; changes < 60 {
			s.fill(table, 100*changes, 3)
		}
	}
	f := New(peerhttp.NewClient(nil, ""))
	if _, err := fetchAll(t, f, s); err != nil || f.Len(table) != s.tables[table].Len() {
		t.Errorf("got %d rows, error %v, want %d", f.Len(table), err, s.tables[table].Len())
	}
}

// A large table must not hold up a small change of another one.
func TestSmallChangeOvertakesALargeTable(t *testing.T) {
	servers := wheelgauge.ServersTable(region)
	s := newFakeStore(t, servers, wheelgauge.TableHosts)
	s.fill(wheelgauge.TableHosts, 0, 10)
	f := New(peerhttp.NewClient(nil, ""))
	if _, err := fetchAll(t, f, s); err != nil {
		t.Fatal(err)
	}
	s.fill(servers, 0, 20_000)
	s.tables[wheelgauge.TableHosts].Apply([]wheelgauge.TableRow{{Key: "row-000003"}})
	b, err := f.Fetch(context.Background(), s.http.Address(), wheelgauge.ChangesRequest{Region: region})
	if err != nil || b.Current || f.Len(wheelgauge.TableHosts) != 9 {
		t.Errorf("after one response: %d hosts, all tables current: %t, error %v, want 9 hosts before the servers", f.Len(wheelgauge.TableHosts), b.Current, err)
	}
}

func TestFetchCancelled(t *testing.T) {
	s := newFakeStore(t, wheelgauge.TableHosts)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := New(peerhttp.NewClient(nil, "")).Fetch(ctx, s.http.Address(), wheelgauge.ChangesRequest{})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v, want context canceled", err)
	}
}

// A requester whose table is changed by itself in the meantime says so.
func TestHold(t *testing.T) {
	table := wheelgauge.ServersTable(region)
	s := newFakeStore(t, table)
	s.fill(table, 0, 1000)
	f := New(peerhttp.NewClient(nil, ""))
	f.Hold(table, s.tables[table].Rows())
	if f.Digest() != s.feed.Digest() {
		t.Error("the digest of the rows held is not that of the store")
	}
	s.fill(table, 1000, 2)
	if rows, err := fetchAll(t, f, s); err != nil || rows != 2 {
		t.Errorf("got %d rows, error %v, want the two that are missing", rows, err)
	}
}

// A host that changes to a store which has just started must get the rows of that store, without
// a call after the other until it has run for some time.
func TestIncompleteStoreIsFetchedOnce(t *testing.T) {
	full, started := newFakeStore(t, wheelgauge.TableHosts), newFakeStore(t, wheelgauge.TableHosts)
	full.fill(wheelgauge.TableHosts, 0, 3000)
	started.fill(wheelgauge.TableHosts, 2000, 3000)
	started.feed.Add(wheelgauge.TableHosts, started.tables[wheelgauge.TableHosts], false)
	f := New(peerhttp.NewClient(nil, ""))
	if _, err := fetchAll(t, f, full); err != nil {
		t.Fatal(err)
	}
	rows, err := fetchAll(t, f, started)
	if err != nil {
		t.Fatal(err)
	}
	if rows < 2000 || f.Len(wheelgauge.TableHosts) != 5000 {
		t.Errorf("%d rows are received and %d held, want at least 2000 and 5000", rows, f.Len(wheelgauge.TableHosts))
	}
	if calls := len(started.requests); calls > 20 {
		t.Errorf("%d calls, want at most 20", calls)
	}
}
