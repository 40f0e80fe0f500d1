package ordercheck

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/configstate"
)

const (
	hall     = "h"
	patience = time.Second
)

// fakeClock advances only when it is told to.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(max(0, d))
}

// fakeSender closes its connection at a time; the zero time means never.
type fakeSender struct {
	clock  *fakeClock
	closed time.Time
}

func (s *fakeSender) Waiting() bool           { return s.closed.IsZero() || s.clock.Now().Before(s.closed) }
func (s *fakeSender) Patience() time.Duration { return patience }

// Places at which an order is held up.
const (
	nowhere = iota
	beforeIndex
	afterIndex
	afterCheck
)

// group is a replicated log with its state machine. hold is called with each place of an order.
type group struct {
	clock   *fakeClock
	machine *configstate.Machine
	index   uint64
	hold    func(place int)
}

func newGroup() *group {
	return &group{clock: &fakeClock{now: time.Unix(1000, 0)}, machine: configstate.New(), hold: func(int) {}}
}

func (g *group) ReadIndex(context.Context) (uint64, error) {
	g.hold(beforeIndex)
	index := g.index
	g.hold(afterIndex)
	return index, nil
}

// apply commits a command.
func (g *group) apply(c configstate.Command) (configstate.Result, error) {
	g.index++
	data, err := json.Marshal(c)
	if err != nil {
		return configstate.Result{}, err
	}
	var res configstate.Result
	return res, json.Unmarshal(g.machine.Apply(g.index, data), &res)
}

// order runs an order of a sender at a store.
func (g *group) order(sender wheelgauge.Sender, op string) error {
	r := New(g, g.clock)
	r.wait = func(_ context.Context, d time.Duration) { g.clock.advance(d) }
	return r.Run(context.Background(), sender, func(_ context.Context, since uint64) (Propose, error) {
		return func(context.Context) (bool, error) {
			g.hold(afterCheck)
			res, err := g.apply(configstate.Command{Op: op, Hall: hall, Since: since})
			return res.Overtaken, err
		}, nil
	})
}

func (g *group) drained() bool { return slices.Contains(g.machine.State().DrainedHalls, hall) }

// holdOnce calls f the first time that an order is held up at a place.
func (g *group) holdOnce(place int, f func()) {
	g.hold = func(at int) {
		if at == place {
			g.hold = func(int) {}
			f()
		}
	}
}

// An order that was held up anywhere changes nothing once later orders of its sender were
// acknowledged.
func TestOvertakenOrderChangesNothing(t *testing.T) {
	places := []struct {
		name  string
		place int
		// closeLag is how long after the bytes of the order the close arrives, held how long the
		// order lasts at its place; silent means that the close never arrives.
		closeLag, held time.Duration
		silent         bool
	}{
		{"in the socket", nowhere, 0, 0, false},
		{"in the network, the close behind it", nowhere, closeDelay - time.Millisecond, 0, false},
		{"before the index is read", beforeIndex, 0, 0, false},
		{"before the index is read, the close behind it", beforeIndex, closeDelay - time.Millisecond, 0, false},
		{"before the index is read, the sender vanished", beforeIndex, 0, patience + time.Millisecond, true},
		{"before the sender is checked", afterIndex, 0, 0, false},
		{"before the sender is checked, the sender vanished", afterIndex, 0, patience + time.Millisecond, true},
		{"before it is proposed", afterCheck, 0, 0, false},
		{"before it is proposed, the close behind it", afterCheck, closeDelay - time.Millisecond, 0, false},
		{"before it is proposed, the sender vanished", afterCheck, 0, patience + time.Millisecond, true},
	}
	later := [][]string{
		{configstate.OpDrain},
		{configstate.OpResume},
		{configstate.OpDrain, configstate.OpResume},
		{configstate.OpResume, configstate.OpDrain},
		{configstate.OpResume, configstate.OpDrain, configstate.OpResume},
		{configstate.OpDrain, configstate.OpResume, configstate.OpDrain},
	}
	for _, p := range places {
		for _, op := range []string{configstate.OpDrain, configstate.OpResume} {
			for _, before := range []string{configstate.OpDrain, configstate.OpResume} {
				for _, orders := range later {
					t.Run(fmt.Sprint(p.name, " ", before, " ", op, " ", orders), func(t *testing.T) {
						g := newGroup()
						if err := g.order(&fakeSender{clock: g.clock}, before); err != nil {
							t.Fatal(err)
						}
						sender := &fakeSender{clock: g.clock}
						overtake := func() {
							gaveUp := g.clock.Now()
							for _, later := range orders {
								if err := g.order(&fakeSender{clock: g.clock}, later); err != nil {
									t.Fatalf("a later order is refused: %v", err)
								}
							}
							g.clock.advance(p.held)
							if p.place == nowhere {
								gaveUp = g.clock.Now() // the network held the close back as well
							}
							if !p.silent {
								sender.closed = gaveUp.Add(p.closeLag)
							}
						}
						if p.place == nowhere {
							overtake()
						} else {
							g.holdOnce(p.place, overtake)
						}
						_ = g.order(sender, op)
						if want := orders[len(orders)-1] == configstate.OpDrain; g.drained() != want {
							t.Errorf("hall is drained: %v, want %v", g.drained(), want)
						}
					})
				}
			}
		}
	}
}

// An order whose sender waits is carried out, whatever others are under way.
func TestOrderOfWaitingSenderIsCarriedOut(t *testing.T) {
	for _, place := range []int{nowhere, beforeIndex, afterIndex, afterCheck} {
		for _, op := range []string{configstate.OpDrain, configstate.OpResume} {
			for _, other := range []string{configstate.OpDrain, configstate.OpResume} {
				g := newGroup()
				g.holdOnce(place, func() {
					if err := g.order(&fakeSender{clock: g.clock}, other); err != nil {
						t.Fatal(err)
					}
				})
				if err := g.order(&fakeSender{clock: g.clock}, op); err != nil {
					t.Errorf("%s beside %s at %d: %v", op, other, place, err)
				}
				if want := op == configstate.OpDrain; g.drained() != want {
					t.Errorf("%s beside %s at %d: hall is drained: %v, want %v", op, other, place, g.drained(), want)
				}
			}
		}
	}
}

// An order that comes again is acknowledged again.
func TestCopiesAreAcknowledged(t *testing.T) {
	g := newGroup()
	for range 8 {
		if err := g.order(&fakeSender{clock: g.clock}, configstate.OpDrain); err != nil || !g.drained() {
			t.Fatalf("got error %v, drained %v", err, g.drained())
		}
	}
}

// A sender that is gone gets no clear refusal, since a copy of its order may have been taken.
func TestOrderOfGoneSenderIsNotRefused(t *testing.T) {
	g := newGroup()
	err := g.order(&fakeSender{clock: g.clock, closed: g.clock.Now()}, configstate.OpDrain)
	if e := wheelgauge.AsError(err); e.Status() != http.StatusServiceUnavailable || g.drained() {
		t.Errorf("got %v, drained %v, want status 503 and no change", err, g.drained())
	}
}
