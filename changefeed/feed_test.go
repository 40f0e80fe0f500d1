package changefeed_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"wheelgauge"
	"wheelgauge/changelog"
	"wheelgauge/tablereplica"
)

// store is a table of a store that follows the truth, sometimes in larger steps.
type store struct {
	table *changelog.Table
	rows  map[string]string
}

func newStore() *store { return &store{table: changelog.New(), rows: map[string]string{}} }

func row(key, value string) wheelgauge.TableRow {
	if value == "" {
		return wheelgauge.TableRow{Key: key}
	}
	return wheelgauge.TableRow{Key: key, Value: []byte(fmt.Sprintf("%q", value))}
}

// follow makes the table that of the truth, by one step.
func (s *store) follow(truth map[string]string) {
	var rows []wheelgauge.TableRow
	for key, value := range truth {
		if s.rows[key] != value {
			rows = append(rows, row(key, value))
		}
	}
	for key := range s.rows {
		if _, ok := truth[key]; !ok {
			rows = append(rows, row(key, ""))
		}
	}
	s.table.Apply(rows)
	s.rows = maps.Clone(truth)
}

// requester holds a replica and what it was told.
type requester struct {
	replica *tablereplica.Replica
	rows    map[string]string
}

func (q *requester) take(t *testing.T, c wheelgauge.TableChanges) {
	t.Helper()
	rows, err := q.replica.Apply(c)
	if err != nil {
		t.Logf("the requester starts again: %v", err)
	}
	for _, r := range rows {
		if r.Value == nil {
			delete(q.rows, r.Key)
			continue
		}
		var value string
		if err := json.Unmarshal(r.Value, &value); err != nil {
			t.Fatal(err)
		}
		q.rows[r.Key] = value
	}
}

// Whatever is lost, repeated or late, and whichever stores a requester asks, it ends with the
// table of the last one, and has been told exactly these rows.
func TestRequesterEndsWithTheStoresTable(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 4))
		truth := map[string]string{}
		stores := []*store{newStore(), newStore(), newStore()}
		q := &requester{replica: tablereplica.New("t"), rows: map[string]string{}}
		var late []wheelgauge.TableChanges
		for range 120 {
			for range r.IntN(6) {
				key := fmt.Sprint("k", r.IntN(80))
				if r.IntN(4) == 0 {
					delete(truth, key)
				} else {
					truth[key] = fmt.Sprint("v", r.IntN(1000))
				}
			}
			for i, s := range stores {
				switch {
				case r.IntN(100) == 0:
					*stores[i] = *newStore() // restarts, and has the whole table at once
					stores[i].follow(truth)
				case r.IntN(3) > 0:
					s.follow(truth)
				}
			}
			s := stores[r.IntN(len(stores))]
			c := s.table.Since(q.replica.Held(), 1+r.IntN(200), true)
			switch r.IntN(8) {
			case 0: // lost
			case 1:
				late = append(late, c)
			case 2:
				q.take(t, c)
				q.take(t, c) // repeated
			default:
				q.take(t, c)
			}
			if len(late) > 0 && r.IntN(4) == 0 {
				q.take(t, late[0])
				late = late[1:]
			}
		}
		last := stores[r.IntN(len(stores))]
		last.follow(truth)
		for range 1000 {
			if q.replica.Digest() == last.table.Digest() {
				break
			}
			q.take(t, last.table.Since(q.replica.Held(), 200, true))
		}
		if q.replica.Digest() != last.table.Digest() || !maps.Equal(q.rows, truth) || q.replica.Len() != len(truth) {
			t.Fatalf("seed %d: the requester was told %d rows, want the %d of the store", seed, len(q.rows), len(truth))
		}
	}
}

