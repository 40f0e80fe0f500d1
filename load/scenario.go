// Package load sends the users' mixes of requests in open loop: arrival times
// are fixed beforehand, and latency counts from the intended start.
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

// Scenario is what a run sends.
type Scenario struct {
	Mix      string
	Duration time.Duration
	// Rate is requests a second over all regions, on average over the day.
	Rate float64
	// Peak is how far the daily peak rises over the average, 0 to 1; the peaks
	// of the regions are shifted evenly over the run, which stands for one day.
	Peak float64
	Seed uint64
	// Regions and their bootstrap addresses, prices of 1,000 tokens.
	Regions []Region
	// Clients is the number of clients of each region.
	Clients int
	// Flood multiplies the requests of the first client of each region; 0 means 1.
	Flood float64
	// LinkCost is what one answer from another region costs besides its tokens.
	LinkCost float64
	// Scale multiplies the lengths of prompts and answers; 0 means 1.
	Scale float64
}

// Region is where callers are.
type Region struct {
	Name  string
	Entry string
	Price float64
}

// shot is one request, planned beforehand.
type shot struct {
	at       time.Duration
	kind     string
	region   int
	client   string
	prompt   string
	tokens   int
	ref      string
	key      string
	deadline time.Duration
}

// share is one kind's part of a mix.
type share struct {
	kind     string
	part     float64
	tokens   int
	chars    int
	deadline time.Duration
}

var mixes = map[string][]share{
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

// ClientName names a client of a region; its credential is CredentialOf it.
func ClientName(region string, i int) string { return fmt.Sprintf("%s-client-%d", region, i) }

// CredentialOf returns the credential of a client in the load's directory.
func CredentialOf(client string) string { return "credential-of-" + client }

// plan fixes all requests of a run, by the seed alone.
func (s *Scenario) plan() []shot {
	rnd := rand.New(rand.NewPCG(s.Seed, 1))
	var out []shot
	highest := s.Rate * (1 + s.Peak)
	for at := 0.0; ; {
		at += rnd.ExpFloat64() / highest
		if at >= s.Duration.Seconds() {
			return out
		}
		region := rnd.IntN(len(s.Regions))
		if rnd.Float64()*(1+s.Peak) > s.demand(region, at) {
			continue
		}
		out = append(out, s.shot(rnd, region, time.Duration(at*float64(time.Second)), len(out)))
	}
}

// demand is a region's demand at a time, 1 on average.
func (s *Scenario) demand(region int, at float64) float64 {
	phase := 2 * math.Pi * (at/s.Duration.Seconds() + float64(region)/float64(len(s.Regions)))
	return 1 + s.Peak*math.Sin(phase)
}

func (s *Scenario) shot(rnd *rand.Rand, region int, at time.Duration, number int) shot {
	name := s.Regions[region].Name
	one := shot{at: at, region: region, client: ClientName(name, s.client(rnd))}
	kind := s.choose(rnd)
	one.kind, one.deadline = kind.kind, kind.deadline
	one.ref = fmt.Sprintf("%s-%d-%d", kind.kind, s.Seed, number)
	if kind.tokens > 0 {
		scale := s.Scale
		if scale == 0 {
			scale = 1
		}
		one.tokens = max(1, int(scale*float64(kind.tokens)*(0.5+rnd.Float64())))
		one.prompt = s.prompt(rnd, one, int(scale*float64(kind.chars)), number)
		return one
	}
	if once(kind.kind) {
		one.key = uuid.Must(uuid.NewV7()).String()
	}
	return one
}

func once(kind string) bool { return kind == kindBooking || kind == kindPayment }

func (s *Scenario) client(rnd *rand.Rand) int {
	flood := math.Max(1, s.Flood)
	x := rnd.Float64() * (float64(s.Clients-1) + flood)
	if x < flood {
		return 0
	}
	return min(s.Clients-1, 1+int(x-flood))
}

func (s *Scenario) choose(rnd *rand.Rand) share {
	x := rnd.Float64()
	mix := mixes[s.Mix]
	for _, k := range mix {
		if x < k.part {
			return k
		}
		x -= k.part
	}
	return mix[len(mix)-1]
}

// prompt begins with what requests of a client and kind share, and one of a few
// histories, as caches know them; its end is its own.
func (s *Scenario) prompt(rnd *rand.Rand, one shot, chars, number int) string {
	head := fmt.Sprintf("[%s %s history %d] ", one.kind, one.client, rnd.IntN(4))
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
