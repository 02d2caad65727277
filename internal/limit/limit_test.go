package limit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "hoptiller/internal/draws"
)

func TestBucket(t *testing.T) {
	b := Bucket{Rate: 10, Burst: 3}
	for range 3 {
		if ok, _ := b.Take(0); !ok {
			t.Fatal("no burst")
		}
	}
	if ok, wait := b.Take(0); ok || wait != 100*time.Millisecond {
		t.Errorf("%v, wait %v", ok, wait)
	}
	if ok, _ := b.Take(101 * time.Millisecond); !ok {
		t.Error("nothing after the wait")
	}
	if ok, wait := new(Bucket).Take(time.Hour); ok || wait <= 0 {
		t.Error("the zero value lets something through")
	}
	rapid.Check(t, func(t *rapid.T) {
		b := Bucket{Rate: rapid.Float64Range(0.1, 1000).Draw(t, "rate"), Burst: float64(rapid.IntRange(1, 50).Draw(t, "burst"))}
		now, let := time.Duration(0), 0
		for range rapid.IntRange(0, 500).Draw(t, "asks") {
			now += time.Duration(rapid.IntRange(-1000, 50_000).Draw(t, "us")) * time.Microsecond
			if ok, _ := b.Take(max(0, now)); ok {
				let++
			}
		}
		if most := b.Burst + b.Rate*max(0, b.at).Seconds() + 1e-6; float64(let) > most {
			t.Fatalf("%d let through, of %.2f", let, most)
		}
	})
}

// A full outage, in which everything would be repeated, is amplified by no more than the budget's figure.
func TestBudgetCapsAmplification(t *testing.T) {
	b := Budget{Part: 0.1, Least: 1}
	taken, repeats := 0, 0
	for now := time.Duration(0); now < time.Minute; now += 2 * time.Millisecond {
		b.Taken(now)
		taken++
		for range 3 {
			if b.Repeat(now) {
				repeats++
			}
		}
	}
	if part := float64(repeats) / float64(taken); part > 0.1+1.0/500+0.002 || part < 0.095 {
		t.Errorf("%d of %d repeated", repeats, taken)
	}
	if b = (Budget{Part: 1}); b.Repeat(0) {
		t.Error("a repeat of nothing")
	}
	if b.Taken(0); !b.Repeat(9*time.Second) || b.Repeat(9*time.Second) {
		t.Error("one is taken, so that one can be repeated")
	}
	if b.Taken(0); b.Repeat(time.Hour) {
		t.Error("what was taken an hour ago counts")
	}
}

// model is what a Gate must hold to, whatever comes.
type model struct {
	g      Gate
	now    time.Duration
	next   uint64
	in     map[uint64]int // priorities
	queued map[uint64]int
}

func (m *model) enter(t *rapid.T, id uint64) {
	if _, waits := m.queued[id]; !waits {
		t.Fatalf("%d goes in and did not wait", id)
	}
	for other, p := range m.queued {
		if p > m.queued[id] {
			t.Fatalf("%d of priority %d goes before %d of %d", id, m.queued[id], other, p)
		}
	}
	m.in[id] = m.queued[id]
	delete(m.queued, id)
}

