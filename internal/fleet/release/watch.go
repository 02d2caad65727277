package release

import (
	"fmt"
	"math"
)

// Counts are what became of requests: all, and those that were refused, failed or late.
type Counts struct {
	Requests, Bad int64
}

func (a Counts) minus(b Counts) Counts { return Counts{a.Requests - b.Requests, a.Bad - b.Bad} }
func (a Counts) plus(b Counts) Counts  { return Counts{a.Requests + b.Requests, a.Bad + b.Bad} }

// percent is the part of requests that went wrong.
func (a Counts) percent() float64 { return 100 * float64(a.Bad) / float64(max(1, a.Requests)) }

// looksEach is how often the routers are compared in one soak: what is bad is found before the soak is over.
const looksEach = 4

// Watch says when changed routers do worse than the others.
type Watch struct {
	Requests int     // fewer show nothing
	Error    float64 // chance that a release that is as good as what it replaces is halted, over all its comparisons
	Margin   float64 // a part of requests by which the changed ones may do worse
}

// Worse compares the part of requests that went wrong at changed routers with that at the others, by a one-sided test of two
// proportions (Agresti and Caffo, "Simple and Effective Confidence Intervals for Proportions", 2000: a good and a bad one more on
// each side). The error is shared evenly among the comparisons of a release (Bonferroni). The test takes requests for
// independent; they come in bursts, which the margin is for.
func (w Watch) Worse(changed, usual Counts, looks int) (bool, string) {
	part := func(c Counts) (p, variance float64) {
		n := float64(c.Requests) + 2
		p = (float64(c.Bad) + 1) / n
		return p, p * (1 - p) / n
	}
	p, v := part(changed)
	q, u := part(usual)
	z := (p - q - w.Margin) / math.Sqrt(v+u)
	limit := math.Sqrt2 * math.Erfinv(1-2*w.Error/float64(max(1, looks))) // quantile of the normal distribution
	return z > limit, fmt.Sprintf("%.2f%% of %d requests went wrong there, %.2f%% of %d elsewhere (z %.1f, halted from %.1f)",
		changed.percent(), changed.Requests, usual.percent(), usual.Requests, z, limit)
}
