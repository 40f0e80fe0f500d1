// Package serverask holds what a backend server asks of a host by its answers: no requests
// for a while after a 503 with Retry-After, none at all once it leaves. It binds the host
// that was asked, and decides nothing but whether a request may go there.
package serverask

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// longestRest bounds one rest.
	longestRest = time.Hour
	// doubtAfter is how long a server that said that it leaves must have been listed as one
	// that does not before it is taken for a new start under the old name, and for how long
	// what is over is remembered of one that is not listed.
	doubtAfter = time.Minute
	// leavingValue is what a leaving server says.
	leavingValue = "1"
)

// Ask is what one start of a server asks of this host. The zero value asks nothing.
type Ask struct {
	// until is when the last rest ends.
	until time.Time
	// left is when the server last said that it leaves; zero if it has not.
	left time.Time
}

// Rest takes that the server wants nothing for a time from now on. It tells whether that
// is longer than what it asked before.
func (a *Ask) Rest(now time.Time, wait time.Duration) bool {
	until := now.Add(min(wait, longestRest))
	if !until.After(a.until) {
		return false
	}
	a.until = until
	return true
}

// Leave takes that the server leaves, and tells whether that is new.
func (a *Ask) Leave(now time.Time) bool {
	known := !a.left.IsZero()
	a.left = now
	return !known
}

// Listed takes that the server was listed at a moment as one that does not leave.
func (a *Ask) Listed(at time.Time) {
	if !a.left.IsZero() && at.Sub(a.left) > doubtAfter {
		a.left = time.Time{}
	}
}

// Returned takes that the server came back at a moment: what it said before is over.
func (a *Ask) Returned(at time.Time) {
	if at.After(a.left) {
		a.left = time.Time{}
	}
}

// Allows tells whether a request may go to the server.
func (a Ask) Allows(now time.Time) bool { return !a.Leaving() && !a.Resting(now) }

// Resting tells whether the server wants nothing now.
func (a Ask) Resting(now time.Time) bool { return now.Before(a.until) }

// Leaving tells whether the server leaves.
func (a Ask) Leaving() bool { return !a.left.IsZero() }

// Left returns how much of the rest is left; 0 when it is over.
func (a Ask) Left(now time.Time) time.Duration { return max(0, a.until.Sub(now)) }

// Rested tells whether the server has ever asked for a rest.
func (a Ask) Rested() bool { return !a.until.IsZero() }

// Over tells whether nothing that was asked matters any more.
func (a Ask) Over(now time.Time) bool {
	return now.Sub(a.until) > doubtAfter && now.Sub(a.left) > doubtAfter
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

// ParseRest reads the rest that an answer asks for, from its Retry-After and Date headers:
// seconds, also fractions, or an HTTP date, which is held against the answer's own, as
// clocks differ. Of several values the longest counts; ok is false if none can be read.
func ParseRest(values, dates Values) (wait time.Duration, ok bool) {
	for _, v := range values {
		if one, good := parseRest(strings.TrimSpace(string(v)), dates); good {
			wait, ok = max(wait, one), true
		}
	}
	return wait, ok
}

func parseRest(text string, dates Values) (time.Duration, bool) {
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

// ParseSeconds reads digits, perhaps with a fraction, as seconds; longestRest at most.
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
	return time.Duration(min(max(seconds, 0), longestRest.Seconds()) * float64(time.Second))
}
