package replica

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/peerhttp"
)

var (
	seriesSeeds = flag.Int("series.seeds", 2, "number of seeds that the test of faults in series runs")
	seriesFrom  = flag.Uint64("series.from", 1, "first of these seeds")
	seriesSteps = flag.Int("series.steps", 8, "faults in each of these runs")
	// seriesOverlap is off: a store on a copy of its disk that the group works without joins it anew, and
	// counts as one that lost its disk until it votes.
	seriesOverlap = flag.Bool("series.overlap", false, "disks are also lost while stores on copies join again")
)

// maxLostDisks is the number of disks whose loss a group of five tolerates.
const maxLostDisks = 2

// links cuts and delays what stores send each other.
type links struct {
	mu     sync.Mutex
	cut    map[[2]string]bool
	delays map[[2]string]time.Duration
}

func newLinks() *links {
	return &links{cut: map[[2]string]bool{}, delays: map[[2]string]time.Duration{}}
}

func (l *links) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.cut)
	clear(l.delays)
}

func (l *links) set(from, to string, cut bool, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[[2]string{from, to}], l.delays[[2]string{from, to}] = cut, delay
}

func (l *links) get(from, to string) (cut bool, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[[2]string{from, to}], l.delays[[2]string{from, to}]
}

// linkConn is a connection of one store to another.
type linkConn struct {
	net.Conn
	l        *links
	from, to string
}

func (c *linkConn) Write(p []byte) (int, error) {
	cut, delay := c.l.get(c.from, c.to)
	time.Sleep(delay)
	if cut {
		return len(p), nil // lost: the caller waits in vain
	}
	return c.Conn.Write(p)
}

func (c *linkConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if cut, _ := c.l.get(c.to, c.from); !cut || err != nil {
			return n, err
		}
	}
}

// highestMachine is a state machine that holds the highest number that it was given.
type highestMachine struct{ highest atomic.Int64 }

func (m *highestMachine) Apply(_ uint64, command []byte) []byte {
	var n int64
	if json.Unmarshal(command, &n) == nil {
		m.highest.Store(max(n, m.highest.Load()))
	}
	return []byte(`{}`)
}

func (m *highestMachine) Snapshot() ([]byte, error) { return json.Marshal(m.highest.Load()) }

func (m *highestMachine) Restore(snapshot []byte) error {
	m.highest.Store(0)
	if string(snapshot) == `{}` {
		return nil
	}
	var n int64
	err := json.Unmarshal(snapshot, &n)
	m.highest.Store(n)
	return err
}

// faultSeries is a group whose stores have faults in series, which overlap, while it gets commands.
type faultSeries struct {
	*group
	rnd      *rand.Rand
	all      []string
	links    *links
	dirs     map[string]string
	backups  map[string]string
	machines map[string]*highestMachine
	// lost are the stores that lost their disks since the group was last whole.
	lost map[string]bool
	// copied is set if a store started on a copy of its disk since then.
	copied bool
	mu     sync.Mutex // for group.nodes and machines
	acked  atomic.Int64
	steps  []string
}

func startFaultSeries(t *testing.T, seed uint64) *faultSeries {
	s := &faultSeries{
		group: &group{t: t, nodes: map[string]*node{}}, rnd: rand.New(rand.NewPCG(seed, 31)), links: newLinks(),
		dirs: map[string]string{}, backups: map[string]string{}, machines: map[string]*highestMachine{}, lost: map[string]bool{},
	}
	for n := range 5 {
		s.all = append(s.all, fmt.Sprintf("127.0.91.%d:%d", n+1, 7801+seed%100))
	}
	s.seeds = s.all[:3]
	for _, a := range s.all {
		s.dirs[a] = t.TempDir()
		s.begin(a, true)
	}
	s.waitFor("five voters", s.whole)
	return s
}

func (s *faultSeries) note(format string, args ...any) {
	s.steps = append(s.steps, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

func (s *faultSeries) begin(address string, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nodes[address] != nil {
		return
	}
	machine := &highestMachine{}
	s.machines[address] = machine
	s.wrapMachine = func(*testMachine) wheelgauge.StateMachine { return machine }
	s.editOptions = func(o *Options) {
		o.Tick = 10 * time.Millisecond
		o.Client = peerhttp.NewClient(peerhttp.NewDialer("", nil).WrapConns(func(c net.Conn) net.Conn {
			return &linkConn{Conn: c, l: s.links, from: address, to: c.RemoteAddr().String()}
		}), "")
	}
	s.start(address, s.dirs[address], first)
}

func (s *faultSeries) kill(address string) {
	s.mu.Lock()
	n := s.nodes[address]
	delete(s.nodes, address)
	s.mu.Unlock()
	if n != nil {
		n.stop()
	}
}

// running returns the stores that run, in order.
func (s *faultSeries) running() []*node {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*node
	for _, a := range s.all {
		if n := s.nodes[a]; n != nil {
			out = append(out, n)
		}
	}
	return out
}

// whole reports whether all stores vote by the list of the leader.
func (s *faultSeries) whole() bool {
	nodes := s.running()
	leader := slices.IndexFunc(nodes, func(n *node) bool { return n.replica.IsLeader() })
	if leader < 0 || len(nodes) != len(s.all) {
		return false
	}
	status := nodes[leader].replica.Status()
	if len(status.Members) != len(nodes) || status.Health == nil || status.Health.Replying != len(nodes) {
		return false
	}
	for _, n := range nodes {
		if s := n.replica.Status(); !s.Self.Voter || s.Leader != status.Self.ID {
			return false
		}
	}
	return true
}

func (s *faultSeries) proposeAt(n *node, value int64) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	command, _ := json.Marshal(value)
	if _, err := n.replica.Propose(ctx, command); err != nil {
		return false
	}
	s.acked.Store(max(value, s.acked.Load()))
	return true
}

// propose gives commands to the stores until stop is closed, and returns the last one.
func (s *faultSeries) proposeUntil(stop chan struct{}, rnd *rand.Rand) int64 {
	for value := int64(1); ; value++ {
		select {
		case <-stop:
			return value
		case <-time.After(20 * time.Millisecond):
		}
		if nodes := s.running(); len(nodes) > 0 {
			s.proposeAt(nodes[rnd.IntN(len(nodes))], value)
		}
	}
}

// pick returns up to most random stores, at least one.
func (s *faultSeries) pick(most int) []string {
	out := slices.Clone(s.all)
	s.rnd.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:1+s.rnd.IntN(most)]
}

