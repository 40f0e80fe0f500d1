package wheelgauge

import "time"

// EngineLoad is what a model engine has in flight, as seen by one request.
type EngineLoad struct {
	// InFlight are all requests in flight, InFlightAhead those of the same or a higher
	// priority.
	InFlight, InFlightAhead float64
	// TokensAhead are the prompt tokens to be prefilled before the request's own,
	// TokensBehind those of lower priority, OwnTokens those that the request itself needs.
	TokensAhead, TokensBehind, OwnTokens float64
	// Slots is the most requests that run at once; 0 if unknown.
	Slots float64
	// DurationMS is the usual duration of a request there, in milliseconds.
	DurationMS float64
	// Overtaken is set if requests of a higher priority are in flight.
	Overtaken bool
	// OutputTokens are the tokens that the request is expected to generate; 0 if unknown.
	OutputTokens float64
	// Reserved are the slots that requests of a higher priority are likely to take soon.
	Reserved float64
}

// NoSlot reports whether requests as urgent or more hold all slots.
func (l EngineLoad) NoSlot() bool { return l.Slots > 0 && l.InFlightAhead >= l.Slots }

// Full reports whether the request would wait for a slot, or would soon be displaced from it.
func (l EngineLoad) Full() bool { return l.Slots > 0 && l.InFlightAhead >= l.Slots-l.Reserved }

// EngineForecast is how a request is expected to run at an engine.
type EngineForecast struct {
	// First is the time to the first event, Last that to the last one; 0 if unknown.
	First, Last time.Duration
	// Pause is the longest pause between two events; 0 if unknown.
	Pause time.Duration
	// Delay is the total delay that the request causes to those that run there.
	Delay time.Duration
	// Error is the mean absolute error of First in earlier forecasts, LastError that of Last; 0
	// if unknown.
	Error, LastError time.Duration
}

// EngineRun is how a request ran at an engine.
type EngineRun struct {
	// Load is the engine's load when the request was sent.
	Load EngineLoad
	// First and Last are the times to the first and to the last event, Pause is the longest
	// pause between two events. Last is 0 when only the first event has arrived.
	First, Last, Pause time.Duration
	// Events is the number of events received.
	Events int
	// Complete is false if the answer broke off or has not ended.
	Complete bool
}

// EngineModel predicts how requests run at model engines.
type EngineModel interface {
	// Predict forecasts a request that would be sent to an engine now. slowness is how many times
	// as long as usual work takes there.
	Predict(service string, l EngineLoad, slowness float64) EngineForecast
	// Observe records how a request ran at an engine with a slowness: once at its first event, and
	// again when it ended.
	Observe(service string, r EngineRun, slowness float64)
	// PrefillRate is the prompt tokens that an engine of usual speed prefills in a millisecond; an
	// estimate that is rather too low than too high.
	PrefillRate(service string) float64
}
