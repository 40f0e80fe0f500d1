package retrybudget

import "time"

// slots is how many parts a window is counted in: what is spent comes back a
// twentieth of the window late at most.
const slots = 20

// count is what one part of a window saw.
type count struct {
	slot    int64
	firsts  int
	retries int
}

// window counts first sends and repeats of the last Options.Window, and up to a
// step more, which errs on the side of fewer repeats.
type window struct {
	counts [slots + 1]count
}

// at returns the count of the present step.
func (w *window) at(step int64) *count {
	c := &w.counts[step%int64(len(w.counts))]
	if c.slot != step {
		*c = count{slot: step}
	}
	return c
}

// sums returns the counts of the window that ends with a step. First sends of
// the step that is only partly inside are left out, its repeats are not.
func (w *window) sums(step int64) (firsts, repeats int) {
	for _, c := range w.counts {
		if c.slot > step-slots {
			firsts += c.firsts
		}
		if c.slot >= step-slots {
			repeats += c.retries
		}
	}
	return firsts, repeats
}

// slotAt numbers the parts of windows.
func slotAt(since, length time.Duration) int64 { return int64(since / (length / slots)) }