func (s *faultSeries) copyDir(dir string) string {
	out := s.t.TempDir()
	if err := os.CopyFS(out, os.DirFS(dir)); err != nil {
		return "" // a file was replaced meanwhile
	}
	return out
}

func (s *faultSeries) step() {
	switch s.rnd.IntN(7) {
	case 0:
		s.restart(s.pick(5), s.rnd.IntN(2) == 0, 0)
	case 1:
		s.restart(s.pick(1), false, 1)
	case 2:
		s.restart(slices.Concat(s.all), s.rnd.IntN(2) == 0, maxLostDisks)
	case 3: // some are cut off, one way or both
		for _, a := range s.pick(2) {
			in, out := s.rnd.IntN(3) > 0, s.rnd.IntN(3) > 0
			s.note("cut %s in %v out %v", a, in, out)
			for _, b := range s.all {
				s.links.set(a, b, out, 0)
				s.links.set(b, a, in, 0)
			}
		}
	case 4:
		s.note("delays")
		for _, a := range s.all {
			for _, b := range s.all {
				s.links.set(a, b, false, time.Duration(s.rnd.IntN(60))*time.Millisecond)
			}
		}
	case 5:
		s.note("heal")
		s.links.heal()
	case 6:
		a := s.pick(1)[0]
		if dir := s.copyDir(s.dirs[a]); dir != "" {
			s.note("backup of %s", a)
			s.backups[a] = dir
		}
	}
}

// restart stops stores and starts them again, on copies of their disks if copied. Up to lose of them
// lose their disks, or get an older copy, if the group bears it.
func (s *faultSeries) restart(stores []string, copied bool, lose int) {
	var stopped sync.WaitGroup
	for _, a := range stores {
		stopped.Go(func() { s.kill(a) })
	}
	stopped.Wait()
	s.note("killed %v", stores)
	s.rnd.Shuffle(len(stores), func(i, j int) { stores[i], stores[j] = stores[j], stores[i] })
	for _, a := range stores {
		switch {
		case lose > 0 && (!s.copied || *seriesOverlap) && len(s.lost) < maxLostDisks && !s.lost[a]:
			lose--
			s.lost[a] = true
			s.dirs[a] = s.t.TempDir()
			if b := s.backups[a]; b != "" && len(s.lost) == 1 {
				s.dirs[a] = b
			}
			s.note("%s on a lost or an older disk, older %v", a, s.dirs[a] == s.backups[a])
			delete(s.backups, a)
		case copied && s.rnd.IntN(4) > 0:
			s.note("%s on a copy", a)
			s.dirs[a], s.copied = s.copyDir(s.dirs[a]), true
		}
		first := s.rnd.IntN(3) == 0
		s.note("start %s, first %v", a, first)
		s.begin(a, first)
		time.Sleep(time.Duration(s.rnd.IntN(60)) * time.Millisecond)
	}
}

func (s *faultSeries) calm() {
	s.note("calm")
	s.links.heal()
	s.waitFor("a whole group", s.whole)
	s.lost, s.copied = map[string]bool{}, false
}

func TestGroupGoesOnAfterFaultsInSeries(t *testing.T) {
	for seed := *seriesFrom; seed < *seriesFrom+uint64(*seriesSeeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := startFaultSeries(t, seed)
			defer s.stopAll()
			defer func() {
				if t.Failed() {
					t.Log(strings.Join(s.steps, "\n"))
				}
			}()
			stop, last := make(chan struct{}), make(chan int64, 1)
			go func() { last <- s.proposeUntil(stop, rand.New(rand.NewPCG(seed, 32))) }()
			endCommands := sync.OnceValue(func() int64 {
				close(stop)
				return <-last
			})
			defer endCommands()
			for range *seriesSteps {
				s.step()
				if len(s.lost) > 0 && s.rnd.IntN(3) == 0 {
					s.calm()
				}
				time.Sleep(time.Duration(s.rnd.IntN(600)) * time.Millisecond)
			}
			value := endCommands() + 1
			s.calm()
			s.waitFor("what was acknowledged", func() bool { return s.machinesHave(s.acked.Load()) })
			acked := s.acked.Load()
			s.waitFor("a command after the faults", func() bool { return s.proposeAt(s.running()[0], value) })
			s.waitFor("this command", func() bool { return s.machinesHave(value) })
			t.Logf("seed %d: %d commands, the last acknowledged %d, %d steps", seed, value, acked, len(s.steps))
		})
	}
}

func (s *faultSeries) machinesHave(value int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.machines {
		if m.highest.Load() < value {
			return false
		}
	}
	return true
}
