package originclient

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/meter"
	"wheelgauge/streamorigin"
)

// testLimit bounds waits for conditions that hold at once.
const testLimit = 20 * time.Second

// fleet is stores in memory, those named near in the region of the hosts.
type fleet struct {
	mu     sync.Mutex
	stores map[string]*fakeStore
	order  []wheelgauge.StoreEndpoint
	// sole is the version of the service for hosts; empty while there are several.
	sole string
}

type fakeStore struct {
	origins *streamorigin.Table
	boot    uint64
	down    bool
	told    int
	// sole is the version that the store names as the only one.
	sole              *string
	several, outdated bool
}

func newFleet() *fleet {
	f := &fleet{stores: map[string]*fakeStore{}}
	for _, address := range []string{"near-1", "near-2", "far"} {
		f.stores[address] = &fakeStore{origins: streamorigin.New(100, time.Now), boot: 1}
		f.order = append(f.order, wheelgauge.StoreEndpoint{Address: address, SameRegion: address != "far"})
	}
	return f
}

func (f *fleet) host(t *testing.T) *Client {
	c := New(Options{
		Stores:  func() []wheelgauge.StoreEndpoint { return f.order },
		Sole:    f.soleVersion,
		Request: f.request, Now: time.Now, Meter: meter.New(), Log: logr.Discard(),
	})
	t.Cleanup(c.Close)
	return c
}

func (f *fleet) soleVersion(string, time.Duration) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sole, f.sole != ""
}

func (f *fleet) request(_ context.Context, address string, req wheelgauge.StreamOriginsRequest) (resp wheelgauge.StreamOriginsResponse, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.stores[address]
	if s.down {
		return resp, errors.New("connection refused")
	}
	s.told += len(req.Origins)
	s.origins.Add(req.Origins...)
	resp.StoreBoot = s.boot
	if req.Query != nil {
		if o, ok := s.origins.Find(req.Query.Key); ok {
			resp.Found = &o
		} else {
			resp.Sole, resp.Several, resp.Outdated = s.sole, s.several, s.outdated
		}
	}
	return resp, nil
}

// set changes a store, as a fault does.
func (f *fleet) set(address string, change func(s *fakeStore)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.stores[address])
}

// restart makes a store forget everything.
func (f *fleet) restart(address string) {
	f.set(address, func(s *fakeStore) { s.boot, s.origins = s.boot+1, streamorigin.New(100, time.Now) })
}

func (f *fleet) holds(address, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.stores[address].origins.Find(wheelgauge.NewStreamKey(id))
	return ok
}

func began(id string) wheelgauge.StreamOrigin {
	return wheelgauge.StreamOrigin{Key: wheelgauge.NewStreamKey(id), Service: "s", Version: "v1", TTLMS: 60_000}
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testLimit); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for: " + what)
		}
	}
}

func TestStreamIsKnownAfterItsHostIsGone(t *testing.T) {
	tests := []struct {
		name string
		// fault happens between the records of two streams.
		fault func(f *fleet, host *Client)
		// first and second are the stores that hold the first and the second stream at last.
		first, second string
	}{
		{"no fault", func(*fleet, *Client) {}, "near-1", "near-1"},
		{"the store restarts", func(f *fleet, _ *Client) { f.restart("near-1") }, "near-1", "near-1"},
		{"the store is down", func(f *fleet, _ *Client) { f.set("near-1", func(s *fakeStore) { s.down = true }) }, "near-2", "near-2"},
		{"all stores of the region are down", func(f *fleet, _ *Client) {
			f.set("near-1", func(s *fakeStore) { s.down = true })
			f.set("near-2", func(s *fakeStore) { s.down = true })
		}, "far", "far"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet()
			host, other := f.host(t), f.host(t)
			host.Record(began("a"), true)
			waitFor(t, "first stream at its store", func() bool { return f.holds("near-1", "a") })
			tt.fault(f, host)
			host.Record(began("b"), true)
			waitFor(t, "both streams at a store", func() bool { return f.holds(tt.first, "a") && f.holds(tt.second, "b") })
			host.Close()
			for _, id := range []string{"a", "b"} {
				if o, ok, _ := other.Find(t.Context(), wheelgauge.StreamQuery{Key: wheelgauge.NewStreamKey(id)}); !ok || o.Version != "v1" || o.Service != "s" {
					t.Errorf("another host finds %+v, %v for stream %s, want version v1", o, ok, id)
				}
			}
		})
	}
}

