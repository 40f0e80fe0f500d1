package routegate

import "time"

// asleep is for how long the host was suspended so far.
func (g *Gate) asleep() time.Duration { return g.options.Clock.Now().Sub(time.Now()) }

// due is when the request's time is over, by the steady clock that connections go by. Its
// caller's time goes on while the host is suspended.
func (c *call) due() time.Time { return c.deadline.Add(c.asleep - c.gate.asleep()) }

// over tells whether the request's time is over. It is asked several times a request: of
// the clock that counts suspended time one reading is enough.
func (c *call) over() bool {
	return !c.gate.options.Clock.Now().Before(c.deadline.Add(c.asleep))
}
