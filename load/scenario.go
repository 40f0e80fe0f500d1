// Package load generates the request mixes of users in an open loop: arrival times are
// fixed in advance, and latency is measured from the intended start.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
)

// Mixes of requests.
const (
	MixDispatch = "dispatch"
	MixParkline = "parkline"
)

// Kinds of requests.
const (
	kindPlan    = "plan"
	kindCall    = "call"
	kindStock   = "stock"
	kindBooking = "booking"
	kindReview  = "review"
	kindExplain = "explain"
	kindTariff  = "tariff"
	kindPayment = "payment"
)

// Scenario describes the requests of a run.
type Scenario struct {
	Mix      string
	Duration time.Duration
	// Rate is the average number of requests per second over all regions.
	Rate float64
	// Peak is the height of the daily peak above the average, as a fraction of it, 0 to 1.
	// The peaks of the regions are spread evenly over the run, which simulates one day.
	Peak float64
	Seed uint64
	// Regions are those of the callers, with bootstrap addresses and prices of 1,000 tokens.
	Regions []Region
	// Clients is the number of clients in each region.
	Clients int
	// Flood multiplies the request rate of the first client of each region; 0 means 1.
	Flood float64
	// LinkCost is the cost of one response from another region in addition to its tokens.
	LinkCost float64
	// LengthFactor multiplies the lengths of prompts and responses; 0 means 1.
	LengthFactor float64
}

// Region is a region of callers: its bootstrap address and its price of 1,000 tokens.
type Region struct {
	Name  string
	Entry string
	Price float64
}

// plannedRequest is one request of a run, fixed in advance.
type plannedRequest struct {
	offset       time.Duration
	kind         string
	region       int
	client       string
	prompt       string
	answerTokens int
	ref          string
	key          string
	deadline     time.Duration
}

// mixEntry describes the requests of one kind in a mix and their fraction of it.
type mixEntry struct {
	kind             string
	fraction         float64
	meanAnswerTokens int
	promptChars      int
	deadline         time.Duration
}

var mixes = map[string][]mixEntry{
	MixDispatch: {
		{kindPlan, 0.10, 160, 3200, 30 * time.Second},
		{kindCall, 0.45, 32, 800, 8 * time.Second},
		{kindStock, 0.35, 0, 0, 3 * time.Second},
		{kindBooking, 0.10, 0, 0, 10 * time.Second},
	},
	MixParkline: {
		{kindReview, 0.15, 200, 4800, 60 * time.Second},
		{kindExplain, 0.50, 40, 400, 10 * time.Second},
		{kindTariff, 0.20, 0, 0, 5 * time.Second},
		{kindPayment, 0.15, 0, 0, 10 * time.Second},
	},
}

// ClientName returns the name of client i of a region.
func ClientName(region string, i int) string { return fmt.Sprintf("%s-client-%d", region, i) }

// CredentialOf returns the credential of a client in the directory that the load uses.
func CredentialOf(client string) string { return "credential-of-" + client }

// plan returns all requests of a run; they depend only on the scenario and its seed.
func (s *Scenario) plan() []plannedRequest {
	rnd := rand.New(rand.NewPCG(s.Seed, 1))
	var out []plannedRequest
	peakRate := s.Rate * (1 + s.Peak)
	for at := 0.0; ; {
		at += rnd.ExpFloat64() / peakRate
		if at >= s.Duration.Seconds() {
			return out
		}
		region := rnd.IntN(len(s.Regions))
		if rnd.Float64()*(1+s.Peak) > s.relativeDemand(region, at) {
			continue
		}
		out = append(out, s.planRequest(rnd, region, time.Duration(at*float64(time.Second)), len(out)))
	}
}

// relativeDemand returns a region's demand at a time in seconds, where 1 is the average.
func (s *Scenario) relativeDemand(region int, at float64) float64 {
	phase := 2 * math.Pi * (at/s.Duration.Seconds() + float64(region)/float64(len(s.Regions)))
	return 1 + s.Peak*math.Sin(phase)
}

func (s *Scenario) planRequest(rnd *rand.Rand, region int, at time.Duration, number int) plannedRequest {
	name := s.Regions[region].Name
	request := plannedRequest{offset: at, region: region, client: ClientName(name, s.chooseClient(rnd))}
	kind := s.chooseKind(rnd)
	request.kind, request.deadline = kind.kind, kind.deadline
	request.ref = fmt.Sprintf("%s-%d-%d", kind.kind, s.Seed, number)
	if kind.meanAnswerTokens > 0 {
		scale := s.LengthFactor
		if scale == 0 {
			scale = 1
		}
		request.answerTokens = max(1, int(scale*float64(kind.meanAnswerTokens)*(0.5+rnd.Float64())))
		request.prompt = s.makePrompt(rnd, request, int(scale*float64(kind.promptChars)), number)
		return request
	}
	if isNotRepeatable(kind.kind) {
		request.key = uuid.Must(uuid.NewV7()).String()
	}
	return request
}

func isNotRepeatable(kind string) bool { return kind == kindBooking || kind == kindPayment }

func (s *Scenario) chooseClient(rnd *rand.Rand) int {
	flood := math.Max(1, s.Flood)
	x := rnd.Float64() * (float64(s.Clients-1) + flood)
	if x < flood {
		return 0
	}
	return min(s.Clients-1, 1+int(x-flood))
}

func (s *Scenario) chooseKind(rnd *rand.Rand) mixEntry {
	x := rnd.Float64()
	mix := mixes[s.Mix]
	for _, k := range mix {
		if x < k.fraction {
			return k
		}
		x -= k.fraction
	}
	return mix[len(mix)-1]
}

// makePrompt returns a prompt whose first part is shared by requests of the same client, kind
// and history, so that prefix caches can serve it; the rest is unique.
func (s *Scenario) makePrompt(rnd *rand.Rand, request plannedRequest, chars, number int) string {
	head := fmt.Sprintf("[%s %s history %d] ", request.kind, request.client, rnd.IntN(4))
	fill := rand.New(rand.NewPCG(uint64(len(head))+uint64(chars), 5))
	shared := []byte(head)
	for len(shared) < chars*3/4 {
		shared = append(shared, byte('a'+fill.IntN(26)))
	}
	tail := fmt.Sprintf(" request %d of seed %d ", number, s.Seed)
	for len(tail) < chars/4 {
		tail += string(rune('a' + rnd.IntN(26)))
	}
	return string(shared) + tail
}
