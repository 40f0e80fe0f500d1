package serverset

import (
	"time"

	"wheelgauge"
)

// replaceList makes a whole list, requested at a time, the table's.
func (t *Table) replaceList(list []wheelgauge.Server, requestedAt time.Time) {
	listed := map[string]bool{}
	for _, s := range list {
		listed[s.Instance] = true
	}
	var removed []string
	for name := range t.servers {
		if !listed[name] {
			removed = append(removed, name)
		}
	}
	t.Update(list, removed, requestedAt)
	t.ConfirmList(requestedAt)
}

// setRemoteServers adds servers of other regions.
func (t *Table) setRemoteServers(list []wheelgauge.Server) {
	for _, s := range list {
		t.UpdateRemoteServers(s.Region, []wheelgauge.Server{s}, nil)
	}
}
