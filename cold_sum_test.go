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

// coldStart is one start of a cold server in a fleet of routers.
type coldStart struct {
	routers           int
	configuredRouters int           // number of routers in the settings
	skew              float64       // of the load over the routers: router n gets a share proportional to n^-skew
	listedWithin      time.Duration // time within which the routers receive the start, each at its own time
	oneLaterBy        time.Duration // one router receives it later by this time; 0: none does
	warmUp            time.Duration // length of the warm-up
	coldFrom          float64
	hotFraction       float64 // fraction of the requests that are for one key, whose home is the new server
	vanished          int     // warm servers that vanish at the start; their keys go to the others
}

const (
	coldRate    = 600.0 // requests per second of all routers
	coldServers = 10    // warm servers besides the new one
)

// limitedServer is a warm server that refuses what exceeds its rate, which is a little over its share of the load.
type limitedServer struct {
	tokens    float64
	updatedAt time.Duration
}

const coldBurst = 20

func (s *limitedServer) accepts(now time.Duration) bool {
	s.tokens = math.Min(coldBurst, s.tokens+(now-s.updatedAt).Seconds()*1.1*coldRate/coldServers)
	if s.updatedAt = now; s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// drawColdStart draws a random coldStart.
func drawColdStart(rng *rand.Rand) coldStart {
	pick := func(values ...float64) float64 { return values[rng.IntN(len(values))] }
	d := coldStart{
		routers: int(pick(1, 5, 20, 30, 300)), skew: pick(0, 0, 0.5, 1), listedWithin: time.Duration(pick(0, 0, 0.5, 3) * 1e9),
		warmUp: time.Duration(pick(12, 24) * 1e9), coldFrom: pick(0.12, 0.2, 0.34), vanished: int(pick(0, 0, 3, 9)),
		hotFraction: pick(0, 0, 0.1, 0.4),
	}
	d.configuredRouters = max(1, int(float64(d.routers)*pick(1, 1, 1, 0.5, 2)))
	if d.routers > 1 {
		d.oneLaterBy = time.Duration(pick(0, 0, 4) * 1e9)
	}
	return d
}

// excess simulates the cold start. N is what the settings allow the new server in a window; its full capacity is what each warm
// server handles, which it can handle at least. The result worst is the largest excess of the requests in any window over N + 2,
// in units of the square root of N, of which 2 are tolerated. With it come the number of requests in that window and the number
// that is tolerated.
func (d coldStart) excess(seed uint64) (worst float64, sum, allowed int) {
	worst = math.Inf(-1)
	rng := rand.New(rand.NewPCG(seed, 1))
	set := testSettings()
	set.OverloadFactor, set.CollapseWindow, set.WarmUp, set.ColdCapacity = 2.5, 1500*time.Millisecond, d.warmUp, d.coldFrom
	set.RouterCount = d.configuredRouters
	list := make([]Server, coldServers)
	for i := range list {
		list[i] = Server{ID: uint32(i + 1), Phase: Ready, Weight: 1}
	}
	routers, recorders := make([]*Router, d.routers), make([]*recorder, d.routers)
	loadShares := make([]float64, d.routers) // cumulative shares of the load
	for i := range routers {
		recorders[i] = newRecorder()
		set.RouterIndex = i
		routers[i] = New(time.Second, set, seed*1000+uint64(i), recorders[i])
		routers[i].UpdateServers(time.Second, ListFull, list)
		loadShares[i] = math.Pow(float64(i+1), -d.skew)
		if i > 0 {
			loadShares[i] += loadShares[i-1]
		}
	}
	const warm, length = 8 * time.Second, 6 * time.Second
	started := time.Second + warm
	listedAt := make([]time.Duration, d.routers)
	for i := range listedAt {
		listedAt[i] = started + time.Duration(rng.Float64()*float64(d.listedWithin))
	}
	if d.oneLaterBy > 0 {
		listedAt[rng.IntN(len(listedAt))] += d.oneLaterBy
	}
	newcomer := []Server{{ID: 99, Phase: Ready, Weight: 1, Started: started}}
	for i := range d.vanished {
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
	warmServers := map[uint32]*limitedServer{}
	for _, s := range list {
		warmServers[s.ID] = &limitedServer{tokens: coldBurst}
	}
	var received []float64 // times at which the new server got a request, in seconds since its start
	id := uint32(0)
	for now := time.Second; now < started+length; {
		now += time.Duration(rng.ExpFloat64() / coldRate * 1e9)
		i := sort.SearchFloat64s(loadShares, rng.Float64()*loadShares[len(loadShares)-1])
		r, p := routers[i], recorders[i]
		if listedAt[i] > 0 && now >= listedAt[i] {
			listedAt[i] = 0
			r.UpdateServers(now, ListDelta, newcomer)
		}
		r.Timer(now, tokenSweep)
		id++
		p.sends = p.sends[:0]
		key := rng.Uint64N(3000) + 1
		if rng.Float64() < d.hotFraction {
			key = hot
		}
		r.Request(now, Request{ID: id, Key: key, Remaining: time.Second})
		for n := 0; n < len(p.sends); n++ { // each refused attempt may be followed by another
			o := Outcome{Request: id, Attempt: n, Server: p.sends[n].server, Status: OK, Latency: 5 * time.Millisecond, Closed: true}
			if o.Server == 99 {
				received = append(received, (now - started).Seconds())
			} else if !warmServers[o.Server].accepts(now) {
				o.Status, o.Closed = TurnedAway, false
			}
			r.Outcome(now, o)
		}
	}
	fall, from := set.CollapseWindow.Seconds(), 0
	for to := range received {
		for received[to]-received[from] >= fall {
			from++
		}
		mid := math.Max(0, received[to]-fall/2)
		warmth := d.coldFrom + (1-d.coldFrom)*math.Min(1, mid/d.warmUp.Seconds())
		n := set.OverloadFactor * warmth * coldRate / coldServers * fall
		got := float64(to - from + 1)
		if x := (got - n - 2) / math.Sqrt(n); x > worst {
			worst, sum, allowed = x, int(got), int(n+2*math.Sqrt(n)+2)
		}
	}
	return worst, sum, allowed
}

// Guards against small fractions of a request at each router that add up. However many routers there are, whatever their settings
// say about that, however uneven their load is and whenever each receives the start: all of them together send a server that has
// just started no more, in each window of the settings' length, than it sustains plus what chance adds.
func TestColdServerTotalLoad(t *testing.T) {
	const seeds = 1000
	var mu sync.Mutex
	worst, smallest := math.Inf(-1), math.Inf(1)
	var worstCase string
	var all sync.WaitGroup
	next := make(chan uint64)
	for range 6 {
		all.Go(func() {
			for seed := range next {
				d := drawColdStart(rand.New(rand.NewPCG(seed, 2)))
				x, sum, allowed := d.excess(seed)
				mu.Lock()
				if sum > allowed {
					t.Errorf("seed %d: %d in a window, %d are tolerated: %+v", seed, sum, allowed, d)
				}
				smallest = min(smallest, x)
				if x > worst {
					worst, worstCase = x, fmt.Sprintf("seed %d: %d of %d, %+v", seed, sum, allowed, d)
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
	t.Logf("largest excess over %d seeds: N + 2 + %.2f times the root of N, %s; smallest N + 2 + %.2f",
		seeds, worst, worstCase, smallest)
}
