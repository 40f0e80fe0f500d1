// Package connshare divides a listener's connections among their owners while places are short:
// which idle connection is evicted for a new one, and whether an owner may have another request
// in progress.
package connshare

import "container/list"

// shortShare is the share of the places beyond which they are short. The rest lets owners with
// few connections open theirs at once.
const shortShare = 0.75

// Table holds the connections of a listener by owner. It is not safe for concurrent use.
type Table[K comparable] struct {
	places int
	conns  map[K]*entry
	owners map[string]*owner
	// busy is the number of requests in progress, working that of owners who have any; requests
	// without an owner are not counted.
	busy, working int
}

// owner is a workspace; the one named "" holds connections that named none.
type owner struct {
	name        string
	conns, busy int
	// idle holds the keys of connections without a request, the longest idle first.
	idle *list.List
}

// entry is a connection; idle is nil while a request is in progress.
type entry struct {
	owner *owner
	idle  *list.Element
}

// New returns an empty table for a listener with a number of places.
func New[K comparable](places int) *Table[K] {
	return &Table[K]{places: places, conns: map[K]*entry{}, owners: map[string]*owner{}}
}

// Add adds an idle connection without an owner.
func (t *Table[K]) Add(k K) {
	e := &entry{owner: t.owner("")}
	e.owner.conns++
	e.idle = e.owner.idle.PushBack(k)
	t.conns[k] = e
}

// Remove removes a connection; it may have been removed before.
func (t *Table[K]) Remove(k K) {
	e := t.conns[k]
	if e == nil {
		return
	}
	t.leave(e)
	delete(t.conns, k)
}

// Begin records that a request arrives on a connection. It returns false if the connection has
// been evicted.
func (t *Table[K]) Begin(k K) bool {
	e := t.conns[k]
	if e == nil {
		return false
	}
	if e.idle != nil {
		e.owner.idle.Remove(e.idle)
		e.idle = nil
		t.addBusy(e.owner, 1)
	}
	return true
}

// End records that the request of a connection has its answer.
func (t *Table[K]) End(k K) {
	if e := t.conns[k]; e != nil && e.idle == nil {
		t.addBusy(e.owner, -1)
		e.idle = e.owner.idle.PushBack(k)
	}
}

// SetOwner sets the owner of a connection with a request in progress. It returns false if that
// request exceeds the owner's share: while requests in progress take more than shortShare of
// the places, that many are divided evenly among the owners that have any.
func (t *Table[K]) SetOwner(k K, name string) bool {
	e := t.conns[k]
	if e == nil || e.idle != nil {
		return true
	}
	if e.owner.name != name {
		t.leave(e)
		e.owner = t.owner(name)
		e.owner.conns++
		t.addBusy(e.owner, 1)
	}
	if name == "" || float64(t.busy) <= t.short() {
		return true
	}
	return float64(e.owner.busy) <= max(1, t.short()/float64(t.working))
}

// Evict removes and returns the connection that is evicted for a new one: the longest idle
// connection of the owner that holds most among those with idle ones. While there are free
// places, only owners that hold more than an even share of all lose one. A connection on which a
// request is arriving is not evicted: that request has begun. ok is false if places are not
// short or none can be evicted.
func (t *Table[K]) Evict(arriving func(K) bool) (k K, ok bool) {
	for t.Short() {
		o := t.holdsMost()
		if o == nil {
			break
		}
		k = o.idle.Front().Value.(K)
		if !arriving(k) {
			t.Remove(k)
			return k, true
		}
		t.Begin(k)
	}
	return *new(K), false
}

// holdsMost returns the owner whose idle connection is evicted, nil if there is none.
func (t *Table[K]) holdsMost() *owner {
	var most *owner
	for _, o := range t.owners {
		if o.idle.Len() > 0 && (most == nil || o.conns > most.conns || o.conns == most.conns && o.name < most.name) {
			most = o
		}
	}
	if most == nil || len(t.conns) < t.places && most.conns*len(t.owners) <= t.places {
		return nil
	}
	return most
}

// Short reports whether places are short.
func (t *Table[K]) Short() bool { return float64(len(t.conns)) >= t.short() }

func (t *Table[K]) short() float64 { return shortShare * float64(t.places) }

func (t *Table[K]) owner(name string) *owner {
	o := t.owners[name]
	if o == nil {
		o = &owner{name: name, idle: list.New()}
		t.owners[name] = o
	}
	return o
}

// leave takes a connection from its owner, and forgets an owner without connections.
func (t *Table[K]) leave(e *entry) {
	o := e.owner
	if e.idle != nil {
		o.idle.Remove(e.idle)
	} else {
		t.addBusy(o, -1)
	}
	o.conns--
	if o.conns == 0 {
		delete(t.owners, o.name)
	}
}

// addBusy adds to the requests in progress of an owner.
func (t *Table[K]) addBusy(o *owner, n int) {
	before := o.busy
	o.busy += n
	if o.name == "" {
		return
	}
	t.busy += n
	switch {
	case before == 0 && o.busy > 0:
		t.working++
	case before > 0 && o.busy == 0:
		t.working--
	}
}
