package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

var keys = []Key{
	{Section: "listen", Name: "address", Type: Address, Required: true},
	{Section: "listen", Name: "count", Type: Int, Default: "3", Min: 1, Max: 9},
	{Section: "listen", Name: "wait", Type: Duration, Default: "2s", Min: 0.1, Max: 10},
	{Section: "listen", Name: "form", Type: Choice, Choices: []string{"text", "json"}, Default: "text"},
	{Section: "listen", Name: "on", Type: Bool, Default: "false"},
	{Section: "listen", Name: "part", Type: Float, Default: "0.5", Max: 1},
}

func ExampleParse() {
	v, err := Parse("x.ini", []byte("[listen]\naddress = 10.0.0.1:80\nwait = 500ms\n"), keys)
	fmt.Println(v.Text("listen", "address"), v.Duration("listen", "wait"), v.Int("listen", "count"), err)
	// Output: 10.0.0.1:80 500ms 3 <nil>
}

// Errors name the file, section, key and what was expected, and all are reported at once.
func TestFaults(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []string
	}{
		{"missing", "", []string{"x.ini: [listen] address: missing, expected an address"}},
		{"not an address", "[listen]\naddress = here", []string{`[listen] address: got "here", expected an address`}},
		{"out of range", "[listen]\naddress = 1.1.1.1:1\ncount = 10", []string{"[listen] count", "from 1 to 9"}},
		{"not a number", "[listen]\naddress = 1.1.1.1:1\ncount = x", []string{"a whole number"}},
		{"not a duration", "[listen]\naddress = 1.1.1.1:1\nwait = 5", []string{"a duration"}},
		{"not a choice", "[listen]\naddress = 1.1.1.1:1\nform = xml", []string{"one of text, json"}},
		{"not a truth value", "[listen]\naddress = 1.1.1.1:1\non = maybe", []string{"true or false"}},
		{"unknown key", "[listen]\naddress = 1.1.1.1:1\ncolour = red", []string{"[listen] colour: unknown key"}},
		{"several", "[listen]\naddress = x\npart = 2\n[other]\na = b", []string{"address", "part", "[other] a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse("x.ini", []byte(tt.text), keys)
			if err == nil {
				t.Fatal("expected an error, got none")
			}
			for _, want := range tt.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("got error %q, want one that contains %q", err, want)
				}
			}
		})
	}
}

func TestDefaults(t *testing.T) {
	v, err := Parse("x.ini", []byte("[listen]\naddress = 1.1.1.1:1\ncount =\n"), keys)
	if err != nil {
		t.Fatal(err)
	}
	if v.Int("listen", "count") != 3 || v.Duration("listen", "wait") != 2*time.Second || v.Float("listen", "part") != 0.5 || v.Bool("listen", "on") {
		t.Fatalf("got %+v", v)
	}
}

func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.ini")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("[listen]\naddress = 1.1.1.1:1\n")
	v, err := Load(path, keys)
	if err != nil {
		t.Fatal(err)
	}
	write("[listen]\naddress = 1.1.1.1:2\n")
	if next, err := v.Reload(); err != nil || next.Text("listen", "address") != "1.1.1.1:2" || v.Text("listen", "address") != "1.1.1.1:1" {
		t.Errorf("got %+v, error %v, want the changed file and the old values as they were", next, err)
	}
	write("[listen]\n")
	if _, err := v.Reload(); err == nil {
		t.Error("an invalid file was reloaded without an error")
	}
}