func TestStoresAreToldOnceTheyAreUp(t *testing.T) {
	f := newFleet()
	for address := range f.stores {
		f.set(address, func(s *fakeStore) { s.down = true })
	}
	host := f.host(t)
	host.Record(began("a"), true)
	f.set("near-2", func(s *fakeStore) { s.down = false })
	waitFor(t, "the stream at the store that is up", func() bool {
		host.Tick()
		return f.holds("near-2", "a")
	})
}

func TestStoresAreToldOnlyWhileThereAreSeveralVersions(t *testing.T) {
	f := newFleet()
	f.sole = "v1"
	host := f.host(t)
	host.Record(began("a"), true)
	host.Tick()
	f.mu.Lock()
	if told := f.stores["near-1"].told; told != 0 {
		t.Errorf("a store was told of %d streams of a service with one version, want none", told)
	}
	f.sole = ""
	f.mu.Unlock()
	host.Tick() // as when the list of servers changes
	waitFor(t, "the stream that began before", func() bool { return f.holds("near-1", "a") })
	f.mu.Lock()
	f.sole = "v2"
	f.mu.Unlock()
	host.Record(began("b"), true) // at a version that this host's list does not name
	waitFor(t, "the stream of the other version", func() bool { return f.holds("near-1", "b") })
}

func TestStoresAreToldWhileTheRouteDoesNotImplyTheService(t *testing.T) {
	f := newFleet()
	f.sole = "v1"
	host := f.host(t)
	host.Record(began("a"), false)
	waitFor(t, "the stream of a route with several services", func() bool { return f.holds("near-1", "a") })
	host.Record(began("b"), true)
	host.Tick()
	host.Close()
	if f.holds("near-1", "b") {
		t.Error("a store was told of a stream whose route and service imply its version")
	}
}

func TestFindGuessesNothing(t *testing.T) {
	v1, v2, none := "v1", "v2", ""
	tests := []struct {
		name    string
		prep    func(f *fleet)
		found   bool
		want    string
		several bool
	}{
		{"nowhere", func(*fleet) {}, false, "", false},
		{"at a store of another region", func(f *fleet) { f.stores["far"].origins.Add(began("a")) }, true, "v1", false},
		{"several versions were listed", func(f *fleet) { f.sole = "" }, false, "", false},
		{"a store knows of one version only", func(f *fleet) { f.stores["near-2"].sole = &v1 }, true, "v1", false},
		{"servers have no version", func(f *fleet) { f.stores["near-1"].sole = &none }, true, "", false},
		{"what a store holds goes before what another one lists", func(f *fleet) {
			f.stores["near-1"].sole = &none
			f.stores["near-2"].origins.Add(began("a"))
		}, true, "v1", false},
		{"what a store holds goes before several versions", func(f *fleet) {
			f.stores["near-1"].several = true
			f.stores["far"].origins.Add(began("a"))
		}, true, "v1", false},
		{"a store knows of several versions, another one of one", func(f *fleet) {
			f.stores["near-1"].several = true
			f.stores["near-2"].sole = &v1
		}, false, "", true},
		{"a store of the region knows of several versions, one of another region of one", func(f *fleet) {
			f.stores["near-1"].several = true
			f.stores["far"].sole = &v1
		}, false, "", true},
		{"two stores know of one version each", func(f *fleet) {
			f.stores["near-1"].sole = &v1
			f.stores["near-2"].sole = &v2
		}, false, "", true},
		{"the lists of a store are old", func(f *fleet) { f.stores["near-1"].outdated = true }, false, "", true},
		{"the lists of the region are old, those of another one are not", func(f *fleet) {
			f.stores["near-1"].outdated = true
			f.stores["far"].sole = &v1
		}, true, "v1", false},
		{"no store answers", func(f *fleet) {
			for _, s := range f.stores {
				s.down = true
			}
		}, false, "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet()
			tt.prep(f)
			o, ok, several := f.host(t).Find(t.Context(), wheelgauge.StreamQuery{Key: wheelgauge.NewStreamKey("a"), Service: "s", WithinMS: 20_000})
			if ok != tt.found || o.Version != tt.want || several != tt.several {
				t.Errorf("got %+v, %v, several %v, want version %q, %v, %v", o, ok, several, tt.want, tt.found, tt.several)
			}
		})
	}
}