func TestGate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{in: map[uint64]int{}, queued: map[uint64]int{}}
		most := rapid.IntRange(1, 12).Draw(t, "most")
		m.g = Gate{Concurrency: Concurrency{Adaptive: rapid.Bool().Draw(t, "adaptive"), Least: 1, Most: most}, Queue: rapid.IntRange(0, 5).Draw(t, "queue")}
		pick := func(from map[uint64]int) uint64 {
			var ids []uint64
			for id := range from {
				ids = append(ids, id)
			}
			slices.Sort(ids)
			if len(ids) == 0 {
				t.Skip()
			}
			return rapid.SampledFrom(ids).Draw(t, "which")
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				m.next++
				p := rapid.IntRange(0, Priorities-1).Draw(t, "priority")
				switch v, shed := m.g.Ask(m.now, m.next, p); {
				case v == Go:
					m.in[m.next] = p
				case v == Wait:
					m.queued[m.next] = p
					if shed != 0 {
						if at, was := m.queued[shed]; !was || at >= p {
							t.Fatalf("%d of priority %d has to leave for one of %d", shed, at, p)
						}
						delete(m.queued, shed)
					}
				case shed != 0:
					t.Fatal("one is shed for one that is refused")
				}
			},
			"done": func(t *rapid.T) {
				id := pick(m.in)
				p := m.in[id]
				delete(m.in, id)
				how := Ended(rapid.IntRange(0, 2).Draw(t, "how"))
				for _, id := range m.g.Done(m.now, p, time.Duration(rapid.IntRange(1, 500).Draw(t, "ms"))*time.Millisecond, how) {
					m.enter(t, id)
				}
			},
			"leave": func(t *rapid.T) {
				id := pick(m.queued)
				delete(m.queued, id)
				if !m.g.Leave(id) || m.g.Leave(id) {
					t.Fatal("one did not leave once")
				}
			},
			"time": func(t *rapid.T) { m.now += time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond },
			"reload": func(t *rapid.T) {
				most = rapid.IntRange(1, 12).Draw(t, "most")
				m.g.Adopt(Concurrency{Adaptive: m.g.Adaptive, Least: 1, Most: most}, m.g.Queue, time.Second)
			},
			"": func(t *rapid.T) {
				if m.g.Out() != len(m.in) || m.g.Waiting() != len(m.queued) || len(m.in) == 0 && len(m.queued) > 0 || m.g.After() <= 0 {
					t.Fatalf("%d in and %d waiting, not %d and %d", m.g.Out(), m.g.Waiting(), len(m.in), len(m.queued))
				}
				if len(m.in) > 12 || m.g.Limit() > most {
					t.Fatalf("%d are in, the limit is %d of %d", len(m.in), m.g.Limit(), most)
				}
			},
		})
	})
}

// station plays one server with some places and a queue behind a gate, and tells how many of each priority were
// asked and answered within aim.
func station(g *Gate, places int, work, aim time.Duration, rates [Priorities]float64, length time.Duration) (asked, good [Priorities]int) {
	type job struct {
		priority int
		since    time.Duration
	}
	rng := rand.New(rand.NewPCG(1, 2))
	waiting, busy, id := []job{}, []time.Duration{}, uint64(0)
	held := map[uint64]job{}
	running := []job{}
	const step = time.Millisecond
	for now := time.Duration(0); now < length; now += step {
		for i := 0; i < len(busy); i++ {
			if busy[i] > now {
				continue
			}
			j := running[i]
			busy, running = slices.Delete(busy, i, i+1), slices.Delete(running, i, i+1)
			i--
			how := Well
			if now-j.since > aim {
				how = Badly
			} else {
				good[j.priority]++
			}
			if g != nil {
				for _, next := range g.Done(now, j.priority, now-j.since, how) {
					waiting = append(waiting, held[next])
				}
			}
		}
		for p, rate := range rates {
			if rng.Float64() >= rate*step.Seconds() {
				continue
			}
			asked[p]++
			id++
			j := job{p, now}
			v := Go
			if g != nil {
				v, _ = g.Ask(now, id, p)
			}
			if v == Go {
				waiting = append(waiting, j)
			}
			held[id] = j
		}
		for len(busy) < places && len(waiting) > 0 {
			busy = append(busy, now+time.Duration(rng.ExpFloat64()*float64(work)))
			running = append(running, waiting[0])
			waiting = waiting[1:]
		}
	}
	return asked, good
}

// At two times what a server can do, an adaptive limit finds about what it can, where without one nothing comes in time;
// and what is worth most loses nothing.
func TestOverload(t *testing.T) {
	var rates [Priorities]float64
	rates[1], rates[5], rates[9] = 180, 15, 10 // a second; the server does 100
	play := func(g *Gate) (low, high float64) {
		asked, good := station(g, 10, 100*time.Millisecond, 500*time.Millisecond, rates, 30*time.Second)
		return float64(good[1]) / float64(asked[1]), float64(good[9]) / float64(asked[9])
	}
	low, high := play(&Gate{Concurrency: Concurrency{Adaptive: true, Least: 2, Most: 200}})
	none, noneHigh := play(nil)
	if high < 0.95 || low < 0.3 || none > 0.2 || noneHigh > 0.2 {
		t.Errorf("with a limit %.2f of the low ones and %.2f of the high ones are served, without %.2f and %.2f", low, high, none, noneHigh)
	}
}