// After a change of the store, and after each change, only what differs is sent.
func TestOnlyWhatDiffersIsSent(t *testing.T) {
	const rows, maxBytes = 10_000, 1 << 20
	truth := map[string]string{}
	for i := range rows {
		truth[fmt.Sprint("server-", i)] = "a description of some length, as that of a server"
	}
	near, far := newStore(), newStore()
	near.follow(truth)
	far.follow(truth)
	q := &requester{replica: tablereplica.New("t"), rows: map[string]string{}}
	sync := func(s *store) (sent int) {
		for q.replica.Digest() != s.table.Digest() {
			c := s.table.Since(q.replica.Held(), maxBytes, true)
			sent += len(c.Rows)
			q.take(t, c)
		}
		return sent
	}
	steps := []struct {
		name string
		do   func()
		from *store
		want int // rows at most
	}{
		{"at first", func() {}, near, rows},
		{"another store", func() {}, far, 0},
		{"one change", func() { truth["server-1"] = "leaving"; far.follow(truth); near.follow(truth) }, far, 1},
		{"a store that made three changes in one step", func() {
			for i := range 3 {
				truth[fmt.Sprint("server-", 10+i)] = "leaving"
				near.follow(truth)
			}
			far.follow(truth)
		}, far, 3},
		{"back at the store that made them one by one", func() { truth["server-2"] = "leaving"; near.follow(truth) }, near, 1},
		{"a store that has just started", func() { far = newStore(); truth["server-3"] = "leaving"; far.follow(truth) }, nil, 100},
	}
	for _, s := range steps {
		s.do()
		if s.from == nil {
			s.from = far
		}
		if got := sync(s.from); got > s.want {
			t.Errorf("%s: %d rows are sent, want at most %d", s.name, got, s.want)
		}
	}
	if !maps.Equal(q.rows, truth) {
		t.Error("the requester does not hold the table")
	}
}

// A store that has just started does not know all hosts: it adds to what a requester holds, and
// takes nothing away that it has not seen.
func TestIncompleteTableRemovesNothing(t *testing.T) {
	full, started := newStore(), newStore()
	full.follow(map[string]string{"a": "1", "b": "1", "c": "1"})
	started.follow(map[string]string{"a": "2"})
	q := &requester{replica: tablereplica.New("t"), rows: map[string]string{}}
	q.take(t, full.table.Since(q.replica.Held(), 1000, true))
	for range 3 {
		q.take(t, started.table.Since(q.replica.Held(), 1000, false))
	}
	if want := map[string]string{"a": "2", "b": "1", "c": "1"}; !maps.Equal(q.rows, want) {
		t.Errorf("the requester holds %v, want %v", q.rows, want)
	}
	fresh := &requester{replica: tablereplica.New("t"), rows: map[string]string{}}
	fresh.take(t, started.table.Since(fresh.replica.Held(), 1000, false))
	started.follow(map[string]string{"a": "2", "b": "1"})
	fresh.take(t, started.table.Since(fresh.replica.Held(), 1000, false))
	if len(fresh.rows) != 2 {
		t.Errorf("a requester without rows holds %v, want the two of the store", fresh.rows)
	}
}

// A step larger than a response goes on where it stood, at any store that made the same step.
func TestLargeStepGoesOnAtAnotherStore(t *testing.T) {
	truth := map[string]string{"first": "1"}
	near, far := newStore(), newStore()
	near.follow(truth)
	far.follow(truth)
	q := &requester{replica: tablereplica.New("t"), rows: map[string]string{}}
	q.take(t, near.table.Since(q.replica.Held(), 1<<10, true))
	for i := range 500 {
		truth[fmt.Sprint("route-", i)] = "a description of some length"
	}
	near.follow(truth)
	far.follow(truth)
	sent := 0
	for n := 0; q.replica.Digest() != near.table.Digest(); n++ {
		s := []*store{near, far}[n%2]
		c := s.table.Since(q.replica.Held(), 1<<10, true)
		sent += len(c.Rows)
		if n > 0 && c.Offset == 0 {
			t.Fatalf("the step begins again after %d rows", sent)
		}
		if len(q.rows) != 1 {
			t.Fatalf("%d rows are told of a step that is not complete", len(q.rows))
		}
		q.take(t, c)
	}
	if sent != 500 || !maps.Equal(q.rows, truth) {
		t.Errorf("%d rows are sent, the requester holds %d, want 500 and %d", sent, len(q.rows), len(truth))
	}
}

// BenchmarkOneChange is one changed row at a store and at a requester, by the size of the table:
// the time of both and the bytes sent.
func BenchmarkOneChange(b *testing.B) {
	for _, rows := range []int{1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(rows, " rows"), func(b *testing.B) {
			truth := map[string]string{}
			for i := range rows {
				truth[fmt.Sprint("server-", i)] = "a description of some length, as that of a server"
			}
			s := newStore()
			s.follow(truth)
			replica := tablereplica.New("t", s.table.Rows()...)
			bytes := 0
			for i := 0; b.Loop(); i++ {
				s.table.Apply([]wheelgauge.TableRow{row(fmt.Sprint("server-", i%rows), fmt.Sprint("v", i))})
				c := s.table.Since(replica.Held(), 1<<20, true)
				data, err := json.Marshal(c)
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(data)
				if _, err := replica.Apply(c); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes), "B/change")
		})
	}
}
