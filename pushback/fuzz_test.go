package pushback

import (
	"testing"
	"time"
)

// FuzzParseRetryAfter checks that a backoff is neither negative nor too long, whatever a
// server sends.
func FuzzParseRetryAfter(f *testing.F) {
	for _, seed := range []string{"3", "0.25", ".5", "-1", "1e9", "99999999999999999999", "NaN", "Thu, 16 Apr 2026 09:28:20 GMT", "1.2.3", "", " 7 ", "0x1", "1_0", "٣"} {
		f.Add(seed, "Thu, 16 Apr 2026 09:28:13 GMT")
	}
	f.Fuzz(func(t *testing.T, text, date string) {
		wait, ok := ParseRetryAfter(headerValues(text), headerValues(date))
		if wait < 0 || wait > maxBackoff || !ok && wait != 0 {
			t.Fatalf("Retry-After %q, Date %q: got %s, %t", text, date, wait, ok)
		}
		var s State
		now := time.Unix(1000, 0)
		if s.BackOff(now, wait); s.Remaining(now) != wait || s.Allows(now) != (wait == 0) {
			t.Fatalf("%q: %s left of a backoff of %s", text, s.Remaining(now), wait)
		}
	})
}
