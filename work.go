package wheelgauge

// RankWork counts the in-flight requests of one rank; rank 0 is the most urgent.
type RankWork struct {
	Rank    int `json:"r,omitempty"`
	Running int `json:"u"`
	// PrefillTokens is the sum of the prompt tokens of requests that wait for their first event.
	PrefillTokens int `json:"t,omitempty"`
}

// Work counts in-flight requests by rank, in no particular order. Each rank occurs at most
// once.
type Work []RankWork

// Add adds requests and tokens to a rank and returns the result. Both may be negative.
func (w Work) Add(rank, running, tokens int) Work {
	for i := range w {
		if w[i].Rank == rank {
			w[i].Running += running
			w[i].PrefillTokens += tokens
			return w
		}
	}
	return append(w, RankWork{Rank: rank, Running: running, PrefillTokens: tokens})
}

// Plus returns the sum, leaving both operands unchanged.
func (w Work) Plus(other Work) Work {
	sum := append(Work(nil), w...)
	for _, r := range other {
		sum = sum.Add(r.Rank, r.Running, r.PrefillTokens)
	}
	return sum
}

// Minus returns the difference, with no rank below zero.
func (w Work) Minus(other Work) Work {
	left := append(Work(nil), w...)
	for _, r := range other {
		left = left.Add(r.Rank, -r.Running, -r.PrefillTokens)
	}
	for i := range left {
		left[i].Running = max(0, left[i].Running)
		left[i].PrefillTokens = max(0, left[i].PrefillTokens)
	}
	return left
}

// Total returns the number of requests and tokens over all ranks.
func (w Work) Total() (running, tokens int) {
	for _, r := range w {
		running += r.Running
		tokens += r.PrefillTokens
	}
	return running, tokens
}

// Ahead returns the number of requests and tokens at least as urgent as a rank.
func (w Work) Ahead(rank int) (running, tokens int) {
	running, _, tokens = w.AheadAndUrgent(rank)
	return running, tokens
}

// AheadAndUrgent returns the number of requests and tokens at least as urgent as a rank, and how
// many of the requests are more urgent than it.
func (w Work) AheadAndUrgent(rank int) (running, urgent, tokens int) {
	for _, r := range w {
		if r.Rank > rank {
			continue
		}
		running += r.Running
		tokens += r.PrefillTokens
		if r.Rank < rank {
			urgent += r.Running
		}
	}
	return running, urgent, tokens
}

// NonZero returns the ranks with requests or tokens in flight.
func (w Work) NonZero() Work {
	var out Work
	for _, r := range w {
		if r.Running != 0 || r.PrefillTokens != 0 {
			out = append(out, r)
		}
	}
	return out
}
