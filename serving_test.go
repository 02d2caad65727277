package hoptiller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// A router counts as unserving if it gets at least minUnserved requests in maxUnservedTime or longer and sends no attempt for any
// of them. One router in ten may do so in runs with few or no faults.
const (
	minUnserved         = 15
	maxUnservedTime     = 4 * time.Second
	maxUnservedFraction = 0.1
)

// longestUnserved simulates one of hundreds of routers, which gets rate requests per second. A fraction of its servers times out
// for a while, and answers well before and after that. It returns the longest time for which the router served no request.
func longestUnserved(rate, failing float64, faultTime time.Duration, seed uint64) (longest time.Duration) {
	const servers, warm, after = 10, 10 * time.Second, 10 * time.Second
	rng := rand.New(rand.NewPCG(seed, 3))
	set := testSettings()
	set.RouterCount = 300
	r, p := newRouter(set, fleet(make([]float64, servers)...)) // a weight of 0 means not stated and counts as 1
	start, lastSend, unsent := r.now, r.now, 0
	for id := uint32(1); r.now < start+warm+faultTime+after; id++ {
		now := r.now + time.Duration(rng.ExpFloat64()/rate*1e9)
		for r.now+sweepInterval < now {
			r.Timer(r.now+sweepInterval, tokenSweep)
		}
		p.sends = p.sends[:0]
		r.Request(now, Request{ID: id, Key: rng.Uint64N(3000) + 1, Remaining: time.Second})
		if unsent++; len(p.sends) == 0 {
			if unsent >= minUnserved {
				longest = max(longest, now-lastSend)
			}
			continue
		}
		lastSend, unsent = now, 0
		o := Outcome{Request: id, Server: p.sends[0].server, Status: OK, Latency: 10 * time.Millisecond, Closed: true}
		if at := now - start - warm; at > 0 && at < faultTime && float64(o.Server) <= failing*servers {
			o.Status, o.Latency = Timeout, time.Second
		}
		r.Outcome(now, o)
	}
	return longest
}

// Guards against a router that refuses everything for seconds on end. Even with little traffic at each of hundreds of routers,
// and with half of the servers timing out, at most one router in ten does that.
func TestFewRoutersRefuseEverything(t *testing.T) {
	t.Parallel()
	const routers, faultTime = 40, 15 * time.Second
	for _, rate := range []float64{5, 10, 30} {
		for _, failing := range []float64{0.1, 0.3, 0.5} {
			t.Run(fmt.Sprintf("%v requests per second, %v of the servers failing", rate, failing), func(t *testing.T) {
				t.Parallel()
				unserving, longest := 0, time.Duration(0)
				for seed := range uint64(routers) {
					unserved := longestUnserved(rate, failing, faultTime, seed)
					if longest = max(longest, unserved); unserved >= maxUnservedTime {
						unserving++
					}
				}
				if t.Logf("%d of %d routers refused everything, the longest for %v",
					unserving, routers, longest); unserving > maxUnservedFraction*routers {
					t.Fail()
				}
			})
		}
	}
}

// If all servers time out a router may refuse everything, but it must keep trying, so that it sees when they are back.
func TestRouterRecoversWithItsServers(t *testing.T) {
	t.Parallel()
	const seeds, faultTime, within = 10, 30 * time.Second, 10 * time.Second
	for _, rate := range []float64{5, 30, 100} {
		t.Run(fmt.Sprint(rate, " requests per second"), func(t *testing.T) {
			t.Parallel()
			longest := time.Duration(0)
			for seed := range uint64(seeds) {
				longest = max(longest, longestUnserved(rate, 1, faultTime, seed))
			}
			if t.Logf("longest time without service: %v", longest); longest > within {
				t.Fail()
			}
		})
	}
}
