package cappurse

import (
	"math"
	"sort"
	"time"
)

// worst returns the largest part of what is allowed in a window that was sent in one.
func (s *schedule) worst(w *workspace) float64 {
	var sent []arrival
	for _, a := range s.arrivals[w.spec.Name] {
		if a.sent {
			sent = append(sent, a)
		}
	}
	sort.Slice(sent, func(i, j int) bool { return sent[i].at < sent[j].at })
	first, sum, most := 0, 0.0, 0.0
	for _, a := range sent {
		sum += a.units
		for a.at-sent[first].at >= window {
			sum -= sent[first].units
			first++
		}
		rate, burst := w.spec.Cap.Rate, w.spec.Cap.Burst
		if w.cutTo > 0 && sent[first].at < w.cutAt+time.Second {
			rate, burst = rate/w.cutTo, burst/w.cutTo // the larger cap binds this window
		}
		most = math.Max(most, sum/((rate*window.Seconds()+burst)*(1+overage)+slack))
	}
	return most
}

// wrong returns the part of what one perfect bucket lets through that was refused, and
// what that lets through.
func (s *schedule) wrong(w *workspace) (part, ideal float64) {
	all := s.arrivals[w.spec.Name]
	sort.Slice(all, func(i, j int) bool { return all[i].at < all[j].at })
	level, last := w.spec.Cap.Burst, time.Duration(0)
	sent := 0.0
	for _, a := range all {
		rate, burst := w.spec.Cap.Rate, w.spec.Cap.Burst
		if w.cutTo > 0 && a.at < w.cutAt {
			rate, burst = rate/w.cutTo, burst/w.cutTo
		}
		level = math.Min(burst, level+rate*(a.at-last).Seconds())
		last = a.at
		if level >= a.units {
			level -= a.units
			ideal += a.units
		}
		if a.sent {
			sent += a.units
		}
	}
	return math.Max(0, ideal-sent) / ideal, ideal
}

func (s *schedule) check(name string, most float64) {
	s.t.Helper()
	for _, w := range s.workspaces {
		worst := s.worst(w)
		wrong, ideal := s.wrong(w)
		if *figure {
			s.t.Logf("%s: workspace %s: %.2f of the bound in the worst window, %.2f%% wrongly refused", name, w.spec.Name, worst, 100*wrong)
		}
		if worst > 1 {
			s.t.Errorf("%s: workspace %s sent %.3f of what is allowed in some window", name, w.spec.Name, worst)
		}
		// Two of the largest requests are a tenth of all that a small workspace sends.
		if wrong > most+2*largest/ideal {
			s.t.Errorf("%s: workspace %s: %.2f%% of what is within its cap was refused, expected %.0f%% at most", name, w.spec.Name, 100*wrong, 100*most)
		}
	}
}

// hotFor lets one workspace ask much more for some seconds.
func (s *schedule) hotFor(name string, x float64, from, to time.Duration) {
	for _, w := range s.workspaces {
		if w.spec.Name == name {
			w.hot, w.hotFrom, w.hotTo = x, from, to
		}
	}
}
