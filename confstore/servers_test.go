package confstore

import (
	"testing"
	"time"

	"wheelgauge"
)

// What a primary heartbeat is told of the list of servers.
func TestListIsTold(t *testing.T) {
	const age = 2 * time.Second
	tests := []struct {
		name   string
		held   uint64 // the version of this store's list that the host holds
		age    int64  // of the list that it holds, in ms
		listed bool
		at     uint64
	}{
		{"the host has none", 0, 0, true, 3},
		{"it has an older one of this store", 2, 9000, true, 3},
		{"it has this one", 3, 1000, false, 3},
		{"it has an older one of another store", 0, 9000, true, 3},
		{"it has a newer one of another store", 0, 500, false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := &Node{boot: 7}
			n.servers = serverView{list: []wheelgauge.Server{{Instance: "i"}}, asked: time.Now().Add(-age), version: 3}
			var a wheelgauge.BeatAnswer
			n.addServers(&a, wheelgauge.Beat{Primary: true, Store: 7, Servers: tt.held, ListAgeMS: tt.age}, true)
			if (a.Servers != nil) != tt.listed || a.ServersAt != tt.at {
				t.Errorf("told %v of version %d, want a list: %t, of version %d", a.Servers, a.ServersAt, tt.listed, tt.at)
			}
		})
	}
}
