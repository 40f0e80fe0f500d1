package routegate

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/enginemodel"
	"wheelgauge/fake/manualclock"
	"wheelgauge/fake/suspendclock"
	"wheelgauge/prompt"
	"wheelgauge/routetable"
	"wheelgauge/serverset"
	"wheelgauge/waitroom"
)

// roomRoutes have an objective of a second.
func roomRoutes() []wheelgauge.PathRoute {
	list := routes()
	for i := range list {
		list[i].LatencyObjective = time.Second
	}
	return list
}

// newRoomGate returns a gate with a waiting room, whose requests usually take as long as given.
func newRoomGate(t *testing.T, usual time.Duration, b *backend) (*Gate, net.Conn) {
	t.Helper()
	g, c := newGate(t, roomRoutes(), b)
	g.durations.observe("safe", usual)
	addRoom(t, g)
	return g, c
}

func addRoom(t *testing.T, g *Gate) {
	t.Helper()
	room := waitroom.New(waitroom.Options{Now: func() time.Time { return g.options.Clock.Now() }, Meter: g.options.Meter, Log: logr.Discard()})
	g.options.Room = room
	t.Cleanup(func() {
		if err := room.Close(); err != nil {
			t.Error(err)
		}
	})
}

// fillServers has the servers hold so many requests that any other would be late. The returned
// function frees them.
func fillServers(g *Gate) (free func()) {
	var picks []*serverset.Pick
	for range 1000 {
		picks = append(picks, g.options.Servers.Choose(anyJob()))
	}
	return func() {
		for _, k := range picks {
			k.Done(serverset.Abandoned)
		}
	}
}

func awaitHeld(t *testing.T, g *Gate, want bool) {
	t.Helper()
	for end := time.Now().Add(testLimit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if g.options.Room.Holds("s", 100) == want {
			return
		}
	}
	t.Fatalf("requests wait: want %v", want)
}

// reply is what a caller gets.
type reply struct {
	status int
	body   string
}

func startGet(t *testing.T, c net.Conn, path, headers string) chan reply {
	t.Helper()
	replies := make(chan reply, 1)
	go func() {
		resp, body, err := get(t, c, path, headers)
		if err != nil {
			body = err.Error()
			resp = &http.Response{}
		}
		replies <- reply{resp.StatusCode, body}
	}()
	return replies
}

// A request that would be late waits if it has the time, and is sent once there is room.
func TestWaitForRoom(t *testing.T) {
	b := newBackend(t)
	g, c := newRoomGate(t, 2*time.Second, b)
	free := fillServers(g)
	replies := startGet(t, c, "/safe/", "")
	awaitHeld(t, g, true)
	free()
	if r := <-replies; r.status != http.StatusOK || len(b.received()) != 1 {
		t.Errorf("got %d %s after %d sends", r.status, r.body, len(b.received()))
	}
}

// A request that cannot wait is refused, as is any without a room.
func TestRefusedWithoutWaiting(t *testing.T) {
	tests := []struct {
		name  string
		usual time.Duration
		room  bool
	}{
		{"no time to wait", 9 * time.Second, true},
		{"no room", 2 * time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBackend(t)
			g, c := newRoomGate(t, tt.usual, b)
			if !tt.room {
				g.options.Room = nil
			}
			fillServers(g)
			r := <-startGet(t, c, "/safe/", "")
			if r.status != http.StatusServiceUnavailable || !strings.Contains(r.body, string(wheelgauge.ReasonOverloaded)) || len(b.received()) != 0 {
				t.Errorf("got %d %s after %d sends, want 503", r.status, r.body, len(b.received()))
			}
		})
	}
}

// A request that waits when its host begins to leave is refused as not run if it may outlast it.
func TestHostLeavesWhileRequestsWait(t *testing.T) {
	b := newBackend(t)
	g, c := newRoomGate(t, 2*time.Second, b)
	fillServers(g)
	replies := startGet(t, c, "/safe/", "")
	awaitHeld(t, g, true)
	g.ShutDownBy(g.options.Clock.Now().Add(time.Second))
	if r := <-replies; r.status != http.StatusServiceUnavailable || !strings.Contains(r.body, string(wheelgauge.ReasonDraining)) || len(b.received()) != 0 {
		t.Errorf("got %d %s after %d sends, want 503 as the host is leaving", r.status, r.body, len(b.received()))
	}
}

// A caller that disconnects leaves the room.
func TestCallerLeavesWhileWaiting(t *testing.T) {
	b := newBackend(t)
	g, c := newRoomGate(t, 2*time.Second, b)
	free := fillServers(g)
	replies := startGet(t, c, "/safe/", "")
	awaitHeld(t, g, true)
	_ = c.Close()
	awaitHeld(t, g, false)
	<-replies
	free()
	if n := len(b.received()); n != 0 {
		t.Errorf("sent %d times after the caller has left", n)
	}
}

// Time in which the host is suspended counts as waited.
func TestSuspendedWhileWaiting(t *testing.T) {
	b := newBackend(t)
	g, c := newRoomGate(t, 2*time.Second, b)
	clock := &suspendclock.Clock{}
	g.options.Clock = clock
	fillServers(g)
	replies := startGet(t, c, "/safe/", "")
	awaitHeld(t, g, true)
	clock.Suspend(time.Minute)
	if r := <-replies; r.status != http.StatusServiceUnavailable || len(b.received()) != 0 {
		t.Errorf("got %d %s after %d sends, want 503", r.status, r.body, len(b.received()))
	}
}

// fakeShares has one workspace above its share, and counts.
type fakeShares struct {
	mu            sync.Mutex
	above         string
	asked, served map[string]float64
}

