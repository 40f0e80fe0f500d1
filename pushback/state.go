// Package pushback holds what a backend server asks of a host by its answers: no requests
// for a while after a 503 with Retry-After, none at all once it leaves. It binds the host
// that was asked, and decides nothing but whether a request may go there.
package pushback

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// maxBackoff bounds one backoff.
	maxBackoff = time.Hour
	// leavingTTL is how long a server that said that it leaves must have been listed as one
	// that does not before it is taken for a new start under the old name, and for how long
	// what is over is remembered of one that is not listed.
	leavingTTL = time.Minute
	// leavingValue is what a leaving server says.
	leavingValue = "1"
)

// State is what one start of a server asks of this host. The zero value asks nothing.
type State struct {
	// until is when the last backoff ends.
	backoffEnd time.Time
	// left is when the server last said that it leaves; zero if it has not.
	leavingAt time.Time
}

// BackOff takes that the server wants nothing for a time from now on. It tells whether that
// is longer than what it asked before.
func (s *State) BackOff(now time.Time, wait time.Duration) bool {
	until := now.Add(min(wait, maxBackoff))
	if !until.After(s.backoffEnd) {
		return false
	}
	s.backoffEnd = until
	return true
}

// Leave takes that the server leaves, and tells whether that is new.
func (s *State) Leave(now time.Time) bool {
	known := !s.leavingAt.IsZero()
	s.leavingAt = now
	return !known
}

// Listed takes that the server was listed at a moment as one that does not leave.
func (s *State) Listed(at time.Time) {
	if !s.leavingAt.IsZero() && at.Sub(s.leavingAt) > leavingTTL {
		s.leavingAt = time.Time{}
	}
}

// Returned takes that the server came back at a moment: what it said before is over.
func (s *State) Returned(at time.Time) {
	if at.After(s.leavingAt) {
		s.leavingAt = time.Time{}
	}
}

// Allows tells whether a request may go to the server.
func (s State) Allows(now time.Time) bool { return !s.Leaving() && !s.BackingOff(now) }

// BackingOff tells whether the server wants nothing now.
func (s State) BackingOff(now time.Time) bool { return now.Before(s.backoffEnd) }

// Leaving tells whether the server leaves.
func (s State) Leaving() bool { return !s.leavingAt.IsZero() }

// Left returns how much of the backoff is left; 0 when it is over.
func (s State) Left(now time.Time) time.Duration { return max(0, s.backoffEnd.Sub(now)) }

// BackedOff tells whether the server has ever asked for a backoff.
func (s State) BackedOff() bool { return !s.backoffEnd.IsZero() }

// Over tells whether nothing that was asked matters any more.
func (s State) Over(now time.Time) bool {
	return now.Sub(s.backoffEnd) > leavingTTL && now.Sub(s.leavingAt) > leavingTTL
}

// Values are those of a header, in the order of the answer.
type Values [][]byte

// ParseLeaving reads what a server says of its leaving; ok is false if it says something
// else.
func ParseLeaving(values Values) (leaving, ok bool) {
	ok = true
	for _, v := range values {
		if strings.TrimSpace(string(v)) != leavingValue {
			ok = false
			continue
		}
		leaving = true
	}
	return leaving, ok || leaving
}

// ParseRetryAfter reads the backoff that an answer asks for, from its Retry-After and Date headers:
// seconds, also fractions, or an HTTP date, which is held against the answer's own, as
// clocks differ. Of several values the longest counts; ok is false if none can be read.
func ParseRetryAfter(values, dates Values) (wait time.Duration, ok bool) {
	for _, v := range values {
		if one, good := parseRetryAfter(strings.TrimSpace(string(v)), dates); good {
			wait, ok = max(wait, one), true
		}
	}
	return wait, ok
}

func parseRetryAfter(text string, dates Values) (time.Duration, bool) {
	if seconds, ok := ParseSeconds(text); ok {
		return seconds, true
	}
	until, err := http.ParseTime(text)
	if err != nil || len(dates) != 1 {
		return 0, false
	}
	from, err := http.ParseTime(string(dates[0]))
	if err != nil {
		return 0, false
	}
	return bounded(until.Sub(from).Seconds()), true
}

// ParseSeconds reads digits, perhaps with a fraction, as seconds; longestBackoff at most.
func ParseSeconds(text string) (time.Duration, bool) {
	if text == "" || strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0, false
	}
	return bounded(seconds), true
}

func bounded(seconds float64) time.Duration {
	return time.Duration(min(max(seconds, 0), maxBackoff.Seconds()) * float64(time.Second))
}
