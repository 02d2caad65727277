package release

import (
	"fmt"
	"math"
)

// Counts holds the number of all requests, and of the bad ones, which were refused, failed or late.
type Counts struct {
	Requests, Bad int64
}

func (a Counts) minus(b Counts) Counts { return Counts{a.Requests - b.Requests, a.Bad - b.Bad} }
func (a Counts) plus(b Counts) Counts  { return Counts{a.Requests + b.Requests, a.Bad + b.Bad} }

// badPercent returns the percentage of bad requests.
func (a Counts) badPercent() float64 { return 100 * float64(a.Bad) / float64(max(1, a.Requests)) }

// comparisonsPerSoak is how often the routers are compared in one soak, so that a bad version is found before the soak ends.
const comparisonsPerSoak = 4

// Comparison decides whether changed routers do worse than the others.
type Comparison struct {
	MinRequests          int     // number that each group needs; fewer are no evidence
	FalseHaltProbability float64 // that all comparisons of a release together halt a version as good as the old one
	Margin               float64 // fraction of requests by which the changed routers may do worse
}

// Compare reports whether the fraction of bad requests is higher at the changed routers than at the control group, and describes
// the result. It uses a one-sided test of two proportions (Agresti and Caffo, "Simple and Effective Confidence Intervals for
// Proportions", 2000), which adds one good and one bad request to each group. The error probability is divided evenly among the
// comparisons of a release (Bonferroni). The test assumes independent requests. Real requests come in bursts, for which the
// margin allows.
func (c Comparison) Compare(changed, control Counts, comparisons int) (bool, string) {
	proportion := func(group Counts) (rate, variance float64) {
		total := float64(group.Requests) + 2
		rate = (float64(group.Bad) + 1) / total
		return rate, rate * (1 - rate) / total
	}
	rate, rateVariance := proportion(changed)
	controlRate, controlVariance := proportion(control)
	z := (rate - controlRate - c.Margin) / math.Sqrt(rateVariance+controlVariance)
	// The threshold is a quantile of the normal distribution.
	threshold := math.Sqrt2 * math.Erfinv(1-2*c.FalseHaltProbability/float64(max(1, comparisons)))
	return z > threshold, fmt.Sprintf("%.2f%% of %d requests went wrong there, %.2f%% of %d elsewhere (z %.1f, halted from %.1f)",
		changed.badPercent(), changed.Requests, control.badPercent(), control.Requests, z, threshold)
}