func (s *fakeShares) Asked(_ string, _ int, workspace string, _, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked[workspace] += cost
}

func (s *fakeShares) Served(_ string, _ int, workspace string, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served[workspace] += cost
}

func (s *fakeShares) Above(_ string, _ int, workspace string) bool { return workspace == s.above }

// A workspace above its share is refused from a smaller predicted wait. Requests count once,
// however often they are sent.
func TestAboveShare(t *testing.T) {
	b := newBackend(t, notRunAnswer)
	g, c := newGate(t, nil, b, b)
	withWorkspaces(g)
	set := &wheelgauge.RouteSet{Version: 3, Routes: roomRoutes(), Services: []wheelgauge.Service{{Name: "s", MaxConns: 100}}, Workspaces: workspaces()}
	g.SetTable(routetable.New(set))
	shares := &fakeShares{above: "desk", asked: map[string]float64{}, served: map[string]float64{}}
	g.options.Shares = shares
	// Any request would wait between aboveShareWaitFactor and maxWaitFactor objectives.
	for {
		e, _ := g.options.Servers.Predict(anyJob())
		if e.Wait() > time.Duration(2*aboveShareWaitFactor*float64(time.Second)) {
			break
		}
		g.options.Servers.Choose(anyJob())
	}
	steps := []struct {
		key    string
		status int
	}{{"desk-key-1", http.StatusServiceUnavailable}, {"clinic-key", http.StatusOK}}
	for _, st := range steps {
		if r := <-startGet(t, c, "/safe/", "Wheelgauge-Key: "+st.key+"\r\n"); r.status != st.status {
			t.Errorf("%s: got %d %s, want %d", st.key, r.status, r.body, st.status)
		}
	}
	if shares.asked["clinic"] != 1 || shares.served["clinic"] != 1 || shares.asked["desk"] != 1 || shares.served["desk"] != 0 {
		t.Errorf("asked %v, served %v", shares.asked, shares.served)
	}
}

func TestShareWeight(t *testing.T) {
	list := []wheelgauge.Workspace{
		{Name: "none"},
		{Name: "small", Cap: wheelgauge.Cap{Rate: 10}},
		{Name: "large", Cap: wheelgauge.Cap{Rate: 30}},
		{Name: "tokens", Cap: wheelgauge.Cap{Rate: 5000, Unit: wheelgauge.CapTokens}},
	}
	want := []float64{1, 0.5, 1.5, 1}
	g, _ := newGate(t, routes())
	g.SetTable(routetable.New(&wheelgauge.RouteSet{Version: 2, Routes: routes(), Workspaces: list}))
	for i := range list {
		if got := g.shareWeight(&list[i]); got != want[i] {
			t.Errorf("%s: weight %g, want %g", list[i].Name, got, want[i])
		}
	}
}

// A request that finds no slot waits here and not at an engine. If the room refuses it while the
// engine's queue would still take it in time, it is sent.
func TestHeldBackOnlyWhileTheRoomHoldsIt(t *testing.T) {
	tests := []struct {
		name string
		room bool
	}{{"without a room", false}, {"with a room", true}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBackend(t)
			g, c := newGateOf(t, &wheelgauge.Service{Name: "s", MaxConns: 100, KVCacheTokens: 1 << 20}, roomRoutes(), b)
			g.options.Servers.SetEngineModel(enginemodel.New(time.Now))
			g.durations.observe("safe", 300*time.Millisecond)
			if tt.room {
				addRoom(t, g)
			}
			job := serverset.NewJob("s", prompt.Prompt{}, 3, nil)
			for range 4 {
				g.options.Servers.Choose(job)
			}
			if e, ok := g.options.Servers.Predict(job); !ok || !e.Queued() || e.Wait() > time.Second/4 {
				t.Fatalf("queued %t, wait %v, want a short wait for a slot", e.Queued(), e.Wait())
			}
			if r := <-startGet(t, c, "/safe/", ""); r.status != http.StatusOK || len(b.received()) != 1 {
				t.Errorf("got %d %s after %d sends, want 200", r.status, r.body, len(b.received()))
			}
		})
	}
}

// A request that has waited and is late in any case goes only where it hardly waits; one that can
// still be in time goes where it is.
func TestWaitedTooLong(t *testing.T) {
	tests := []struct {
		name         string
		waited, left time.Duration
		wait         time.Duration
		tooLong      bool
	}{
		{"in time", 200 * time.Millisecond, 5 * time.Second, 700 * time.Millisecond, false},
		{"late by its wait", 600 * time.Millisecond, 5 * time.Second, 700 * time.Millisecond, true},
		{"late, room free", 2 * time.Second, 5 * time.Second, 200 * time.Millisecond, false},
		{"late, a queue", 2 * time.Second, 5 * time.Second, 300 * time.Millisecond, true},
		{"no time left", 2 * time.Second, 100 * time.Millisecond, 200 * time.Millisecond, true},
	}
	for _, tt := range tests {
		clock := manualclock.New()
		g := &Gate{options: Options{Clock: clock}}
		c := &call{gate: g, route: &wheelgauge.PathRoute{LatencyObjective: time.Second}, started: clock.Now().Add(-tt.waited)}
		if c.waitedTooLong(time.Hour) {
			t.Errorf("%s: it has not waited", tt.name)
		}
		c.startBy = clock.Now().Add(tt.left)
		if got := c.waitedTooLong(tt.wait); got != tt.tooLong {
			t.Errorf("%s: got %t, want %t", tt.name, got, tt.tooLong)
		}
	}
}
