package decision

import "math"

// binsPerOctave sets the resolution of output lengths: two bins for each doubling.
const (
	binsPerOctave = 2
	maxOctaves    = 17
	binCount      = binsPerOctave * maxOctaves
)

// priorExposure is the weight of the prior in each bin, in streams. The prior is a hazard under
// which half of the streams that reach n tokens reach 2n.
const priorExposure = 4.0

// halfLife is the number of finished streams after which the weight of an observation has
// halved.
const halfLife = 2000.0

// Lengths is an online estimate of the number of output tokens of a generation: a survival
// curve over bins of geometrically growing width. Running streams count as exposure, so that
// long streams that have not ended yet are included.
type Lengths struct {
	exposure [binCount]float64
	ended    [binCount]float64
	// logSurvival[i] is the log of the probability that a stream gets past bins 0..i-1.
	logSurvival [binCount + 1]float64
	scale       float64
}

// NewLengths returns an estimate that is based on the prior alone.
func NewLengths() *Lengths {
	l := &Lengths{scale: 1}
	l.refresh()
	return l
}

// binOf returns the bin in which output token n lies.
func binOf(n int) int {
	if n < 1 {
		return 0
	}
	return min(int(binsPerOctave*math.Log2(float64(n))), binCount-1)
}

var binStart = func() [binCount + 1]float64 {
	var s [binCount + 1]float64
	for i := range s {
		s[i] = math.Pow(2, float64(i)/binsPerOctave)
	}
	return s
}()

// holdsTokens reports whether a bin contains a whole number. Narrow bins at the start contain
// none, and no stream can end in them.
func holdsTokens(bin int) bool { return math.Ceil(binStart[bin]) < binStart[bin+1] }

// recordEntered records that a stream reached a bin.
func (l *Lengths) recordEntered(bin int) { l.exposure[bin] += l.scale }

// recordEnded records that a stream ended in a bin. The weight of older observations decays.
func (l *Lengths) recordEnded(bin int) {
	l.ended[bin] += l.scale
	l.scale *= math.Exp2(1 / halfLife)
	if l.scale > 1e6 {
		l.rescale()
	}
	l.refresh()
}

func (l *Lengths) rescale() {
	for i := range l.exposure {
		l.exposure[i] /= l.scale
		l.ended[i] /= l.scale
	}
	l.scale = 1
}

// refresh computes the survival curve from the hazards of all bins.
func (l *Lengths) refresh() {
	priorHazard := 1 - math.Pow(0.5, 1.0/binsPerOctave)
	for i := range binCount {
		if !holdsTokens(i) {
			l.logSurvival[i+1] = l.logSurvival[i]
			continue
		}
		prior := priorExposure * l.scale
		hazard := (l.ended[i] + prior*priorHazard) / (l.exposure[i] + prior)
		hazard = min(max(hazard, 0.001), 0.999)
		l.logSurvival[i+1] = l.logSurvival[i] + math.Log1p(-hazard)
	}
}

// logSurvivalAt interpolates the log survival at output token n.
func (l *Lengths) logSurvivalAt(n int) float64 {
	if n < 1 {
		return 0
	}
	i := binOf(n)
	part := (float64(n) - binStart[i]) / (binStart[i+1] - binStart[i])
	return l.logSurvival[i] + min(part, 1)*(l.logSurvival[i+1]-l.logSurvival[i])
}

// Survive returns the probability that a stream with n output tokens has at
// least k more.
func (l *Lengths) Survive(n, k int) float64 {
	return math.Exp(l.logSurvivalAt(n+k) - l.logSurvivalAt(n))
}
