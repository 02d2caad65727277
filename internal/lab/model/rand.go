package model

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// NewRandom returns an independent sequence of random numbers for one purpose. Purposes don't share a sequence,
// so when one part of the model draws more often, the others are not affected: two policies get the same
// clients.
func NewRandom(seed uint64, purpose string, n int) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(purpose)+uint64(n)*0x9e3779b97f4a7c15))
}

// drawUniform draws from the uniform distribution over a range.
func drawUniform(r *rand.Rand, from, to float64) float64 { return from + (to-from)*r.Float64() }

// drawExponential draws from an exponential distribution. Values are limited to 20 times the mean.
func drawExponential(r *rand.Rand, mean float64) float64 { return min(r.ExpFloat64(), 20) * mean }

// drawLognormal draws from a lognormal distribution with mean 1; sigma is the standard deviation of its
// logarithm.
func drawLognormal(r *rand.Rand, sigma float64) float64 {
	return math.Exp(sigma*r.NormFloat64() - sigma*sigma/2)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Zipf draws ranks from 0 to n-1 with weights 1/(rank+1+offset)^s.
//
// math/rand/v2 has a Zipf type, but it needs s above 1, and the popularity of the keys of real clinics has s
// at or under 1. Zipf finds ranks in a table of cumulative weights.
type Zipf struct{ cumulative []float64 }

// NewZipf returns a Zipf over n ranks.
func NewZipf(n int, s, offset float64) *Zipf {
	z := &Zipf{make([]float64, n)}
	sum := 0.0
	for i := range z.cumulative {
		sum += math.Pow(float64(i)+1+offset, -s)
		z.cumulative[i] = sum
	}
	return z
}

// Rank returns the rank for a number in [0, 1).
func (z *Zipf) Rank(x float64) int {
	x *= z.cumulative[len(z.cumulative)-1]
	low, high := 0, len(z.cumulative)-1
	for low < high {
		if mid := (low + high) / 2; z.cumulative[mid] <= x {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}

// HitRate returns the share of draws that hit an LRU cache of n objects.
//
// It uses the approximation of Che, Tung and Wang, "Hierarchical Web Caching Systems" (IEEE JSAC 20, 2002):
// each object stays cached for the same time T after its last use, and T is chosen such that n objects are
// cached on average.
func (z *Zipf) HitRate(n int) float64 {
	if n >= len(z.cumulative) {
		return 1
	}
	total := z.cumulative[len(z.cumulative)-1]
	expected := func(t float64) (kept, hits float64) {
		last := 0.0
		for _, cumulated := range z.cumulative {
			p := (cumulated - last) / total
			last = cumulated
			x := -math.Expm1(-p * t)
			kept, hits = kept+x, hits+p*x
		}
		return kept, hits
	}
	low, high := 0.0, 1.0
	for kept, _ := expected(high); kept < float64(n) && high < 1e18; kept, _ = expected(high) {
		high *= 4
	}
	for range 50 {
		mid := (low + high) / 2
		if kept, _ := expected(mid); kept < float64(n) {
			low = mid
		} else {
			high = mid
		}
	}
	_, hits := expected(low)
	return hits
}
