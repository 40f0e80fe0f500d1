package peerset

import "wheelgauge"

// replaceHosts makes a whole list of live hosts the table's.
func (t *Table) replaceHosts(hosts []wheelgauge.FleetHost) {
	live := map[string]bool{}
	for _, h := range hosts {
		live[h.Name] = true
	}
	var removed []string
	for name := range t.peers {
		if !live[name] {
			removed = append(removed, name)
		}
	}
	t.UpdateHosts(hosts, removed)
}
