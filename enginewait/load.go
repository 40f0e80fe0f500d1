// Package enginewait predicts how long a request waits at an engine for its
// first event, from what the engine has in flight.
package enginewait

const (
	// ReadRate is the prompt tokens that an engine reads in a millisecond.
	ReadRate = 80.0
	// runCost is how much a running request slows the first event of a new one,
	// in milliseconds.
	runCost = 1.0
	// slowCost is what one more request costs those that run, for each of them, in
	// milliseconds of waiting. Much more, and short requests go to engines with few long
	// ones and queue there to be read; nothing, and long ones pile up (TestReadingIsSpread).
	slowCost = 3.0
	// laterPart is the part of less urgent prompts that a request waits for all the
	// same: those that an engine has begun to read.
	laterPart = 0.2
	// queuePart is how much longer than at an even pace a place in a full engine
	// takes to come to a request that others overtake.
	queuePart = 3.0
)

// Load is what an engine has in flight, as one request sees it. Durations are
// in milliseconds.
type Load struct {
	// Running are all requests in flight, Before those that are as urgent as this
	// one or more.
	Running, Before float64
	// Ahead are the tokens of prompts to be read first, Later those of less urgent
	// ones, Missing those of the request's own.
	Ahead, Later, Missing float64
	// Slots is the most requests that run at once; 0 if that is not known.
	Slots float64
	// Lasts is how long a request usually takes there.
	Lasts float64
	// Overtaken is set when more urgent requests are in flight.
	Overtaken bool
}

// Wait predicts the time to the first event, in milliseconds.
func (l Load) Wait() float64 {
	read := (l.Ahead + laterPart*l.Later + l.Missing) / ReadRate
	return read + runCost*l.Running + l.queue()
}

// Cost is the wait, and what the request costs others besides: all that run get
// their tokens more slowly.
func (l Load) Cost() float64 { return l.Wait() + slowCost*l.Running }

// queue is the wait for a place in the batch.
func (l Load) queue() float64 {
	if l.Slots <= 0 || l.Before < l.Slots {
		return 0
	}
	wait := (l.Before - l.Slots + 1) * l.Lasts / l.Slots
	if l.Overtaken {
		wait *= queuePart
	}
	return wait
}
