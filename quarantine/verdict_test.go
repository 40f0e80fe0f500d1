package quarantine

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"wheelgauge"
)

// under lists crashes of a request at servers named by letters.
func under(request wheelgauge.Fingerprint, names string) []wheelgauge.Crash {
	var out []wheelgauge.Crash
	for _, name := range names {
		out = append(out, wheelgauge.Crash{Request: request, Server: string(name)})
	}
	return out
}

func cleared(crashes []wheelgauge.Crash) []wheelgauge.Crash {
	for n := range crashes {
		crashes[n].Cleared = true
	}
	return crashes
}

func TestCondemn(t *testing.T) {
	tests := []struct {
		name    string
		crashes [][]wheelgauge.Crash
		want    []wheelgauge.Fingerprint
	}{
		{"two servers may end for any reason", [][]wheelgauge.Crash{under("p", "ab")}, nil},
		{"three do not", [][]wheelgauge.Crash{under("p", "abc")}, []wheelgauge.Fingerprint{"p"}},
		{"one server told of three times", [][]wheelgauge.Crash{under("p", "aaa")}, nil},
		{"it ran well meanwhile", [][]wheelgauge.Crash{cleared(under("p", "abc"))}, nil},
		{"it ran well, and three more ended", [][]wheelgauge.Crash{cleared(under("p", "abc")), under("p", "def")}, []wheelgauge.Fingerprint{"p"}},
		{"what stood beside it at three of four", [][]wheelgauge.Crash{under("p", "abcd"), under("b", "bcd"), under("c", "ab")}, []wheelgauge.Fingerprint{"p"}},
		{"what stood beside it, and ends servers itself", [][]wheelgauge.Crash{under("p", "abcd"), under("q", "defgh")}, []wheelgauge.Fingerprint{"p", "q"}},
		{"two that share ends: the second by further ones", [][]wheelgauge.Crash{under("p", "abcd"), under("q", "cdefg")}, []wheelgauge.Fingerprint{"p", "q"}},
		{"beside another at each of its ends", [][]wheelgauge.Crash{under("p", "abcd"), under("q", "abcdefg")}, []wheelgauge.Fingerprint{"q"}},
		{"at the same three: one of them", [][]wheelgauge.Crash{under("p", "abc"), under("b", "abc")}, []wheelgauge.Fingerprint{"b"}},
		{"until the right one ends a fourth", [][]wheelgauge.Crash{under("p", "abcd"), under("b", "abc")}, []wheelgauge.Fingerprint{"p"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			crashes := slices.Concat(tt.crashes...)
			got := slices.Sorted(maps.Keys(condemn(crashes)))
			if !slices.Equal(got, tt.want) {
				t.Errorf("condemned %v, want %v", got, tt.want)
			}
			// What is told of is enough to judge by.
			if told := slices.Sorted(maps.Keys(condemn(serious(crashes)))); !slices.Equal(got, told) {
				t.Errorf("by what is told %v, want %v", told, got)
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
		for n := range mostKept / mostOfOne {
			out = append(out, many(wheelgauge.Fingerprint(fmt.Sprint(n)), mostOfOne)...)
		}
		return out
	}()
	tests := []struct {
		name    string
		kept    []wheelgauge.Crash
		news    []wheelgauge.Crash
		length  int
		changed bool
	}{
		{"nothing new", under("p", "abc"), under("p", "cb"), 3, false},
		{"a further one", under("p", "abc"), under("p", "cd"), 4, true},
		{"cleared", under("p", "abc"), cleared(under("p", "a")), 3, true},
		{"never taken back", cleared(under("p", "abc")), under("p", "abc"), 3, false},
		{"enough of one request", many("p", mostOfOne), under("p", "xyz"), mostOfOne, false},
		{"full", full, under("p", "xyz"), mostKept, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			before := slices.Clone(tt.kept)
			got, changed := Join(tt.kept, tt.news)
			if len(got) != tt.length || changed != tt.changed {
				t.Errorf("%d crashes, changed: %v, want %d, %v", len(got), changed, tt.length, tt.changed)
			}
			if !slices.Equal(before, tt.kept) {
				t.Error("what was kept has changed")
			}
			if _, again := Join(got, tt.news); again {
				t.Error("the same news change it once more")
			}
		})
	}
}

func TestForget(t *testing.T) {
	kept := slices.Concat(under("p", "abc"), under("q", "ab"))
	if got, changed := Forget(kept, []wheelgauge.Fingerprint{"p"}); !changed || !slices.Equal(got, under("q", "ab")) {
		t.Errorf("kept %v, changed: %v", got, changed)
	}
	if _, changed := Forget(kept, []wheelgauge.Fingerprint{"r"}); changed {
		t.Error("a request that is not kept was forgotten")
	}
}
