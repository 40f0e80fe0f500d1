package systemtest

import (
	"net"
	"sync"
	"testing"
	"time"
)

// linkRule describes how the link from one host to another treats bytes.
type linkRule struct {
	delay time.Duration
	cut   bool
}

// network is a set of proxies in front of the hosts. Each host connects from its
// own address, so that both ends of each connection are known.
type network struct {
	t          testing.TB
	mu         sync.Mutex
	cond       *sync.Cond
	rules      func(from, to string) linkRule
	blocked    map[[2]string]bool
	closed     bool
	listeners  []net.Listener
	conns      map[net.Conn]bool
	bytes      map[string]int64 // sent and received by each host through the proxies
	goroutines sync.WaitGroup
}

// newNetwork returns a network; rules gives the rule of each link between two IP
// addresses.
func newNetwork(t testing.TB, rules func(from, to string) linkRule) *network {
	n := &network{t: t, rules: rules, blocked: map[[2]string]bool{}, conns: map[net.Conn]bool{}, bytes: map[string]int64{}}
	n.cond = sync.NewCond(&n.mu)
	t.Cleanup(n.close)
	return n
}

// proxy listens on address and forwards connections to target, a listener of host.
func (n *network) proxy(address, target, host string) {
	n.t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		n.t.Fatal(err)
	}
	n.listeners = append(n.listeners, l)
	n.goroutines.Go(func() { n.accept(l, target, host) })
}

func (n *network) accept(l net.Listener, target, host string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		n.goroutines.Go(func() { n.serve(c, target, host) })
	}
}

func (n *network) serve(c net.Conn, target, host string) {
	defer c.Close()
	from, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	if !n.track(c) {
		return
	}
	// As on a real link, a connection needs both directions open.
	if !n.awaitOpen(from, host) || !n.awaitOpen(host, from) {
		return
	}
	d, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		return
	}
	defer d.Close()
	if !n.track(d) {
		return
	}
	var pumps sync.WaitGroup
	pumps.Go(func() { n.pump(c, d, from, host) })
	pumps.Go(func() { n.pump(d, c, host, from) })
	pumps.Wait()
	n.untrack(c)
	n.untrack(d)
}

func (n *network) track(c net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.conns[c] = true
	return true
}

func (n *network) untrack(c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

type chunk struct {
	data []byte
	at   time.Time
}

// pump copies bytes from a to b with the delay of the link. While that direction
// is blocked, bytes wait.
func (n *network) pump(from, to net.Conn, a, b string) {
	chunks := make(chan chunk, 1024)
	var reader sync.WaitGroup
	reader.Go(func() {
		defer close(chunks)
		buf := make([]byte, 32<<10)
		for {
			k, err := from.Read(buf)
			if k > 0 {
				chunks <- chunk{append([]byte(nil), buf[:k]...), time.Now()}
			}
			if err != nil {
				return
			}
		}
	})
	for p := range chunks {
		if wait := n.rules(a, b).delay - time.Since(p.at); wait > 0 {
			time.Sleep(wait)
		}
		if !n.awaitOpen(a, b) {
			break
		}
		n.countBytes(a, b, len(p.data))
		if _, err := to.Write(p.data); err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
	for range chunks {
		continue
	}
	reader.Wait()
}

func (n *network) countBytes(from, to string, k int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes[from] += int64(k)
	n.bytes[to] += int64(k)
}

// traffic returns the number of bytes that a host has sent and received.
func (n *network) traffic(host string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes[host]
}

// awaitOpen waits while the direction from a to b is blocked. It returns false if
// the network is closed.
func (n *network) awaitOpen(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.blocked[[2]string{a, b}] && !n.closed {
		n.cond.Wait()
	}
	return !n.closed
}

// blockOneWay blocks the direction from a to b only.
func (n *network) blockOneWay(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[[2]string{a, b}] = true
}

// partition blocks both directions between each of as and each of bs.
func (n *network) partition(as, bs []string) {
	for _, a := range as {
		for _, b := range bs {
			n.blockOneWay(a, b)
			n.blockOneWay(b, a)
		}
	}
}

// heal unblocks all links.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.blocked)
	n.cond.Broadcast()
}

// reset closes every connection.
func (n *network) reset() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		_ = c.Close()
	}
}

func (n *network) close() {
	n.mu.Lock()
	n.closed = true
	n.cond.Broadcast()
	for c := range n.conns {
		_ = c.Close()
	}
	n.mu.Unlock()
	for _, l := range n.listeners {
		_ = l.Close()
	}
	n.goroutines.Wait()
}
