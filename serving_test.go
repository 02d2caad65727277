package hoptiller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// A router serves nobody if it gets at least nobodyLeast requests in nobodyFor or longer and sends none of them on. Of ten routers
// one may, on a day without or with few faults.
const (
	nobodyLeast = 15
	nobodyFor   = 4 * time.Second
	nobodyPart  = 0.1
)

// servesNobody plays one router of hundreds, which gets so many requests a second. A part of its servers lets its attempts time out
// for a while, and answers well before and after that. It tells for how long the router served nobody at the most.
func servesNobody(rate, part float64, trouble time.Duration, seed uint64) (longest time.Duration) {
	const servers, warm, after = 10, 10 * time.Second, 10 * time.Second
	rng := rand.New(rand.NewPCG(seed, 3))
	set := testSettings()
	set.Balancers = 300
	r, p := newRouter(set, fleet(make([]float64, servers)...)) // a weight that is not stated is 1
	start, lastSend, unsent := r.now, r.now, 0
	for id := uint32(1); r.now < start+warm+trouble+after; id++ {
		now := r.now + time.Duration(rng.ExpFloat64()/rate*1e9)
		for r.now+sweepTick < now {
			r.Timer(r.now+sweepTick, tokSweep)
		}
		p.sends = p.sends[:0]
		r.Request(now, Request{ID: id, Key: rng.Uint64N(3000) + 1, Remaining: time.Second})
		if unsent++; len(p.sends) == 0 {
			if unsent >= nobodyLeast {
				longest = max(longest, now-lastSend)
			}
			continue
		}
		lastSend, unsent = now, 0
		o := Outcome{Request: id, Server: p.sends[0].server, Status: OK, Latency: 10 * time.Millisecond, Closed: true}
		if at := now - start - warm; at > 0 && at < trouble && float64(o.Server) <= part*servers {
			o.Status, o.Latency = Timeout, time.Second
		}
		r.Outcome(now, o)
	}
	return longest
}

// However thin the traffic of each of hundreds of routers is, and though half of the servers time out for as long as on the days that
// count it: at most one router in ten turns away all that it gets for seconds on end.
func TestFewRoutersServeNobody(t *testing.T) {
	t.Parallel()
	const routers, trouble = 40, 15 * time.Second
	for _, rate := range []float64{5, 10, 30} {
		for _, part := range []float64{0.1, 0.3, 0.5} {
			t.Run(fmt.Sprintf("%v requests a second, %v of the servers", rate, part), func(t *testing.T) {
				t.Parallel()
				nobody, longest := 0, time.Duration(0)
				for seed := range uint64(routers) {
					idle := servesNobody(rate, part, trouble, seed)
					if longest = max(longest, idle); idle >= nobodyFor {
						nobody++
					}
				}
				if t.Logf("%d of %d routers, the longest for %v", nobody, routers, longest); nobody > nobodyPart*routers {
					t.Fail()
				}
			})
		}
	}
}

// Where all servers time out a router may turn all away, but comes to try again, so that it sees when they are back.
func TestRouterThatServesNobodyTriesAgain(t *testing.T) {
	t.Parallel()
	const seeds, trouble, within = 10, 30 * time.Second, 10 * time.Second
	for _, rate := range []float64{5, 30, 100} {
		t.Run(fmt.Sprint(rate, " requests a second"), func(t *testing.T) {
			t.Parallel()
			longest := time.Duration(0)
			for seed := range uint64(seeds) {
				longest = max(longest, servesNobody(rate, 1, trouble, seed))
			}
			if t.Logf("the longest for %v", longest); longest > within {
				t.Fail()
			}
		})
	}
}
