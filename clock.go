package wheelgauge

import "time"

// Clock tells the time by which ages, leases and deadlines are judged. It goes on while
// the machine is suspended, and never steps: moments of one clock may be compared with
// each other only, not with those of time.Now, of another machine, or of another start.
type Clock interface {
	Now() time.Time
}

// SteadyClock is the process's steady clock, which stands still while the machine is
// suspended.
type SteadyClock struct{}

// Now implements Clock.
func (SteadyClock) Now() time.Time { return time.Now() }
