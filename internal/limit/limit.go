// Package limit decides which requests are admitted and which are retried. It has token
// buckets, concurrency limits (fixed ones, and adaptive ones that follow the durations of
// answers), retry budgets, and priorities, of which the lowest is shed first.
//
// It does no I/O, starts no goroutines and reads no clock: the caller passes the time in,
// and the same calls give the same decisions. Its types are not safe for concurrent use.
package limit

import (
	"math"
	"time"
)

// Bucket is a token bucket. It gains Rate tokens a second and holds at most Burst tokens.
// The zero value admits nothing.
type Bucket struct {
	Rate, Burst float64

	tokens   float64
	filledAt time.Duration
	started  bool
}

// Take takes a token. If there is none, ok is false and wait is the time until there is one.
func (b *Bucket) Take(now time.Duration) (ok bool, wait time.Duration) {
	if !b.started {
		b.started, b.tokens, b.filledAt = true, b.Burst, now
	}
	b.tokens = min(b.Burst, b.tokens+b.Rate*max(0, now-b.filledAt).Seconds())
	b.filledAt = max(b.filledAt, now)
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	return false, time.Duration((1 - b.tokens) / max(b.Rate, 1e-9) * float64(time.Second))
}

// Budget bounds retries: over any ten seconds there are at most Ratio times as many retries
// as requests, plus MinPerSecond a second. It counts in whole seconds, so a retry counts for
// nine to ten seconds.
type Budget struct {
	Ratio, MinPerSecond float64

	requests, retries [budgetSeconds]int
	second            int64
	started           bool
}

const budgetSeconds = 10 // length of the window, one counter for each second

// advance clears the counters of seconds that have left the window and returns the index of the current second.
func (b *Budget) advance(now time.Duration) int {
	second := int64(now / time.Second)
	if !b.started {
		b.started, b.second = true, second
	}
	for n := 0; b.second < second; n++ {
		if n >= budgetSeconds {
			b.second = second
			break
		}
		b.second++
		b.requests[b.second%budgetSeconds], b.retries[b.second%budgetSeconds] = 0, 0
	}
	return int(b.second % budgetSeconds)
}

// CountRequest counts a request.
func (b *Budget) CountRequest(now time.Duration) { b.requests[b.advance(now)]++ }

// TakeRetry takes a retry out of the budget and reports whether the budget had one.
func (b *Budget) TakeRetry(now time.Duration) bool {
	current := b.advance(now)
	requests, retries := 0, 0
	for i := range b.requests {
		requests, retries = requests+b.requests[i], retries+b.retries[i]
	}
	if float64(retries+1) > b.Ratio*float64(requests)+b.MinPerSecond*budgetSeconds {
		return false
	}
	b.retries[current]++
	return true
}

// Outcome says how a request that a limit admitted has ended.
type Outcome uint8

// The ways in which a request can end.
const (
	Succeeded Outcome = iota // the request was answered
	Failed                   // a server rejected the request, or it timed out or failed: a sign of overload
	Unknown                  // the end says nothing about the load, e.g. because the client disconnected
)

// Concurrency bounds how many requests are in flight at once.
//
// An adaptive limit follows the gradient of the latency, as Envoy's adaptive concurrency
// filter and Netflix's concurrency-limits do. The limit is multiplied by the ratio of the
// baseline, which is the latency without queueing, to the current latency, and may grow by
// its own square root. The baseline is measured at the start, when few requests are
// admitted, and again every half a minute with half of the limit. A long-term mean would
// not do: a lasting queue would raise it until its latency looked normal. Signs of overload
// cut the limit at once, as AIMD does (Chiu and Jain, 1989).
type Concurrency struct {
	Adaptive bool
	Min, Max int // bounds of an adaptive limit; a fixed limit is Max

	limit     float64
	baseline  float64       // latency without queueing in seconds; 0 if not known yet
	lastCut   time.Duration // when the limit was last cut
	lastProbe time.Duration // when the baseline was last measured
	// toSkip is the number of answers still to ignore, because their requests were admitted under an earlier limit. answers is
	// the number of answers counted since.
	toSkip, answers int
	durationSum     float64 // sum of the latencies of the counted answers, in seconds
	probing         bool    // the baseline is being measured
	saturated       bool    // a request was not admitted, or half of the limit was in use, since the limit last changed
	started         bool
}

const (
	initialLimit  = 10
	tolerance     = 1.5  // multiple of the baseline up to which the latency does not reduce the limit
	minWindow     = 20   // answers between two changes of the limit; more if the limit is higher
	probeAnswers  = 50   // answers that one measurement of the baseline needs
	probeInterval = 30   // seconds between two measurements of the baseline
	cutFactor     = 0.9  // factor by which a sign of overload reduces the limit
	cutInterval   = 0.25 // shortest time between two such cuts, in seconds
)

// Limit returns how many requests may be in flight now.
func (c *Concurrency) Limit() int {
	if !c.Adaptive {
		return c.Max
	}
	c.initialize()
	limit := c.limit
	if c.probing && c.baseline > 0 {
		limit /= 2
	}
	return max(c.Min, min(c.Max, int(limit)))
}

// initialize sets the initial limit at the first call.
func (c *Concurrency) initialize() {
	if !c.started {
		c.started, c.probing = true, true
		c.limit = max(float64(c.Min), min(float64(c.Max), initialLimit))
	}
}

// MarkSaturated records that a request was not admitted.
func (c *Concurrency) MarkSaturated() { c.saturated = true }

// RecordEnd records the end of a request that took duration. inFlight is the number of requests in flight, this one included.
func (c *Concurrency) RecordEnd(now, duration time.Duration, outcome Outcome, inFlight int) {
	c.saturated = c.saturated || float64(inFlight) >= c.limit/2
	if c.initialize(); !c.Adaptive || outcome == Unknown {
		return
	}
	minLimit, maxLimit := float64(c.Min), float64(c.Max)
	if outcome == Failed {
		if (now - c.lastCut).Seconds() > cutInterval {
			c.lastCut = now
			c.limit = max(minLimit, cutFactor*c.limit)
		}
		return
	}
	if c.toSkip > 0 { // the request was admitted under an earlier limit
		c.toSkip--
		return
	}
	c.answers++
	c.durationSum += duration.Seconds()
	if c.answers < max(minWindow, int(c.limit)) && !c.probing || c.probing && c.answers < probeAnswers {
		return
	}
	mean, saturated := c.durationSum/float64(c.answers), c.saturated
	c.answers, c.durationSum, c.saturated = 0, 0, false
	switch {
	case c.probing:
		c.baseline, c.probing, c.lastProbe, c.toSkip = mean, false, now, inFlight
		return
	case !saturated:
		return // a limit that is not used up is not raised, since nothing has tested it
	case (now - c.lastProbe).Seconds() > probeInterval:
		c.probing, c.toSkip = true, inFlight
		return
	}
	c.baseline += min(0, (mean-c.baseline)/10)
	gradient := max(0.5, min(1, tolerance*c.baseline/max(mean, 1e-6)))
	c.limit = max(minLimit, min(maxLimit, c.limit*gradient+math.Sqrt(c.limit)))
	c.toSkip = inFlight
}
