// Package pushback tracks what a backend server requests from a host in its answers: no
// requests for a while after a 503 with Retry-After, and none at all once it is leaving. It
// applies to the host that got the answer, and decides only whether a request may go to the
// server.
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
	// leavingTTL is how long after its last announcement a leaving server must be listed as
	// not leaving before it is taken for a new instance under the old name. The state of a
	// server that is not listed is kept as long after it has ended.
	leavingTTL = time.Minute
	// leavingValue is the header value of a leaving server.
	leavingValue = "1"
)

// State is the pushback of one server instance. The zero value holds none.
type State struct {
	// backoffEnd is when the latest backoff ends.
	backoffEnd time.Time
	// leavingAt is when the server last announced that it is leaving; zero if it has not.
	leavingAt time.Time
}

// BackOff records that the server accepts no requests for a time from now on, and reports
// whether that extends its current backoff.
func (s *State) BackOff(now time.Time, wait time.Duration) bool {
	until := now.Add(min(wait, maxBackoff))
	if !until.After(s.backoffEnd) {
		return false
	}
	s.backoffEnd = until
	return true
}

// Leave records that the server is leaving, and reports whether that is new.
func (s *State) Leave(now time.Time) bool {
	leaving := !s.leavingAt.IsZero()
	s.leavingAt = now
	return !leaving
}

// Listed records that the server was listed as not leaving at the given time.
func (s *State) Listed(at time.Time) {
	if !s.leavingAt.IsZero() && at.Sub(s.leavingAt) > leavingTTL {
		s.leavingAt = time.Time{}
	}
}

// Returned records that the server came back at the given time, which ends an earlier
// announcement that it is leaving.
func (s *State) Returned(at time.Time) {
	if at.After(s.leavingAt) {
		s.leavingAt = time.Time{}
	}
}

// Allows reports whether a request may go to the server.
func (s State) Allows(now time.Time) bool { return !s.Leaving() && !s.BackingOff(now) }

// BackingOff reports whether the server accepts no requests now.
func (s State) BackingOff(now time.Time) bool { return now.Before(s.backoffEnd) }

// Leaving reports whether the server is leaving.
func (s State) Leaving() bool { return !s.leavingAt.IsZero() }

// Remaining returns the remaining time of the backoff; 0 when it is over.
func (s State) Remaining(now time.Time) time.Duration { return max(0, s.backoffEnd.Sub(now)) }

// BackedOff reports whether the server has ever requested a backoff.
func (s State) BackedOff() bool { return !s.backoffEnd.IsZero() }

// Expired reports whether the state no longer matters and can be dropped.
func (s State) Expired(now time.Time) bool {
	return now.Sub(s.backoffEnd) > leavingTTL && now.Sub(s.leavingAt) > leavingTTL
}

// Values are the values of a header, in the order of the answer.
type Values [][]byte

// ParseLeaving parses the header of a leaving server; ok is false for any other value.
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

// ParseRetryAfter parses the backoff in the Retry-After and Date headers of an answer:
// seconds, also with a fraction, or an HTTP date, which is compared with the Date header
// because clocks differ. The longest of several values counts; ok is false if none is valid.
func ParseRetryAfter(values, dates Values) (wait time.Duration, ok bool) {
	for _, v := range values {
		if one, valid := parseRetryAfter(strings.TrimSpace(string(v)), dates); valid {
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

// ParseSeconds parses digits with an optional fraction as seconds, bounded by maxBackoff.
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
