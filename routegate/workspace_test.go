package routegate

import (
	"fmt"
	"strings"
	"testing"

	"wheelgauge"
	"wheelgauge/routetable"
)

// workspaces returns workspaces without keys in common; one has its homes in other regions.
func workspaces() []wheelgauge.Workspace {
	return []wheelgauge.Workspace{
		{Name: "desk", Keys: []string{"desk-key-1", "desk-key-2"}, Priority: 1},
		{Name: "clinic", Keys: []string{"clinic-key"}},
		{Name: "abroad", Keys: []string{"abroad-key"}, HomeRegions: []string{"there", "yonder"}},
		{Name: "closed"},
	}
}

func withWorkspaces(g *Gate) {
	list := routes()
	list = append(list, wheelgauge.PathRoute{
		Name: "open", Host: "h", Prefix: "/open/", Kind: wheelgauge.RouteRepeatable, Timeout: testLimit, MaxAttempts: 1,
		Shares: []wheelgauge.TrafficShare{{Service: "s", Weight: 1}}, AllowAnonymous: true, Priority: 3,
	}, wheelgauge.PathRoute{
		Name: "local", Host: "h", Prefix: "/local/", Kind: wheelgauge.RouteRepeatable, Timeout: testLimit, MaxAttempts: 1,
		Shares: []wheelgauge.TrafficShare{{Service: "s", Weight: 1}}, HomeRegions: []string{"here"},
	})
	g.SetTable(routetable.New(&wheelgauge.RouteSet{
		Version: 2, Routes: list, Services: []wheelgauge.Service{{Name: "s", MaxConns: 100}}, Workspaces: workspaces(),
	}))
}

func TestKeys(t *testing.T) {
	const key = "Wheelgauge-Key: "
	tests := []struct {
		name    string
		path    string
		headers string
		// staleConfig is set when the host cannot confirm that its configuration is the
		// newest.
		staleConfig bool
		status      int
		workspace   string // what the server receives
		priority    string
	}{
		{"a key", "/safe/", key + "desk-key-1", false, 200, "desk", "3"},
		{"another key of it", "/once/", key + "desk-key-2", false, 200, "desk", "2"},
		{"the priority of the workspace goes first", "/safe/", key + "clinic-key", false, 200, "clinic", "1"},
		{"header names are case-insensitive", "/safe/", "wheelgauge-KEY: desk-key-1", false, 200, "desk", "3"},
		{"no key", "/safe/", "", false, 401, "", ""},
		{"an unknown key", "/safe/", key + "desk-key-3", false, 401, "", ""},
		{"keys are case-sensitive", "/safe/", key + "DESK-KEY-1", false, 401, "", ""},
		{"an empty key", "/safe/", key, false, 401, "", ""},
		{"two keys", "/safe/", key + "desk-key-1\r\n" + key + "clinic-key", false, 401, "", ""},
		{"one key twice", "/safe/", key + "desk-key-1\r\n" + key + "desk-key-1", false, 401, "", ""},
		{"an unknown key with a stale configuration", "/safe/", key + "desk-key-3", true, 503, "", ""},
		{"a known key with a stale configuration", "/safe/", key + "desk-key-1", true, 200, "desk", "3"},
		{"an open route", "/open/", "", false, 200, "", "5"},
		{"an open route, with a key", "/open/", key + "desk-key-1", false, 200, "desk", "3"},
		{"an open route, with an unknown key", "/open/", key + "other", false, 401, "", ""},
		{"a workspace header of the caller", "/safe/", key + "desk-key-1\r\nWheelgauge-Workspace: clinic", false, 200, "desk", "3"},
		{"a workspace header of the caller, without a key", "/open/", "Wheelgauge-Workspace: clinic", false, 200, "", "5"},
		{"no home here", "/safe/", key + "abroad-key", false, 503, "", ""},
		{"no home in common with the route", "/local/", key + "abroad-key", false, 421, "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBackend(t)
			g, c := newGate(t, routes(), b)
			withWorkspaces(g)
			if !tt.staleConfig {
				g.ConfirmConfig()
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
					t.Errorf("refused, but sent to %d servers or without the outcome not run", len(b.received()))
				}
				if tt.status == 503 && resp.Header.Get("Retry-After") == "" {
					t.Error("a 503 has no Retry-After")
				}
				return
			}
			h := b.received()[0]
			if h.Get(wheelgauge.HeaderWorkspace) != tt.workspace || h.Get("Wheelgauge-Priority") != tt.priority {
				t.Errorf("the server got workspace %q, priority %s", h.Get(wheelgauge.HeaderWorkspace), h.Get("Wheelgauge-Priority"))
			}
			if strings.Contains(strings.ToLower(fmt.Sprint(h)), "-key") {
				t.Errorf("the server got the key: %v", h)
			}
		})
	}
}

// A forwarded request is authenticated by the host that the caller connected to. The homes of
// its workspace apply here too, and a workspace unknown here has unknown homes.
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
				t.Errorf("the server got workspace %q", b.received()[0].Get(wheelgauge.HeaderWorkspace))
			}
		})
	}
}
