package routegate

import (
	"fmt"
	"strings"
	"testing"

	"wheelgauge"
	"wheelgauge/routetable"
)

// workspaces are two that share nothing; one is at home in another region.
func workspaces() []wheelgauge.Workspace {
	return []wheelgauge.Workspace{
		{Name: "desk", Keys: []string{"desk-key-1", "desk-key-2"}, Priority: 1},
		{Name: "clinic", Keys: []string{"clinic-key"}},
		{Name: "abroad", Keys: []string{"abroad-key"}, Homes: []string{"there", "yonder"}},
		{Name: "closed"},
	}
}

func withWorkspaces(g *Gate) {
	list := routes()
	list = append(list, wheelgauge.PathRoute{
		Name: "open", Host: "h", Prefix: "/open/", Kind: wheelgauge.RouteRepeatable, Timeout: testLimit, Attempts: 1,
		Shares: []wheelgauge.Share{{Service: "s", Weight: 1}}, Open: true, Priority: 3,
	}, wheelgauge.PathRoute{
		Name: "local", Host: "h", Prefix: "/local/", Kind: wheelgauge.RouteRepeatable, Timeout: testLimit, Attempts: 1,
		Shares: []wheelgauge.Share{{Service: "s", Weight: 1}}, Homes: []string{"here"},
	})
	g.SetTable(routetable.New(&wheelgauge.RouteSet{
		Version: 2, Routes: list, Services: []wheelgauge.Service{{Name: "s", Conns: 100}}, Workspaces: workspaces(),
	}))
}

func TestKeys(t *testing.T) {
	const key = "Wheelgauge-Key: "
	tests := []struct {
		name    string
		path    string
		headers string
		// unsure is set when the host does not know its configuration to be the newest.
		staleConfig bool
		status      int
		workspace   string // what the server is told
		priority    string
	}{
		{"a key", "/safe/", key + "desk-key-1", false, 200, "desk", "3"},
		{"another key of it", "/once/", key + "desk-key-2", false, 200, "desk", "2"},
		{"the workspace's priority goes first", "/safe/", key + "clinic-key", false, 200, "clinic", "1"},
		{"header names have no case", "/safe/", "wheelgauge-KEY: desk-key-1", false, 200, "desk", "3"},
		{"no key", "/safe/", "", false, 401, "", ""},
		{"an unknown key", "/safe/", key + "desk-key-3", false, 401, "", ""},
		{"keys have a case", "/safe/", key + "DESK-KEY-1", false, 401, "", ""},
		{"an empty key", "/safe/", key, false, 401, "", ""},
		{"two keys", "/safe/", key + "desk-key-1\r\n" + key + "clinic-key", false, 401, "", ""},
		{"one key twice", "/safe/", key + "desk-key-1\r\n" + key + "desk-key-1", false, 401, "", ""},
		{"an unknown key where the configuration may be old", "/safe/", key + "desk-key-3", true, 503, "", ""},
		{"a known key there", "/safe/", key + "desk-key-1", true, 200, "desk", "3"},
		{"a route for all", "/open/", "", false, 200, "", "5"},
		{"a route for all, with a key", "/open/", key + "desk-key-1", false, 200, "desk", "3"},
		{"a route for all, with an unknown key", "/open/", key + "other", false, 401, "", ""},
		{"the caller's own word", "/safe/", key + "desk-key-1\r\nWheelgauge-Workspace: clinic", false, 200, "desk", "3"},
		{"the caller's own word alone", "/open/", "Wheelgauge-Workspace: clinic", false, 200, "", "5"},
		{"no home here", "/safe/", key + "abroad-key", false, 503, "", ""},
		{"no home in common with the route", "/local/", key + "abroad-key", false, 421, "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBackend(t)
			g, c := newGate(t, routes(), b)
			withWorkspaces(g)
			if !tt.staleConfig {
				g.Confirm()
			}
			headers := tt.headers
			if headers != "" {
				headers += "\r\n"
			}
			resp, body, err := get(t, c, tt.path, headers)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != tt.status {
				t.Fatalf("got %d %s, want %d", resp.StatusCode, body, tt.status)
			}
			if tt.status != 200 {
				if len(b.received()) > 0 || resp.Header.Get(wheelgauge.HeaderOutcome) != string(wheelgauge.OutcomeNotRun) {
					t.Errorf("refused, and %d servers got it", len(b.received()))
				}
				if tt.status == 503 && resp.Header.Get("Retry-After") == "" {
					t.Error("a caller who may come back is not told when")
				}
				return
			}
			h := b.received()[0]
			if h.Get(wheelgauge.HeaderWorkspace) != tt.workspace || h.Get("Wheelgauge-Priority") != tt.priority {
				t.Errorf("the server was told workspace %q, priority %s", h.Get(wheelgauge.HeaderWorkspace), h.Get("Wheelgauge-Priority"))
			}
			if strings.Contains(strings.ToLower(fmt.Sprint(h)), "-key") {
				t.Errorf("the server was shown the key: %v", h)
			}
		})
	}
}

// A forwarded request is judged by the host that the caller came to; the workspace's
// homes bind here too, and one that is not known here has unknown homes.
func TestForwardedWorkspace(t *testing.T) {
	tests := []struct {
		name, workspace string
		status          int
	}{
		{"known", "desk", 200},
		{"not known here", "newer", 503},
		{"at home elsewhere", "abroad", 503},
		{"none", "", 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBackend(t)
			g, _ := newGate(t, routes(), b)
			withWorkspaces(g)
			headers := "Wheelgauge-Forwarded-From: there\r\n"
			if tt.workspace != "" {
				headers += "Wheelgauge-Workspace: " + tt.workspace + "\r\n"
			}
			resp, body, err := get(t, peerConn(t, g), "/safe/", headers)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != tt.status {
				t.Fatalf("got %d %s, want %d", resp.StatusCode, body, tt.status)
			}
			if tt.status == 200 && b.received()[0].Get(wheelgauge.HeaderWorkspace) != tt.workspace {
				t.Errorf("the server was told %q", b.received()[0].Get(wheelgauge.HeaderWorkspace))
			}
		})
	}
}
