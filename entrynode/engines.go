package entrynode

import (
	"math"

	"wheelgauge/enginemodel"
)

// learnEngines sets the learned model of engines if the options ask for it.
func (n *Node) learnEngines() {
	if !n.options.LearnEngines {
		return
	}
	n.engines = enginemodel.New(n.options.Clock.Now)
	n.servers.SetEngineModel(n.engines)
}

// gaugeEngines sets the gauges of what was learned of engines, in microseconds.
func (n *Node) gaugeEngines() {
	if n.engines == nil {
		return
	}
	for _, f := range n.engines.Figures() {
		for name, ms := range map[string]float64{
			"constant_us": f.ConstantMS, "per_1000_tokens_us": 1000 * f.PrefillMSPerToken, "per_running_us": f.RunningMS,
			"pace_us": f.PaceMS, "pause_us": f.PauseMS, "error_us": f.ErrorMS,
		} {
			n.meter.Gauge("engines."+f.Service+"."+name, int64(math.Round(1000*ms)))
		}
		n.meter.Gauge("engines."+f.Service+".samples", int64(f.Samples))
	}
}
