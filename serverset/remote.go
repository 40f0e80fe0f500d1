package serverset

import (
	"wheelgauge"
	"wheelgauge/rendezvous"
)

// remoteServer is a server of another region.
type remoteServer struct {
	instance string
	address  string
	service  string
	version  string
	leaving  bool
	hash     uint64
}

// remoteList are the servers of another region, in no order: each request without a holder of its
// prefix goes through them.
type remoteList struct {
	servers []remoteServer
	// index has the place of each instance in servers.
	index map[string]int
}

// UpdateRemoteServers sets and removes servers of another region, which may have prefixes cached
// that the region's own do not.
func (t *Table) UpdateRemoteServers(region string, changed []wheelgauge.Server, removed []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.remoteServers[region]
	if l == nil {
		l = &remoteList{index: map[string]int{}}
		t.remoteServers[region] = l
	}
	for _, instance := range removed {
		t.removeRemote(l, instance)
	}
	for _, s := range changed {
		t.removeRemote(l, s.Instance)
		l.index[s.Instance] = len(l.servers)
		l.servers = append(l.servers, remoteServer{
			instance: s.Instance, address: s.Address, service: s.Service, version: s.Version, leaving: s.Leaving, hash: rendezvous.Hash(s.Instance),
		})
		t.remoteVersions.add(s.Service, s.Version)
	}
	t.recordListed()
}

// removeRemote removes a server, if it is there, by putting the last one in its place.
func (t *Table) removeRemote(l *remoteList, instance string) {
	i, ok := l.index[instance]
	if !ok {
		return
	}
	t.remoteVersions.remove(l.servers[i].service, l.servers[i].version)
	last := len(l.servers) - 1
	l.servers[i] = l.servers[last]
	l.index[l.servers[i].instance] = i
	l.servers = l.servers[:last]
	delete(l.index, instance)
}

// remote returns the servers of another region. The lock is held.
func (t *Table) remote(region string) []remoteServer {
	if l := t.remoteServers[region]; l != nil {
		return l.servers
	}
	return nil
}

// recordListed records which versions are listed now, in all regions. The lock is held.
func (t *Table) recordListed() {
	var listed []wheelgauge.Server
	for _, counts := range []listedVersions{t.versions, t.remoteVersions} {
		for service, versions := range counts {
			for version := range versions {
				listed = append(listed, wheelgauge.Server{Service: service, Version: version})
			}
		}
	}
	t.history.Update(listed)
}
