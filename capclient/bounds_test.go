package capclient

import (
	"math"
	"sort"
	"time"
)

// worstWindow returns the largest fraction of the bound that was sent in a window.
func (s *schedule) worstWindow(w *workspace) float64 {
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
		if w.reducedTo > 0 && sent[first].at < w.reducedAt+time.Second {
			rate, burst = rate/w.reducedTo, burst/w.reducedTo // the cap before the reduction applies to this window
		}
		most = math.Max(most, sum/((rate*window.Seconds()+burst)*(1+overage)+slack))
	}
	return most
}

// wronglyRefused returns the fraction of what a single ideal bucket lets pass that was
// refused, and the units that the ideal bucket lets pass.
func (s *schedule) wronglyRefused(w *workspace) (fraction, ideal float64) {
	all := s.arrivals[w.spec.Name]
	sort.Slice(all, func(i, j int) bool { return all[i].at < all[j].at })
	level, last := w.spec.Cap.Burst, time.Duration(0)
	sent := 0.0
	for _, a := range all {
		rate, burst := w.spec.Cap.Rate, w.spec.Cap.Burst
		if w.reducedTo > 0 && a.at < w.reducedAt {
			rate, burst = rate/w.reducedTo, burst/w.reducedTo
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
		worst := s.worstWindow(w)
		refused, ideal := s.wronglyRefused(w)
		if *figures {
			s.t.Logf("%s: workspace %s: %.2f of the bound in the worst window, %.2f%% wrongly refused", name, w.spec.Name, worst, 100*refused)
		}
		if worst > 1 {
			s.t.Errorf("%s: workspace %s sent %.3f of the bound in the worst window, want at most 1", name, w.spec.Name, worst)
		}
		// Two of the largest requests are a tenth of all that a small workspace sends.
		if refused > most+2*maxUnits/ideal {
			s.t.Errorf("%s: workspace %s: %.2f%% wrongly refused within its cap, want %.0f%% at most", name, w.spec.Name, 100*refused, 100*most)
		}
	}
}

// overload multiplies the demand of one workspace for some time.
func (s *schedule) overload(name string, factor float64, from, to time.Duration) {
	for _, w := range s.workspaces {
		if w.spec.Name == name {
			w.overloadFactor, w.overloadFrom, w.overloadTo = factor, from, to
		}
	}
}
