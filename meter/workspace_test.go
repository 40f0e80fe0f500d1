package meter

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// The number of metrics is bounded, however many workspaces there are.
func TestWorkspacesAreBounded(t *testing.T) {
	m := New()
	for i := range 890 {
		m.Workspace(fmt.Sprint("w", i), true, i%2 == 0, i%3 == 0, time.Millisecond)
	}
	var out bytes.Buffer
	m.WriteJSON(&out)
	text := out.String()
	if n := strings.Count(text, `"workspace.ms.`); n != maxWorkspaces+1 {
		t.Errorf("got %d histograms of workspaces, want %d and a shared one", n, maxWorkspaces)
	}
	for _, name := range []string{"workspace.arrived.w0", "workspace.in_time.w2", "workspace.capped.w3", "workspace.arrived.other"} {
		if !strings.Contains(text, `"`+name+`"`) {
			t.Errorf("metric %s is missing", name)
		}
	}
}
