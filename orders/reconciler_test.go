package orders

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/catalog"
	"wheelgauge/fake/suspendclock"
)

// fakeEngines is a fake of all engines. Orders take effect at once.
type fakeEngines struct {
	ready map[string][]string
	down  map[string]bool
	log   []string
}

func (e *fakeEngines) Send(context.Context, string, *wheelgauge.Call) (*wheelgauge.Response, error) {
	return nil, errors.New("unexpected call of Send")
}
func (e *fakeEngines) Cancel(context.Context, string, string) error { return nil }

func (e *fakeEngines) Load(_ context.Context, address string) (wheelgauge.LoadReport, error) {
	if e.down[address] {
		return wheelgauge.LoadReport{}, errors.New("down")
	}
	return wheelgauge.LoadReport{Models: e.ready[address]}, nil
}

func (e *fakeEngines) Order(_ context.Context, address string, o wheelgauge.Order) error {
	name := wheelgauge.ModelName(o.Model, o.Version)
	e.log = append(e.log, fmt.Sprintf("%s %s %s %d", o.Action, name, address, o.Fence))
	if o.Action == wheelgauge.ActionLoad {
		e.ready[address] = append(e.ready[address], name)
		return nil
	}
	e.ready[address] = slices.DeleteFunc(slices.Clone(e.ready[address]), func(n string) bool { return n == name })
	return nil
}

// fakeLeader is a fake of the replicated log.
type fakeLeader struct {
	leading bool
	term    uint64
	barrier error
}

// suspendedLeader is a leader whose machine is suspended during the read barrier.
type suspendedLeader struct {
	fakeLeader
	clock *suspendclock.Clock
	sleep time.Duration
}

func (s *suspendedLeader) ReadBarrier(context.Context) error {
	s.clock.Suspend(s.sleep)
	return nil
}

// A leader that is suspended after a quorum has confirmed it must not send its order on
// resume. The monotonic clock does not count the suspended time, so a lease measured by it
// looks valid. By then another leader may have waited for the lease to end, and engines that
// do not check fences would apply the earlier leader's order after that of the new one.
func TestSuspendedLeaderGivesNoOrder(t *testing.T) {
	tests := []struct {
		sleep time.Duration
		want  int
	}{
		{0, 1},
		{leaseDuration / 2, 1},
		{leaseDuration + time.Second, 0},
		{time.Minute, 0},
	}
	for _, tt := range tests {
		e := &fakeEngines{ready: map[string][]string{}}
		c := buildCatalog(`{"model":"m","version":"1","servers":["e1"]}`)
		clock := &suspendclock.Clock{}
		r := &Reconciler{pendingLoads: map[string]time.Time{}, o: Options{
			MaxLoads: 2, LoadTimeout: time.Hour, Engines: e, Clock: clock, Log: logr.Discard(),
			Leadership: &suspendedLeader{fakeLeader{true, 7, nil}, clock, tt.sleep}, Catalog: func() *catalog.Catalog { return c },
		}}
		r.tick(context.Background())
		if len(e.log) != tt.want {
			t.Errorf("suspended for %v: got orders %v, want %d of them", tt.sleep, e.log, tt.want)
		}
	}
}

func (l *fakeLeader) IsLeader() bool                    { return l.leading }
func (l *fakeLeader) Term() uint64                      { return l.term }
func (l *fakeLeader) ReadBarrier(context.Context) error { return l.barrier }

func buildCatalog(placements ...string) *catalog.Catalog {
	list := []wheelgauge.Resource{{Kind: wheelgauge.KindPool, Name: "p", Spec: json.RawMessage(`{"type":"engine"}`)}}
	for _, name := range []string{"e1", "e2", "e3"} {
		spec := fmt.Sprintf(`{"pool":"p","region":"r","slots":1,"address":%q,"checks_fences":%t}`, name, name != "e3")
		list = append(list, wheelgauge.Resource{Kind: wheelgauge.KindBackendServer, Name: name, Spec: json.RawMessage(spec)})
	}
	for i, p := range placements {
		list = append(list, wheelgauge.Resource{Kind: wheelgauge.KindPlacement, Name: fmt.Sprint("p", i), Spec: json.RawMessage(p)})
	}
	return catalog.Build(1, list)
}

func TestOrders(t *testing.T) {
	const onE1, onE2 = `{"model":"m","version":"1","servers":["e1"]}`, `{"model":"m","version":"1","servers":["e2"]}`
	tests := []struct {
		name   string
		place  []string
		ready  map[string][]string
		down   map[string]bool
		leader fakeLeader
		ticks  int
		want   []string
	}{
		{"load", []string{onE1}, nil, nil, fakeLeader{true, 7, nil}, 3, []string{"load m@1 e1 7"}},
		{"already there", []string{onE1}, map[string][]string{"e1": {"m@1"}}, nil, fakeLeader{true, 7, nil}, 3, nil},
		{"not the leader", []string{onE1}, nil, nil, fakeLeader{false, 7, nil}, 3, nil},
		{"no quorum confirms", []string{onE1}, nil, nil, fakeLeader{true, 7, errors.New("cut off")}, 3, nil},
		{"move: the old copy goes last", []string{onE2}, map[string][]string{"e1": {"m@1"}}, nil, fakeLeader{true, 7, nil}, 3, []string{"load m@1 e2 7", "unload m@1 e1 7"}},
		{"the new place is down: the last copy stays", []string{onE2}, map[string][]string{"e1": {"m@1"}}, map[string]bool{"e2": true}, fakeLeader{true, 7, nil}, 3, nil},
		{"one of two places is down: no copy goes", []string{`{"model":"m","version":"1","servers":["e1","e2"]}`}, map[string][]string{"e1": {"m@1", "m@0"}}, map[string]bool{"e2": true}, fakeLeader{true, 7, nil}, 3, nil},
		{"no place at all: the last copy stays", []string{`{"model":"m","servers":[]}`}, map[string][]string{"e1": {"m@1"}}, nil, fakeLeader{true, 7, nil}, 3, nil},
		{"new version on the same engine", []string{`{"model":"m","version":"2","servers":["e1"]}`}, map[string][]string{"e1": {"m@1"}}, nil, fakeLeader{true, 7, nil}, 3, []string{"load m@2 e1 7", "unload m@1 e1 7"}},
		{"an engine without fences waits for the lease", []string{`{"model":"m","version":"1","servers":["e3"]}`}, nil, nil, fakeLeader{true, 7, nil}, 3, nil},
		{"two loads at once", []string{`{"model":"m","version":"1","servers":["e1","e2"]}`, `{"model":"n","version":"1","servers":["e1"]}`}, nil, nil, fakeLeader{true, 7, nil}, 1, []string{"load m@1 e1 7", "load m@1 e2 7"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := &fakeEngines{ready: tt.ready, down: tt.down}
			if e.ready == nil {
				e.ready = map[string][]string{}
			}
			c := buildCatalog(tt.place...)
			r := &Reconciler{pendingLoads: map[string]time.Time{}, o: Options{
				MaxLoads: 2, LoadTimeout: time.Hour, Leadership: &tt.leader, Engines: e, Clock: wheelgauge.MonotonicClock{}, Log: logr.Discard(),
				Catalog: func() *catalog.Catalog { return c },
			}}
			for range tt.ticks {
				r.tick(context.Background())
			}
			if strings.Join(e.log, "; ") != strings.Join(tt.want, "; ") {
				t.Fatalf("got %v, want %v", e.log, tt.want)
			}
		})
	}
}
