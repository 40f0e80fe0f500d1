package bootclock

import (
	"errors"
	"testing"
	"time"
)

// machine has a steady clock and a boot clock that a test moves.
type machine struct {
	steady time.Time
	boot   time.Duration
	err    error
	reads  int
}

func newMachine() *machine { return &machine{steady: time.Unix(1000, 0), boot: time.Hour} }

func (m *machine) run(d time.Duration) {
	m.steady = m.steady.Add(d)
	m.boot += d
}

func (m *machine) sleep(d time.Duration) { m.boot += d }

func (m *machine) now() time.Time { return m.steady }

func (m *machine) bootTime() (time.Duration, error) {
	m.reads++
	return m.boot, m.err
}

func (m *machine) clock(t *testing.T) *Clock {
	t.Helper()
	c, err := newClock(m.bootTime, m.now)
	if (err != nil) != (m.err != nil) {
		t.Fatal(err)
	}
	return c
}

// lost is what a clock counts beyond the steady one, read anew.
func (m *machine) lost(c *Clock) time.Duration { return c.read(m.steady) }

func TestSuspendedTimeCounts(t *testing.T) {
	for _, lost := range []time.Duration{3 * time.Second, 10 * time.Second, time.Minute} {
		m := newMachine()
		c := m.clock(t)
		began := c.Now()
		m.run(time.Second)
		if got := c.Now().Sub(began); got != time.Second {
			t.Errorf("%s passed while the machine ran for 1 s", got)
		}
		m.sleep(lost)
		m.run(fresh)
		if got, want := c.Now().Sub(began), time.Second+lost+fresh; got != want {
			t.Errorf("%s passed, want %s", got, want)
		}
		if m.lost(c) != lost {
			t.Errorf("lost %s, want %s", m.lost(c), lost)
		}
	}
}

// A step of the time of day moves neither clock; what passes between two readings is no
// suspension, and the time never goes back.
func TestNeverBack(t *testing.T) {
	m := newMachine()
	c := m.clock(t)
	last := c.Now()
	for n := range 1000 {
		m.run(3 * time.Millisecond)
		m.boot += time.Duration(n%7-3) * time.Millisecond
		now := c.Now()
		if now.Before(last) {
			t.Fatalf("went back by %s", last.Sub(now))
		}
		last = now
	}
	if m.lost(c) != 0 {
		t.Errorf("lost %s", m.lost(c))
	}
}

func TestFewReadings(t *testing.T) {
	m := newMachine()
	c := m.clock(t)
	m.reads = 0
	for range 1000 {
		m.run(50 * time.Microsecond)
		c.Now()
	}
	if m.reads > 10 {
		t.Errorf("the boot clock is read %d times in 50 ms", m.reads)
	}
}

func TestWithoutBootClock(t *testing.T) {
	m := newMachine()
	m.err = errors.New("none")
	c := m.clock(t)
	began := c.Now()
	m.run(time.Second)
	m.sleep(time.Second)
	if got := c.Now().Sub(began); got != time.Second || m.lost(c) != 0 {
		t.Errorf("%s passed, %s lost", got, m.lost(c))
	}
}

func TestOfThisMachine(t *testing.T) {
	c, err := New()
	if err != nil {
		t.Fatal(err)
	}
	if before := c.Now(); c.Now().Before(before) {
		t.Error("the time goes back")
	}
}

// BenchmarkNow measures what a moment costs beside time.Now: 102 ns and 90, once in 5 ms
// 380 ns.
func BenchmarkNow(b *testing.B) {
	c, err := New()
	if err != nil {
		b.Fatal(err)
	}
	b.Run("clock", func(b *testing.B) {
		for b.Loop() {
			c.Now()
		}
	})
	b.Run("time", func(b *testing.B) {
		for b.Loop() {
			time.Now()
		}
	})
}
