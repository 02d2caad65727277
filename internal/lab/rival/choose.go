package rival

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// hash returns a 64-bit hash of two numbers.
func hash(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// random picks a server at random, with a probability in proportion to its weight.
type random struct {
	servers []*server
	weight  float64
}

func (c *random) rebuild(servers []*server) {
	c.servers, c.weight = servers, 0
	for _, s := range servers {
		c.weight += s.Weight
	}
}

func (c *random) pick(r *rand.Rand, _ uint64, ok func(*server) bool) *server {
	for range 20 {
		x := r.Float64() * c.weight
		for _, s := range c.servers {
			if x -= s.Weight; x < 0 {
				if ok(s) {
					return s
				}
				break
			}
		}
	}
	return nil
}

// ring implements consistent hashing: Karger, Lehman, Leighton, Panigrahy, Levine and Lewin, "Consistent Hashing and
// Random Trees" (STOC 1997). The number of points of a server is in proportion to its weight; a slot cache has about as
// many as a server has in the ketama library.
type ring struct {
	points  []point
	servers int
}

// point is one point of a server on the ring.
type point struct {
	hash   uint64 // position on the ring
	server *server
}

// pointsPerWeight is the number of points for each unit of weight. The points of a server must not depend on the weights of
// the others, or a server that is added or removed would move the points of all.
const pointsPerWeight = 40

func (c *ring) rebuild(servers []*server) {
	c.points, c.servers = c.points[:0], len(servers)
	for _, s := range servers {
		for i := range max(1, int(pointsPerWeight*s.Weight+0.5)) {
			c.points = append(c.points, point{hash(uint64(s.ID), uint64(i)), s})
		}
	}
	slices.SortFunc(c.points, func(a, b point) int {
		if a.hash != b.hash {
			if a.hash < b.hash {
				return -1
			}
			return 1
		}
		return int(a.server.ID) - int(b.server.ID)
	})
}

func (c *ring) pick(_ *rand.Rand, key uint64, ok func(*server) bool) *server {
	at, _ := slices.BinarySearchFunc(c.points, hash(key, 0), func(p point, x uint64) int {
		switch {
		case p.hash < x:
			return -1
		case p.hash > x:
			return 1
		}
		return 0
	})
	for i := range c.points {
		if s := c.points[(at+i)%len(c.points)].server; ok(s) {
			return s
		}
	}
	return nil
}

// bounded implements consistent hashing with bounded loads: Mirrokni, Thorup and Zadimoghaddam (SODA 2018). No server
// gets more than maxLoadFactor times its share of the load by weight. A key whose server is full goes to the next server
// on the ring.
type bounded struct{ ring }

// maxLoadFactor bounds the calls in flight of a server, relative to its share of all calls in flight by weight.
const maxLoadFactor = 1.25

func (c *bounded) pick(r *rand.Rand, key uint64, ok func(*server) bool) *server {
	inFlight, weight := 1, 0.0
	seen := map[*server]bool{}
	for _, p := range c.points {
		if !seen[p.server] {
			seen[p.server] = true
			inFlight += p.server.inFlight
			weight += p.server.Weight
		}
		if len(seen) == c.servers {
			break
		}
	}
	hasCapacity := func(s *server) bool {
		return ok(s) && float64(s.inFlight+1) <= math.Ceil(maxLoadFactor*float64(inFlight)*s.Weight/weight)
	}
	if s := c.ring.pick(r, key, hasCapacity); s != nil {
		return s
	}
	return c.ring.pick(r, key, ok)
}

// maglev implements the lookup table of Eisenbud et al., "Maglev: A Fast and Reliable Software Network Load Balancer"
// (NSDI 2016). Servers take turns in filling the table, as often as their weights say.
type maglev struct {
	table   []int32
	servers []*server
}

func (c *maglev) rebuild(servers []*server) {
	c.servers = servers
	size := 65537 // a prime, at least a hundred times the number of servers, as the paper advises
	if len(servers) > 600 {
		size = 655373
	}
	c.table = make([]int32, size)
	for i := range c.table {
		c.table[i] = -1
	}
	if len(servers) == 0 {
		return
	}
	maxWeight := 0.0
	offset, skip, next, turns := make([]uint64, len(servers)), make([]uint64, len(servers)), make([]uint64, len(servers)),
		make([]float64, len(servers))
	for i, s := range servers {
		offset[i] = hash(uint64(s.ID), 1) % uint64(size)
		skip[i] = hash(uint64(s.ID), 2)%uint64(size-1) + 1
		maxWeight = max(maxWeight, s.Weight)
	}
	for filled := 0; ; {
		for i, s := range servers {
			if turns[i] += s.Weight / maxWeight; turns[i] < 1 {
				continue
			}
			turns[i]--
			at := (offset[i] + next[i]*skip[i]) % uint64(size)
			for c.table[at] >= 0 {
				next[i]++
				at = (offset[i] + next[i]*skip[i]) % uint64(size)
			}
			c.table[at] = int32(i)
			next[i]++
			if filled++; filled == size {
				return
			}
		}
	}
}

func (c *maglev) pick(_ *rand.Rand, key uint64, ok func(*server) bool) *server {
	if len(c.servers) == 0 {
		return nil
	}
	for i := range uint64(50) { // hash the key again while the server may not be chosen
		if s := c.servers[c.table[hash(key, i)%uint64(len(c.table))]]; ok(s) {
			return s
		}
	}
	return nil
}

// rendezvous implements highest random weight hashing: Thaler and Ravishankar, "Using Name-Based Mappings to Increase
// Hit Rates" (IEEE/ACM Transactions on Networking 6, 1998). Weights are applied by the logarithmic method of
// Schindelhauer and Schomaker, "Weighted Distributed Hash Tables" (SPAA 2005).
type rendezvous struct{ servers []*server }

func (c *rendezvous) rebuild(servers []*server) { c.servers = servers }

func (c *rendezvous) pick(_ *rand.Rand, key uint64, ok func(*server) bool) (best *server) {
	lowest := math.Inf(1)
	for _, s := range c.servers {
		u := (float64(hash(key, uint64(s.ID))>>11) + 0.5) / (1 << 53)
		if x := -math.Log(u) / s.Weight; x < lowest && ok(s) {
			best, lowest = s, x
		}
	}
	return best
}

// p2c implements the power of two choices: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing" (IEEE
// Transactions on Parallel and Distributed Systems 12, 2001). It picks the less loaded of two random servers.
type p2c struct{ random }

func (c *p2c) pick(r *rand.Rand, key uint64, ok func(*server) bool) *server {
	a, b := c.random.pick(r, key, ok), c.random.pick(r, key, ok)
	if a == nil || b != nil && float64(b.inFlight)/b.Weight < float64(a.inFlight)/a.Weight {
		return b
	}
	return a
}
