package quarantine

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"wheelgauge"
)

// crashesAt returns crashes of servers, each named by a letter, with a request in flight.
func crashesAt(request wheelgauge.Fingerprint, names string) []wheelgauge.Crash {
	var out []wheelgauge.Crash
	for _, name := range names {
		out = append(out, wheelgauge.Crash{Request: request, Server: string(name)})
	}
	return out
}

func markCleared(crashes []wheelgauge.Crash) []wheelgauge.Crash {
	for n := range crashes {
		crashes[n].Cleared = true
	}
	return crashes
}

func TestAttribute(t *testing.T) {
	tests := []struct {
		name    string
		crashes [][]wheelgauge.Crash
		want    []wheelgauge.Fingerprint
	}{
		{"two crashes may have any reason", [][]wheelgauge.Crash{crashesAt("p", "ab")}, nil},
		{"three crashes", [][]wheelgauge.Crash{crashesAt("p", "abc")}, []wheelgauge.Fingerprint{"p"}},
		{"one server reported three times", [][]wheelgauge.Crash{crashesAt("p", "aaa")}, nil},
		{"cleared by a good run", [][]wheelgauge.Crash{markCleared(crashesAt("p", "abc"))}, nil},
		{"three more crashes after a good run", [][]wheelgauge.Crash{markCleared(crashesAt("p", "abc")), crashesAt("p", "def")}, []wheelgauge.Fingerprint{"p"}},
		{"bystander at three of four crashes", [][]wheelgauge.Crash{crashesAt("p", "abcd"), crashesAt("b", "bcd"), crashesAt("c", "ab")}, []wheelgauge.Fingerprint{"p"}},
		{"bystander that crashes servers itself", [][]wheelgauge.Crash{crashesAt("p", "abcd"), crashesAt("q", "defgh")}, []wheelgauge.Fingerprint{"p", "q"}},
		{"two with common crashes: the second by further ones", [][]wheelgauge.Crash{crashesAt("p", "abcd"), crashesAt("q", "cdefg")}, []wheelgauge.Fingerprint{"p", "q"}},
		{"in flight at each crash of another", [][]wheelgauge.Crash{crashesAt("p", "abcd"), crashesAt("q", "abcdefg")}, []wheelgauge.Fingerprint{"q"}},
		{"two at the same three crashes: one of them", [][]wheelgauge.Crash{crashesAt("p", "abc"), crashesAt("b", "abc")}, []wheelgauge.Fingerprint{"b"}},
		{"released after the culprit's fourth crash", [][]wheelgauge.Crash{crashesAt("p", "abcd"), crashesAt("b", "abc")}, []wheelgauge.Fingerprint{"p"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			crashes := slices.Concat(tt.crashes...)
			got := slices.Sorted(maps.Keys(attribute(crashes)))
			if !slices.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
			// The candidates alone give the same result.
			if fromCandidates := slices.Sorted(maps.Keys(attribute(candidateCrashes(crashes)))); !slices.Equal(got, fromCandidates) {
				t.Errorf("from candidates alone: got %v, want %v", fromCandidates, got)
			}
		})
	}
}

func TestJoin(t *testing.T) {
	many := func(request wheelgauge.Fingerprint, count int) []wheelgauge.Crash {
		var out []wheelgauge.Crash
		for n := range count {
			out = append(out, wheelgauge.Crash{Request: request, Server: fmt.Sprint(n)})
		}
		return out
	}
	full := func() []wheelgauge.Crash {
		var out []wheelgauge.Crash
		for n := range maxPersisted / maxCrashesPerRequest {
			out = append(out, many(wheelgauge.Fingerprint(fmt.Sprint(n)), maxCrashesPerRequest)...)
		}
		return out
	}()
	tests := []struct {
		name      string
		persisted []wheelgauge.Crash
		updates   []wheelgauge.Crash
		length    int
		changed   bool
	}{
		{"nothing new", crashesAt("p", "abc"), crashesAt("p", "cb"), 3, false},
		{"a further crash", crashesAt("p", "abc"), crashesAt("p", "cd"), 4, true},
		{"cleared", crashesAt("p", "abc"), markCleared(crashesAt("p", "a")), 3, true},
		{"clearing is final", markCleared(crashesAt("p", "abc")), crashesAt("p", "abc"), 3, false},
		{"full for one request", many("p", maxCrashesPerRequest), crashesAt("p", "xyz"), maxCrashesPerRequest, false},
		{"full", full, crashesAt("p", "xyz"), maxPersisted, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			before := slices.Clone(tt.persisted)
			got, changed := Join(tt.persisted, tt.updates)
			if len(got) != tt.length || changed != tt.changed {
				t.Errorf("got %d crashes, changed %v, want %d, %v", len(got), changed, tt.length, tt.changed)
			}
			if !slices.Equal(before, tt.persisted) {
				t.Error("Join changed its argument")
			}
			if _, changedAgain := Join(got, tt.updates); changedAgain {
				t.Error("the same updates change the result again")
			}
		})
	}
}

func TestForget(t *testing.T) {
	persisted := slices.Concat(crashesAt("p", "abc"), crashesAt("q", "ab"))
	if got, changed := Forget(persisted, []wheelgauge.Fingerprint{"p"}); !changed || !slices.Equal(got, crashesAt("q", "ab")) {
		t.Errorf("got %v, changed %v, want only the crashes of q and a change", got, changed)
	}
	if _, changed := Forget(persisted, []wheelgauge.Fingerprint{"r"}); changed {
		t.Error("changed by a request without crashes")
	}
}
