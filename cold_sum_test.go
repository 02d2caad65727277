package hoptiller

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"sync"
	"testing"
	"time"
)

// coldDay is one start of a cold server as a fleet of routers meets it.
type coldDay struct {
	routers    int
	configured int           // the number of routers that the settings tell
	skew       float64       // of the load over the routers: the nth has a part of n^-skew
	apart      time.Duration // within which the routers are told of the start, each at a time of its own
	late       time.Duration // later than all others one is told; 0: none
	cold       time.Duration // until it is warm
	coldFrom   float64
	hot        float64 // part of the requests that are for one key, which is at home on the new server
	down       int     // warm servers that vanish at the start, whose keys come to the others
}

const (
	coldRate    = 600.0 // requests a second of all routers
	coldServers = 10    // warm ones beside the new
)

// carrier is a warm server that turns away what is beyond its rate, a little over its part of the load.
type carrier struct {
	level float64
	at    time.Duration
}

const coldBurst = 20

func (c *carrier) take(now time.Duration) bool {
	c.level = math.Min(coldBurst, c.level+(now-c.at).Seconds()*1.1*coldRate/coldServers)
	if c.at = now; c.level < 1 {
		return false
	}
	c.level--
	return true
}

// drawColdDay draws a day.
func drawColdDay(rng *rand.Rand) coldDay {
	pick := func(of ...float64) float64 { return of[rng.IntN(len(of))] }
	d := coldDay{
		routers: int(pick(1, 5, 20, 30, 300)), skew: pick(0, 0, 0.5, 1), apart: time.Duration(pick(0, 0, 0.5, 3) * 1e9),
		cold: time.Duration(pick(12, 24) * 1e9), coldFrom: pick(0.12, 0.2, 0.34), down: int(pick(0, 0, 3, 9)), hot: pick(0, 0, 0.1, 0.4),
	}
	d.configured = max(1, int(float64(d.routers)*pick(1, 1, 1, 0.5, 2)))
	if d.routers > 1 {
		d.late = time.Duration(pick(0, 0, 4) * 1e9)
	}
	return d
}

// excess plays a day. It tells by how much the sum that a new server gets in any window goes beyond N + 2, in parts of the root of N,
// of which it stands 2; N is what the settings allow it in that window. Its full capacity is what each
// warm server carries: it stands no less.
func (d coldDay) excess(seed uint64) (worst float64, sum, allowed int) {
	worst = math.Inf(-1)
	rng := rand.New(rand.NewPCG(seed, 1))
	set := testSettings()
	set.OverloadFactor, set.Fall, set.Cold, set.ColdFrom = 2.5, 1500*time.Millisecond, d.cold, d.coldFrom
	set.Balancers = d.configured
	list := make([]Server, coldServers)
	for i := range list {
		list[i] = Server{ID: uint32(i + 1), Phase: Ready, Weight: 1}
	}
	routers, out := make([]*Router, d.routers), make([]*recorder, d.routers)
	parts := make([]float64, d.routers) // sums of the load's parts
	for i := range routers {
		out[i] = newRecorder()
		set.Self = i
		routers[i] = New(time.Second, set, seed*1000+uint64(i), out[i])
		routers[i].List(time.Second, ListFull, list)
		parts[i] = math.Pow(float64(i+1), -d.skew)
		if i > 0 {
			parts[i] += parts[i-1]
		}
	}
	const warm, length = 8 * time.Second, 6 * time.Second
	started := time.Second + warm
	told := make([]time.Duration, d.routers)
	for i := range told {
		told[i] = started + time.Duration(rng.Float64()*float64(d.apart))
	}
	if d.late > 0 {
		told[rng.IntN(len(told))] += d.late
	}
	newcomer := []Server{{ID: 99, Phase: Ready, Weight: 1, Started: started}}
	for i := range d.down {
		newcomer = append(newcomer, Server{ID: uint32(i + 1)})
	}
	hot := uint64(10000)
	for home := uint32(0); home != 99; {
		hot++
		home = 99
		for _, s := range list {
			if score(s.ID, mix(hot), 1) < score(99, mix(hot), 1) {
				home = s.ID
			}
		}
	}
	carries := map[uint32]*carrier{}
	for _, s := range list {
		carries[s.ID] = &carrier{level: coldBurst}
	}
	var at []float64 // seconds since the start at which it got one
	id := uint32(0)
	for now := time.Second; now < started+length; {
		now += time.Duration(rng.ExpFloat64() / coldRate * 1e9)
		i := sort.SearchFloat64s(parts, rng.Float64()*parts[len(parts)-1])
		r, p := routers[i], out[i]
		if told[i] > 0 && now >= told[i] {
			told[i] = 0
			r.List(now, ListDelta, newcomer)
		}
		r.Timer(now, tokSweep)
		id++
		p.sends = p.sends[:0]
		key := rng.Uint64N(3000) + 1
		if rng.Float64() < d.hot {
			key = hot
		}
		r.Request(now, Request{ID: id, Key: key, Remaining: time.Second})
		for n := 0; n < len(p.sends); n++ { // each that is turned away may be followed by another
			o := Outcome{Request: id, Attempt: n, Server: p.sends[n].server, Status: OK, Latency: 5 * time.Millisecond, Closed: true}
			if o.Server == 99 {
				at = append(at, (now - started).Seconds())
			} else if !carries[o.Server].take(now) {
				o.Status, o.Closed = Full, false
			}
			r.Outcome(now, o)
		}
	}
	fall, from := set.Fall.Seconds(), 0
	for to := range at {
		for at[to]-at[from] >= fall {
			from++
		}
		mid := math.Max(0, at[to]-fall/2)
		warmth := d.coldFrom + (1-d.coldFrom)*math.Min(1, mid/d.cold.Seconds())
		n := set.OverloadFactor * warmth * coldRate / coldServers * fall
		got := float64(to - from + 1)
		if x := (got - n - 2) / math.Sqrt(n); x > worst {
			worst, sum, allowed = x, int(got), int(n+2*math.Sqrt(n)+2)
		}
	}
	return worst, sum, allowed
}

// However many routers there are, whatever their settings tell of that, however unevenly they are loaded and whenever each is
// told: the sum of what they send a server that has just started stays, in each window of the settings' length, within what it
// stands and chance adds. Small fractions of a call for each router add up too.
func TestColdSum(t *testing.T) {
	const seeds = 1000
	var mu sync.Mutex
	worst, least := math.Inf(-1), math.Inf(1)
	var at string
	var all sync.WaitGroup
	next := make(chan uint64)
	for range 6 {
		all.Go(func() {
			for seed := range next {
				d := drawColdDay(rand.New(rand.NewPCG(seed, 2)))
				x, sum, allowed := d.excess(seed)
				mu.Lock()
				if sum > allowed {
					t.Errorf("seed %d: %d in a window, %d are stood: %+v", seed, sum, allowed, d)
				}
				least = min(least, x)
				if x > worst {
					worst, at = x, fmt.Sprintf("seed %d: %d of %d, %+v", seed, sum, allowed, d)
				}
				mu.Unlock()
			}
		})
	}
	for seed := range uint64(seeds) {
		next <- seed
	}
	close(next)
	all.Wait()
	t.Logf("worst sum over %d seeds: N + %.2f root of N, %s; least N + %.2f", seeds, worst, at, least)
}
