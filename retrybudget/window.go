package retrybudget

import "time"

// slots is how many parts a window is counted in: retries return to the budget up to one slot,
// a twentieth of the window, late.
const slots = 20

// count holds the counts of one slot.
type count struct {
	slot    int64
	firsts  int
	retries int
}

// window counts first sends and retries of the last Options.Window and up to one slot more,
// which errs on the side of fewer retries.
type window struct {
	counts [slots + 1]count
}

// at returns the count of a slot, reset if it held an older one.
func (w *window) at(slot int64) *count {
	c := &w.counts[slot%int64(len(w.counts))]
	if c.slot != slot {
		*c = count{slot: slot}
	}
	return c
}

// sums returns the counts of the window that ends with slot. The first sends of the slot that
// is only partly inside the window are left out, its retries are included.
func (w *window) sums(slot int64) (firsts, retries int) {
	for _, c := range w.counts {
		if c.slot > slot-slots {
			firsts += c.firsts
		}
		if c.slot >= slot-slots {
			retries += c.retries
		}
	}
	return firsts, retries
}

// slotAt returns the number of the slot at a time since the start.
func slotAt(since, length time.Duration) int64 { return int64(since / (length / slots)) }
