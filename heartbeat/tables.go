package heartbeat

import (
	"time"

	"wheelgauge"
	"wheelgauge/changefetch"
)

// tableSync tracks the tables of hosts and servers that the host holds against those of the
// primary store. They are not part of the answer to a heartbeat, which has a timeout of a second:
// what does not pass a narrow link in that time would be sent again with each heartbeat.
type tableSync struct {
	// fetcher is used by one fetch at a time, while fetching is set.
	fetcher  *changefetch.Fetcher
	fetching bool
	// anyServers is set once a server of any region is known, serversKnown once the list of the
	// host's region is complete, too.
	anyServers   bool
	serversKnown bool
	// requestedAt is when the list in use of the host's region was requested.
	requestedAt time.Time
}

// compareTables compares the tables held with those of a store that answered as the primary:
// either they are the same, or what changed is fetched. deliverMu is held.
func (c *Client) compareTables(address, region string, a wheelgauge.FleetHeartbeatResponse, sentAt time.Time) {
	at, age := ListTime{RequestedAt: sentAt}, time.Duration(0)
	if a.Servers != nil {
		age = time.Duration(a.Servers.AgeMS) * time.Millisecond
		at.RequestedAt, at.ClockMS, at.Clock = sentAt.Add(-age), a.Servers.ClockMS, a.Servers.Clock
	}
	if c.fetchingTables() {
		return // rows that were fetched may not have been delivered yet
	}
	if a.TablesDigest == c.tables.fetcher.Digest() {
		c.confirmServers(a.Servers != nil, at)
		if a.Connected {
			c.options.Receiver.HostsCurrent(sentAt, a.AllHosts)
		}
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		return
	}
	c.tables.fetching = true
	request := wheelgauge.ChangesRequest{Region: region}
	if a.Servers != nil && c.now().Add(-age).Before(c.tables.requestedAt) {
		// A store that was not the primary of any host lately may hold an old list.
		request.Only = wheelgauge.TableHosts
	}
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		c.fetchTables(address, request, a.Servers != nil, at)
	}()
}

// fetchingTables reports whether a fetch is in progress. None begins while deliverMu is held.
func (c *Client) fetchingTables() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tables.fetching
}

// confirmServers records that the list held of the region's servers is that of a time, if the
// store knows it. deliverMu is held.
func (c *Client) confirmServers(known bool, at ListTime) {
	c.mu.Lock()
	if known = known && c.tables.anyServers; known {
		c.tables.serversKnown = true
		if at.RequestedAt.After(c.tables.requestedAt) {
			c.tables.requestedAt = at.RequestedAt
		}
	}
	c.mu.Unlock()
	if known {
		c.options.Receiver.ServersCurrent(at.RequestedAt)
	}
}

// fetchTables fetches what changed in the tables of a store, one response after another, until
// nothing differs.
func (c *Client) fetchTables(address string, r wheelgauge.ChangesRequest, known bool, at ListTime) {
	began, rows := c.now(), 0
	for {
		batch, err := c.tables.fetcher.Fetch(c.ctx, address, r)
		c.deliverMu.Lock()
		for _, u := range batch.Updates {
			rows += len(u.Rows)
			c.deliverRows(u, at)
			if u.Table == wheelgauge.ServersTable(r.Region) && u.Current {
				c.confirmServers(known, at)
			}
		}
		c.deliverMu.Unlock()
		if err != nil {
			c.options.Log.Info("Tables are not fetched.", "store", address, "rows", rows, "took_ms", c.now().Sub(began).Milliseconds(), "cause", err.Error())
		}
		if err != nil || batch.Current {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tables.fetching = false
}

// deliverRows passes rows of a table to the Receiver. deliverMu is held.
func (c *Client) deliverRows(u changefetch.Update, at ListTime) {
	if len(u.Rows) == 0 {
		return
	}
	if region, ok := wheelgauge.ServersTableRegion(u.Table); ok {
		c.options.Receiver.ServerRows(region, u.Rows, at)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.tables.anyServers = true
		return
	}
	if u.Table == wheelgauge.TableHosts {
		c.options.Receiver.HostRows(u.Rows)
	}
}
