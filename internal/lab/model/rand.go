package model

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Stream returns a sequence of random numbers of its own for one concern of a
// day. Concerns don't share sequences, so that what one party draws more often
// changes nothing for the others: two policies see the same clients.
func Stream(seed uint64, concern string, n int) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(concern)+uint64(n)*0x9e3779b97f4a7c15))
}

// between draws evenly from a range.
func between(r *rand.Rand, from, to float64) float64 { return from + (to-from)*r.Float64() }

// exp draws from an exponential distribution, held under 20 times its mean.
func exp(r *rand.Rand, mean float64) float64 { return min(r.ExpFloat64(), 20) * mean }

// lognormal draws from a lognormal distribution with mean 1 and the standard deviation sigma of its logarithm.
func lognormal(r *rand.Rand, sigma float64) float64 {
	return math.Exp(sigma*r.NormFloat64() - sigma*sigma/2)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Zipf draws ranks from 0 to n-1 with weights 1/(rank+1+offset)^s.
//
// math/rand/v2 has a Zipf, but none for s at or under 1, which is where the
// popularity of clinics' days lies. This one looks ranks up in the table of sums.
type Zipf struct{ sums []float64 }

// NewZipf returns a Zipf over n ranks.
func NewZipf(n int, s, offset float64) *Zipf {
	z := &Zipf{make([]float64, n)}
	sum := 0.0
	for i := range z.sums {
		sum += math.Pow(float64(i)+1+offset, -s)
		z.sums[i] = sum
	}
	return z
}

// Rank finds the rank for a number in [0, 1).
func (z *Zipf) Rank(x float64) int {
	x *= z.sums[len(z.sums)-1]
	low, high := 0, len(z.sums)-1
	for low < high {
		if mid := (low + high) / 2; z.sums[mid] <= x {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}

// Hits is the part of draws that one memory of n objects, which drops those used
// longest ago, has kept from an earlier draw.
//
// This is the approximation of Che, Tung and Wang, "Hierarchical Web Caching
// Systems" (IEEE JSAC 20, 2002): an object stays for a time T that is the same
// for all, such that n are kept on average.
func (z *Zipf) Hits(n int) float64 {
	if n >= len(z.sums) {
		return 1
	}
	all := z.sums[len(z.sums)-1]
	sum := func(t float64) (kept, hits float64) {
		last := 0.0
		for _, s := range z.sums {
			p := (s - last) / all
			last = s
			x := -math.Expm1(-p * t)
			kept, hits = kept+x, hits+p*x
		}
		return kept, hits
	}
	low, high := 0.0, 1.0
	for kept, _ := sum(high); kept < float64(n) && high < 1e18; kept, _ = sum(high) {
		high *= 4
	}
	for range 50 {
		mid := (low + high) / 2
		if kept, _ := sum(mid); kept < float64(n) {
			low = mid
		} else {
			high = mid
		}
	}
	_, hits := sum(low)
	return hits
}
