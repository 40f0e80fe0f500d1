package permitclient

import (
	"context"
	"slices"
	"time"

	"wheelgauge"
)

const (
	// renewInterval is how often what is in flight is reported again: several times in the time
	// that stores count it for.
	renewInterval = 500 * time.Millisecond
	// loadValidity is how long a server's report of its load counts here.
	loadValidity = time.Second
	// maxMisses is the number of consecutive calls without an answer after which a store counts as
	// silent.
	maxMisses = 2
	// idleUseTTL is how long a server is kept without requests in flight.
	idleUseTTL = time.Minute
)

// use is what this host has in flight at a server.
type use struct {
	slots int
	// brittle is set for a server that fails if it has to reject more than bears requests a
	// second.
	brittle bool
	bears   float64
	sent    int
	// pending are the numbers of the requests for a place without an answer.
	pending []uint64
	// rejected and full are as in wheelgauge.PlaceUse.
	rejected, full int
	// load is what the server has from all hosts by its last report, and what this host has sent
	// and seen end since then; waiting is how many of these waited.
	load, waiting int
	loadAt        time.Time
	loadUnsent    bool
	// part is how many requests the host may have in flight while no store answers; -1 as long as
	// one does.
	part    int
	dirty   bool
	endedAt time.Time
}

// use returns the use of a server, adding it if needed. The lock must be held.
func (c *Client) use(server string) *use {
	u := c.uses[server]
	if u == nil {
		u = &use{full: -1, part: -1}
		c.uses[server] = u
	}
	return u
}

// send records that a request is sent. The lock must be held.
func (u *use) send() {
	u.sent++
	u.load++
}

// Enter implements wheelgauge.PermitSource.
func (c *Client) Enter(ctx context.Context, q wheelgauge.PlaceQuery) (after time.Duration, ok bool) {
	c.mu.Lock()
	u := c.use(q.Server)
	u.slots, u.brittle, u.bears = q.Slots, q.Brittle, q.Bears
	if !q.Brittle {
		u.send()
		c.mu.Unlock()
		return 0, true
	}
	c.mu.Unlock()
	for i, store := range c.rankedStores(q.Server) {
		if !store.Reachable || c.isSilent(store.Address) {
			continue
		}
		after, granted, err := c.enterAt(ctx, store.Address, i > 0, q)
		if err == nil {
			return after, granted
		}
		if ctx.Err() != nil {
			return 0, false
		}
		if !c.recordMiss(store.Address) {
			return standaloneRetryAfter, false
		}
	}
	return c.enterAlone(q)
}

