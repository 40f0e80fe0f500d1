package pushback

import (
	"strings"
	"testing"
	"time"
)

func headerValues(list ...string) Values {
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
		{"seconds", headerValues("3"), "", 3 * time.Second, true},
		{"a fraction", headerValues("0.25"), "", 250 * time.Millisecond, true},
		{"a fraction without its zero", headerValues(".5"), "", 500 * time.Millisecond, true},
		{"spaces", headerValues(" 2 "), "", 2 * time.Second, true},
		{"no wait", headerValues("0"), "", 0, true},
		{"the longest of several", headerValues("1", "x", "4", "2"), "", 4 * time.Second, true},
		{"a date", headerValues("Thu, 16 Apr 2026 09:28:20 GMT"), date, 7 * time.Second, true},
		{"a date in the past", headerValues("Thu, 16 Apr 2026 09:28:02 GMT"), date, 0, true},
		{"a date in the far future", headerValues("Thu, 16 Apr 2099 09:28:02 GMT"), date, maxBackoff, true},
		{"an answer without a Date header", headerValues("Thu, 16 Apr 2026 09:28:20 GMT"), "", 0, false},
		{"above the maximum", headerValues("99999999999999999999999999"), "", maxBackoff, true},
		{"out of the range of a number", headerValues("1" + strings.Repeat("9", 400)), "", maxBackoff, true},
		{"negative", headerValues("-3"), "", 0, false},
		{"a sign", headerValues("+3"), "", 0, false},
		{"an exponent", headerValues("1e3"), "", 0, false},
		{"hexadecimal", headerValues("0x10"), "", 0, false},
		{"not a number", headerValues("NaN"), "", 0, false},
		{"infinite", headerValues("Inf"), "", 0, false},
		{"words", headerValues("soon"), "", 0, false},
		{"empty", headerValues(""), "", 0, false},
		{"only a decimal point", headerValues("."), "", 0, false},
		{"two decimal points", headerValues("1.2.3"), "", 0, false},
		{"a list in one value", headerValues("1, 2"), "", 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var dates Values
			if tt.date != "" {
				dates = headerValues(tt.date)
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
		{headerValues("1"), true, true},
		{headerValues(" 1"), true, true},
		{headerValues("0", "1"), true, true},
		{headerValues("0"), false, false},
		{headerValues("true"), false, false},
		{headerValues(""), false, false},
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
		{"no pushback", func(*State) {}, 0, true, 0},
		{"during a backoff", func(s *State) { s.BackOff(at(0), 3*time.Second) }, 2.999, false, time.Millisecond},
		{"at the end of a backoff", func(s *State) { s.BackOff(at(0), 3*time.Second) }, 3, true, 0},
		{"a later, shorter backoff is ignored", func(s *State) {
			s.BackOff(at(0), 3*time.Second)
			s.BackOff(at(1), time.Second)
		}, 2.5, false, 500 * time.Millisecond},
		{"a later, longer backoff extends it", func(s *State) {
			s.BackOff(at(0), time.Second)
			s.BackOff(at(0.5), 3*time.Second)
		}, 3, false, 500 * time.Millisecond},
		{"a backoff of zero", func(s *State) { s.BackOff(at(0), 0) }, 0, true, 0},
		{"above the maximum", func(s *State) { s.BackOff(at(0), 1<<62) }, 3599, false, time.Second},
		{"leaving", func(s *State) { s.Leave(at(0)) }, 1000, false, 0},
		{"leaving, listed as not leaving for a short time", func(s *State) { s.Leave(at(0)); s.Listed(at(30)) }, 30, false, 0},
		{"leaving, listed as not leaving for long", func(s *State) { s.Leave(at(0)); s.Listed(at(61)) }, 61, true, 0},
		{"leaving, announced again since", func(s *State) { s.Leave(at(0)); s.Leave(at(50)); s.Listed(at(61)) }, 61, false, 0},
		{"leaving, returned before", func(s *State) { s.Leave(at(1)); s.Returned(at(0)) }, 2, false, 0},
		{"leaving, returned since", func(s *State) { s.Leave(at(1)); s.Returned(at(2)) }, 2, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s State
			tt.do(&s)
			if got := s.Allows(at(tt.after)); got != tt.allows {
				t.Errorf("allows requests: %t, want the opposite", got)
			}
			if got := s.Remaining(at(tt.after)); got != tt.left {
				t.Errorf("%v of the backoff left, want %v", got, tt.left)
			}
		})
	}
}
