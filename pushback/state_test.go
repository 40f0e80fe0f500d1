package pushback

import (
	"strings"
	"testing"
	"time"
)

func values(list ...string) Values {
	var out Values
	for _, one := range list {
		out = append(out, []byte(one))
	}
	return out
}

func TestParseRetryAfter(t *testing.T) {
	const date = "Thu, 16 Apr 2026 09:28:13 GMT"
	tests := []struct {
		name   string
		values Values
		date   string
		want   time.Duration
		ok     bool
	}{
		{"none", nil, "", 0, false},
		{"seconds", values("3"), "", 3 * time.Second, true},
		{"a fraction", values("0.25"), "", 250 * time.Millisecond, true},
		{"a fraction without its zero", values(".5"), "", 500 * time.Millisecond, true},
		{"spaces", values(" 2 "), "", 2 * time.Second, true},
		{"nothing to wait", values("0"), "", 0, true},
		{"the longest of several", values("1", "x", "4", "2"), "", 4 * time.Second, true},
		{"a date", values("Thu, 16 Apr 2026 09:28:20 GMT"), date, 7 * time.Second, true},
		{"a date that is past", values("Thu, 16 Apr 2026 09:28:02 GMT"), date, 0, true},
		{"a date far away", values("Thu, 16 Apr 2099 09:28:02 GMT"), date, longestBackoff, true},
		{"a date of an answer without one", values("Thu, 16 Apr 2026 09:28:20 GMT"), "", 0, false},
		{"too long", values("99999999999999999999999999"), "", longestBackoff, true},
		{"longer than a number", values("1" + strings.Repeat("9", 400)), "", longestBackoff, true},
		{"negative", values("-3"), "", 0, false},
		{"a sign", values("+3"), "", 0, false},
		{"an exponent", values("1e3"), "", 0, false},
		{"hexadecimal", values("0x10"), "", 0, false},
		{"no number", values("NaN"), "", 0, false},
		{"infinite", values("Inf"), "", 0, false},
		{"words", values("soon"), "", 0, false},
		{"empty", values(""), "", 0, false},
		{"a point alone", values("."), "", 0, false},
		{"two points", values("1.2.3"), "", 0, false},
		{"a list in one value", values("1, 2"), "", 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var dates Values
			if tt.date != "" {
				dates = values(tt.date)
			}
			if got, ok := ParseRetryAfter(tt.values, dates); got != tt.want || ok != tt.ok {
				t.Errorf("got %v, %t, want %v, %t", got, ok, tt.want, tt.ok)
			}
		})
	}
}

func TestParseLeaving(t *testing.T) {
	tests := []struct {
		values  Values
		leaving bool
		ok      bool
	}{
		{nil, false, true},
		{values("1"), true, true},
		{values(" 1"), true, true},
		{values("0", "1"), true, true},
		{values("0"), false, false},
		{values("true"), false, false},
		{values(""), false, false},
	}
	for _, tt := range tests {
		if leaving, ok := ParseLeaving(tt.values); leaving != tt.leaving || ok != tt.ok {
			t.Errorf("%q: got %t, %t, want %t, %t", tt.values, leaving, ok, tt.leaving, tt.ok)
		}
	}
}

func TestState(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	tests := []struct {
		name   string
		do     func(s *State)
		after  float64
		allows bool
		left   time.Duration
	}{
		{"nothing was asked", func(*State) {}, 0, true, 0},
		{"in a backoff", func(s *State) { s.BackOff(at(0), 3*time.Second) }, 2.999, false, time.Millisecond},
		{"at its end", func(s *State) { s.BackOff(at(0), 3*time.Second) }, 3, true, 0},
		{"a shorter one later ends nothing", func(s *State) {
			s.BackOff(at(0), 3*time.Second)
			s.BackOff(at(1), time.Second)
		}, 2.5, false, 500 * time.Millisecond},
		{"a longer one goes on", func(s *State) {
			s.BackOff(at(0), time.Second)
			s.BackOff(at(0.5), 3*time.Second)
		}, 3, false, 500 * time.Millisecond},
		{"no backoff at all", func(s *State) { s.BackOff(at(0), 0) }, 0, true, 0},
		{"longer than any", func(s *State) { s.BackOff(at(0), 1<<62) }, 3599, false, time.Second},
		{"leaving", func(s *State) { s.Leave(at(0)) }, 1000, false, 0},
		{"leaving, listed as before for a while", func(s *State) { s.Leave(at(0)); s.Listed(at(30)) }, 30, false, 0},
		{"leaving, listed as before for long", func(s *State) { s.Leave(at(0)); s.Listed(at(61)) }, 61, true, 0},
		{"leaving, said again since", func(s *State) { s.Leave(at(0)); s.Leave(at(50)); s.Listed(at(61)) }, 61, false, 0},
		{"leaving, seen back before", func(s *State) { s.Leave(at(1)); s.Returned(at(0)) }, 2, false, 0},
		{"leaving, seen back since", func(s *State) { s.Leave(at(1)); s.Returned(at(2)) }, 2, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s State
			tt.do(&s)
			if got := s.Allows(at(tt.after)); got != tt.allows {
				t.Errorf("a request may go there: %t", got)
			}
			if got := s.Left(at(tt.after)); got != tt.left {
				t.Errorf("%v of the backoff are left, want %v", got, tt.left)
			}
		})
	}
}