// enterAt asks a store for a place.
func (c *Client) enterAt(ctx context.Context, address string, fallback bool, q wheelgauge.PlaceQuery) (after time.Duration, granted bool, err error) {
	c.mu.Lock()
	u := c.use(q.Server)
	number := c.nextNumber
	c.nextNumber++
	u.pending = append(u.pending, number)
	uses := c.message([]string{q.Server})
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout+q.MaxWait)
	defer cancel()
	answer, err := c.options.Request(ctx, address, wheelgauge.PermitRequest{
		MaxWaitMS: q.MaxWait.Milliseconds(), Fallback: fallback, Place: &wheelgauge.PlaceRequest{Number: number, Rank: q.Rank}, Uses: uses,
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	u.pending = slices.DeleteFunc(u.pending, func(n uint64) bool { return n == number })
	if err != nil {
		c.markDirty(u) // the store may have granted a place
		return 0, false, err
	}
	delete(c.misses, address)
	u.part = -1
	if answer.Granted {
		u.send()
	}
	return time.Duration(answer.DelayMS) * time.Millisecond, answer.Granted, nil
}

// enterAlone decides while no store answers: the host goes on with as many requests as it had in
// flight, and its share of the rejections that the server bears is risked for more.
func (c *Client) enterAlone(q wheelgauge.PlaceQuery) (after time.Duration, ok bool) {
	sharers := c.options.Sharers()
	c.mu.Lock()
	defer c.mu.Unlock()
	u, now := c.use(q.Server), c.options.Now()
	if u.part < 0 {
		u.part = u.sent
	}
	full := now.Sub(u.loadAt) <= loadValidity && (u.waiting > 0 || u.load >= u.slots)
	switch {
	case full || u.sent >= u.slots:
		return standaloneRetryAfter, false
	case u.sent >= u.part && !c.shares.Take(q.Server, c.options.Host, sharers, standaloneFraction*max(q.Bears, minStandaloneRate)):
		return standaloneRetryAfter, false
	}
	u.send()
	u.part = max(u.part, u.sent)
	return 0, true
}

// Answered implements wheelgauge.PermitSource.
func (c *Client) Answered(server string, a wheelgauge.PlaceAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.use(server)
	u.bears, u.brittle = c.options.Limits.RateOf(wheelgauge.LimitRejections, server)
	if a.Rejected {
		u.rejected++
		u.full = -1
		if u.part > 0 {
			u.part = u.sent - 1
		}
	}
	if a.LoadKnown {
		u.load, u.waiting, u.loadAt, u.loadUnsent = a.Running+a.Waiting+1, a.Waiting, c.options.Now(), true
		if a.Rejected {
			u.full = a.Running
		}
	}
	if u.brittle {
		c.markDirty(u)
	}
}

// Leave implements wheelgauge.PermitSource.
func (c *Client) Leave(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.use(server)
	u.sent, u.load, u.endedAt = max(0, u.sent-1), max(0, u.load-1), c.options.Now()
	switch {
	case u.brittle:
		c.markDirty(u)
	case u.sent == 0 && len(u.pending) == 0:
		delete(c.uses, server)
	}
}

// markDirty has a use reported. The lock must be held.
func (c *Client) markDirty(u *use) {
	u.dirty = true
	select {
	case c.wake <- struct{}{}:
	default: // it is awake
	}
}

// message returns the message with the uses of some servers. The lock must be held.
func (c *Client) message(servers []string) *wheelgauge.HostUses {
	c.seq++
	m := &wheelgauge.HostUses{Host: c.options.Host, Boot: c.options.Boot, Seq: c.seq, Next: c.nextNumber}
	for _, server := range servers {
		u := c.use(server)
		m.Uses = append(m.Uses, wheelgauge.PlaceUse{
			Server: server, Bears: u.bears, Slots: u.slots, Sent: u.sent, Pending: slices.Clone(u.pending),
			Rejected: u.rejected, Full: u.full, LoadKnown: u.loadUnsent, Load: u.load, Waiting: u.waiting,
		})
		u.dirty, u.loadUnsent = false, false
	}
	return m
}

// Run reports what is in flight at servers that bear few rejections, until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.wake:
		case <-ticker.C:
			c.Renew()
		}
		c.Flush(ctx)
	}
}

// Renew marks what is in flight for another report, and drops servers without requests.
func (c *Client) Renew() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for server, u := range c.uses {
		inUse := u.sent > 0 || len(u.pending) > 0
		u.dirty = u.dirty || u.brittle && inUse
		if !inUse && !u.dirty && c.options.Now().Sub(u.endedAt) > idleUseTTL {
			delete(c.uses, server)
		}
	}
}

// Flush sends the reports that are due, one for each store.
func (c *Client) Flush(ctx context.Context) {
	var addresses []string
	due := map[string][]string{}
	for _, server := range c.dirtyServers() {
		for _, store := range c.rankedStores(server) {
			if !store.Reachable || c.isSilent(store.Address) {
				continue
			}
			if due[store.Address] == nil {
				addresses = append(addresses, store.Address)
			}
			due[store.Address] = append(due[store.Address], server)
			break
		}
	}
	for _, address := range addresses {
		c.report(ctx, address, due[address])
	}
}

// dirtyServers returns the names of the servers whose uses are to be reported, sorted.
func (c *Client) dirtyServers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for server, u := range c.uses {
		if u.dirty {
			out = append(out, server)
		}
	}
	slices.Sort(out)
	return out
}

// report sends the uses of some servers to a store. What does not arrive goes with the next
// report.
func (c *Client) report(ctx context.Context, address string, servers []string) {
	c.mu.Lock()
	uses := c.message(servers)
	c.mu.Unlock()
	_, err := c.request(ctx, address, wheelgauge.PermitRequest{Uses: uses})
	if err != nil && ctx.Err() == nil {
		c.recordMiss(address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		delete(c.misses, address)
		return
	}
	for _, server := range servers {
		if u := c.uses[server]; u != nil {
			u.dirty = true
		}
	}
}

// recordMiss records a call to a store without an answer, and reports whether the store counts as
// silent: a single call may be lost.
func (c *Client) recordMiss(address string) bool {
	c.mu.Lock()
	c.misses[address]++
	silent := c.misses[address] >= maxMisses
	c.mu.Unlock()
	if silent {
		c.markSilent(address)
	}
	return silent
}
