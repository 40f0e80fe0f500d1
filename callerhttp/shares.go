package callerhttp

import (
	"sync"

	"wheelgauge/connshare"
)

// shares guards the table that divides connections among their owners. All methods do nothing
// while connections are not shared.
type shares struct {
	mu    sync.Mutex
	table *connshare.Table[*conn]
}

func (s *shares) init(o Options) {
	if o.ShareConns {
		s.table = connshare.New[*conn](o.MaxConns)
	}
}

// with calls f with the table and returns its result; unshared if there is no table.
func (s *shares) with(f func(t *connshare.Table[*conn]) bool, unshared bool) bool {
	if s.table == nil {
		return unshared
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return f(s.table)
}

func (s *shares) add(k *conn) {
	s.with(func(t *connshare.Table[*conn]) bool { t.Add(k); return true }, true)
}

func (s *shares) remove(k *conn) {
	s.with(func(t *connshare.Table[*conn]) bool { t.Remove(k); return true }, true)
}

// begin records a request. It returns false if the connection was closed for another.
func (s *shares) begin(k *conn) bool {
	return s.with(func(t *connshare.Table[*conn]) bool { return t.Begin(k) }, true)
}

// end records that the connection has no request in progress. After it, no byte of another
// request may be read before begin.
func (s *shares) end(k *conn) {
	s.with(func(t *connshare.Table[*conn]) bool { t.End(k); return true }, true)
}

func (s *shares) setOwner(k *conn, owner string) bool {
	return s.with(func(t *connshare.Table[*conn]) bool { return t.SetOwner(k, owner) }, true)
}

// short reports whether places are short.
func (s *shares) short() bool {
	return s.with(func(t *connshare.Table[*conn]) bool { return t.Short() }, false)
}

// evict returns the connection to close; ok is false if there is none.
func (s *shares) evict() (k *conn, ok bool) {
	ok = s.with(func(t *connshare.Table[*conn]) (found bool) { k, found = t.Evict((*conn).arriving); return found }, false)
	return k, ok
}
