package meter

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// However many workspaces there are, their metrics are bounded.
func TestWorkspacesAreBounded(t *testing.T) {
	m := New()
	for i := range 890 {
		m.Workspace(fmt.Sprint("w", i), true, i%2 == 0, i%3 == 0, time.Millisecond)
	}
	var out bytes.Buffer
	m.WriteJSON(&out)
	text := out.String()
	if n := strings.Count(text, `"workspace.ms.`); n != mostWorkspaces+1 {
		t.Errorf("%d histograms of workspaces, want %d and a common one", n, mostWorkspaces)
	}
	for _, name := range []string{"workspace.arrived.w0", "workspace.in_time.w2", "workspace.capped.w3", "workspace.arrived.other"} {
		if !strings.Contains(text, `"`+name+`"`) {
			t.Errorf("%s is not there", name)
		}
	}
}
