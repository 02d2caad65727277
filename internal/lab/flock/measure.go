package flock

import (
	"fmt"
	"slices"
	"time"

	"hoptiller/internal/fleet/view"
)

// Figures are what a fleet's view was measured at, times in seconds.
type Figures struct {
	Routers, Seed           int
	Settle                  float64   // all started at once, until all say the same
	Joins                   []float64 // of one router each, until all know
	Crashes                 []float64 // the same at 10% loss
	FalseDeaths             int       // in ten minutes with 10% loss and pauses of 1 s: views in which a living router was dead
	Pauses                  int       // meanwhile
	Halves, Thirds          float64   // after 60 s of partition, from healing until all say the same
	Third                   float64   // a third of the fleet joins at once, until all say the same
	Bytes, Datagrams        float64   // a second sent by a router at 10% loss, none pausing
	RepairBytes             float64   // the most of any second, mean of all routers, while halves meet again
	CalmBytes, CalmDatagram float64   // without loss
	Broken                  []string  // what did not settle at all
}

const (
	lossy    = 0.1
	patience = 60 * time.Second
	trials   = 20
)

// Measure measures one fleet; short leaves out the ten minutes.
func Measure(n int, net Net, seed uint64, short bool) *Figures {
	r := &Figures{Routers: n, Seed: int(seed)}
	f := New(n, net, seed)
	until := func(what string, holds func() bool) float64 {
		d, ok := f.Until(patience, holds)
		if !ok {
			r.Broken = append(r.Broken, fmt.Sprintf("%s not within %v", what, patience))
		}
		return d.Seconds()
	}
	for i := range n {
		f.Start(i)
	}
	r.Settle = until("all start", f.Agree)
	f.Run(f.now + 20*time.Second)
	r.CalmBytes, r.CalmDatagram = f.traffic(20 * time.Second)

	for k := range trials {
		i := (k * 7) % n
		f.Leave(i)
		f.Run(f.now + 10*time.Second)
		f.Start(i)
		r.Joins = append(r.Joins, until("join", func() bool { return f.All(i, (*view.Member).Here) }))
		f.Run(f.now + 5*time.Second)
	}
	f.Loss = lossy
	f.Run(f.now + 20*time.Second)
	r.Bytes, r.Datagrams = f.traffic(30 * time.Second)
	for k := range trials {
		i := (k * 11) % n
		f.Kill(i)
		r.Crashes = append(r.Crashes, until("crash", func() bool {
			return f.All(i, func(m *view.Member) bool { return m.State == view.Dead })
		}))
		f.Start(i)
		f.Run(f.now + 10*time.Second)
	}
	if !short {
		f.pauses(r)
	}
	f.Loss = net.Loss
	r.Halves = f.partition(2, until, &r.RepairBytes)
	var other float64
	r.Thirds = f.partition(3, until, &other)
	r.RepairBytes = max(r.RepairBytes, other)
	for i := range n / 3 {
		f.Kill(i)
	}
	until("a third is dead", f.Agree)
	for i := range n / 3 {
		f.Start(i)
	}
	r.Third = until("a third joins", f.Agree)
	return r
}

// pauses has 5% of the routers stand still for a second in every ten, for ten minutes.
func (f *Flock) pauses(r *Figures) {
	f.Changed = func(_ time.Duration, _ int, e view.Event) {
		if e.After.State == view.Dead && f.routers[e.Who].up {
			r.FalseDeaths++
		}
	}
	for range 60 {
		begun := f.now
		chosen := f.rng.Perm(f.Size())[:max(1, f.Size()/20)]
		var wakes []time.Duration
		for range chosen {
			wakes = append(wakes, begun+time.Duration(f.rng.Int64N(int64(9*time.Second))))
		}
		slices.Sort(wakes)
		type turn struct {
			at  time.Duration
			who int
			on  bool
		}
		var turns []turn
		for k, at := range wakes {
			turns = append(turns, turn{at, chosen[k], true}, turn{at + time.Second, chosen[k], false})
		}
		slices.SortFunc(turns, func(a, b turn) int { return int(a.at - b.at) })
		for _, t := range turns {
			if f.Run(t.at); t.on {
				f.Pause(t.who)
				r.Pauses++
			} else {
				f.Wake(t.who)
			}
		}
		f.Run(begun + 10*time.Second)
	}
	f.Run(f.now + 20*time.Second)
	f.Changed = nil
}

func (f *Flock) partition(groups int, until func(string, func() bool) float64, most *float64) float64 {
	f.Split(groups)
	f.Run(f.now + 60*time.Second)
	f.Split(1)
	begun := f.now
	sent, at := f.sent(), f.now
	took := until(fmt.Sprintf("%d parts meet again", groups), func() bool {
		if f.now-at >= time.Second {
			now := f.sent()
			*most = max(*most, float64(now-sent)/(f.now-at).Seconds()/float64(f.Size()))
			sent, at = now, f.now
		}
		return f.Agree()
	})
	f.Run(begun + 30*time.Second)
	return took
}

func (f *Flock) sent() (bytes uint64) {
	for i := range f.routers {
		if v := f.View(i); v != nil {
			bytes += v.Counts().SentBytes
		}
	}
	return bytes
}

// traffic is what a router sends a second, in the mean of all, over a time to come.
func (f *Flock) traffic(over time.Duration) (bytes, datagrams float64) {
	count := func() (b, d float64) {
		for i := range f.routers {
			if v := f.View(i); v != nil {
				c := v.Counts()
				b, d = b+float64(c.SentBytes), d+float64(c.Sent)
			}
		}
		return b, d
	}
	b, d := count()
	f.Run(f.now + over)
	b2, d2 := count()
	per := over.Seconds() * float64(f.Size())
	return (b2 - b) / per, (d2 - d) / per
}
