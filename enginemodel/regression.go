package enginemodel

const (
	// features is the number of figures of a regression.
	features = 3
	// forgetting is the weight of all earlier samples after a new one: some 100 of them count.
	forgetting = 0.99
	// solverRounds is how often each figure is adjusted to the others for a new sample. The
	// figures start from those of the sample before, so that few rounds are enough.
	solverRounds = 12
)

// figure is a figure of a regression before any sample, how many samples of a feature of 1 that
// counts for, and its bounds.
type figure struct {
	initial, weight, least, most float64
}

// regression fits three figures to samples by least squares with forgetting. They stay within
// their bounds, and near their initial values while there are few samples.
type regression struct {
	figures [features]figure
	// products and moments are the decaying sums of the features' products with one another and
	// with the values.
	products [features][features]float64
	moments  [features]float64
	fitted   [features]float64
	samples  int
}

func newRegression(figures [features]figure) regression {
	g := regression{figures: figures}
	for i, f := range figures {
		g.fitted[i] = f.initial
	}
	return g
}

// predict returns the value at x. trust, from 0 to 1, is how much the samples count against the
// initial figures.
func (g *regression) predict(x [features]float64, trust float64) float64 {
	sum := 0.0
	for i, f := range g.figures {
		sum += (f.initial + trust*(g.fitted[i]-f.initial)) * x[i]
	}
	return sum
}

// add adds a sample with a weight.
func (g *regression) add(x [features]float64, y, weight float64) {
	g.samples++
	for i := range features {
		g.moments[i] = forgetting*g.moments[i] + weight*x[i]*y
		for k := range features {
			g.products[i][k] = forgetting*g.products[i][k] + weight*x[i]*x[k]
		}
	}
	for range solverRounds {
		for i := range features {
			g.fit(i)
		}
	}
}

// fit adjusts one figure to the others.
func (g *regression) fit(i int) {
	f := g.figures[i]
	rest := g.moments[i] + f.weight*f.initial
	for k := range features {
		if k != i {
			rest -= g.products[i][k] * g.fitted[k]
		}
	}
	g.fitted[i] = min(f.most, max(f.least, rest/(g.products[i][i]+f.weight)))
}
