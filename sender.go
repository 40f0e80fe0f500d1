package wheelgauge

import "time"

// Sender is the sender of an order that a store received.
type Sender interface {
	// Waiting reports whether the sender still waits for the response, as far as is known here.
	Waiting() bool
	// Patience is how long a sender waits at most before it sends the order elsewhere or gives
	// another one; 0 if that is not known.
	Patience() time.Duration
}
