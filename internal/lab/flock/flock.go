// Package flock plays many views of a fleet in virtual time: the code that routers run, with datagrams lost and late, and
// routers that join, crash, stand still and lose contact. It has no sockets, no clock and no goroutines; the same seed
// gives the same course.
package flock

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"hoptiller/internal/fleet/view"
)

// Net is how datagrams fare.
type Net struct {
	Least, Most time.Duration // each takes a time between these
	Loss        float64       // part of 1 that is lost
}

// Epoch is what the wall clocks say when a flock begins.
var Epoch = time.UnixMilli(1_800_000_000_000)

// Flock is a fleet of views. Time only goes on in Run.
type Flock struct {
	Net
	// Changed, if set, is told of each change of each view.
	Changed func(at time.Duration, viewer int, e view.Event)

	now     time.Duration
	rng     *rand.Rand
	seed    uint64
	routers []router
	group   []int // routers of different groups don't hear each other
	oneWay  map[[2]int]bool
	pending events
	order   uint64
	wall    []time.Duration // what each one's wall clock is off
}

type router struct {
	view    *view.View
	life    int
	up      bool
	paused  bool
	waiting []event // datagrams that came while it stood still
}

type event struct {
	at    time.Duration
	order uint64
	to    int
	from  int // a datagram's sender, or -1 for a tick
	life  int // that a tick is for
	body  []byte
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// New makes a fleet of n routers, none of which runs.
func New(n int, net Net, seed uint64) *Flock {
	return &Flock{Net: net, rng: rand.New(rand.NewPCG(seed, 1)), seed: seed, routers: make([]router, n), group: make([]int, n),
		oneWay: map[[2]int]bool{}, wall: make([]time.Duration, n)}
}

// Now is the time since the beginning.
func (f *Flock) Now() time.Duration { return f.now }

// Size is the number of routers, running or not.
func (f *Flock) Size() int { return len(f.routers) }

// View is the view of a router that runs, or nil.
func (f *Flock) View(i int) *view.View {
	if !f.routers[i].up {
		return nil
	}
	return f.routers[i].view
}

// Start starts a router's process, serving.
func (f *Flock) Start(i int) {
	r := &f.routers[i]
	r.life++
	*r = router{life: r.life, up: true}
	r.view = view.New(view.Config{Self: i, Of: len(f.routers), Start: Epoch.Add(f.now + f.wall[i]), Seed: f.rng.Uint64(), Now: f.now})
	r.view.SetPhase(view.Serving)
	f.after(i)
	// Processes that are started together don't begin at one instant.
	f.push(event{at: f.now + time.Duration(f.rng.Int64N(int64(view.Period))), to: i, from: -1, life: r.life})
}

// Step sets a router's wall clock off by a time; lives that begin later say so.
func (f *Flock) Step(i int, by time.Duration) { f.wall[i] = by }

// Kill ends a router's process.
func (f *Flock) Kill(i int) { f.routers[i].up = false }

// Leave has a router say that it ends, and ends it.
func (f *Flock) Leave(i int) {
	f.routers[i].view.Leave(f.now)
	f.after(i)
	f.Kill(i)
}

// Pause has a router stand still; what comes meanwhile waits for it.
func (f *Flock) Pause(i int) { f.routers[i].paused = true }

// Wake has it go on.
func (f *Flock) Wake(i int) {
	r := &f.routers[i]
	if !r.up || !r.paused {
		return
	}
	r.paused = false
	waiting := r.waiting
	r.waiting = nil
	for _, e := range waiting {
		r.view.Receive(f.now, e.from, e.body)
		f.after(i)
	}
	r.view.Tick(f.now)
	f.after(i)
	f.push(event{at: r.view.Next(), to: i, from: -1, life: r.life})
}

// Split puts routers in groups that don't hear each other, by their number modulo so many; 1 heals all.
func (f *Flock) Split(groups int) {
	for i := range f.group {
		f.group[i] = i % groups
	}
}

// Cut keeps datagrams of one router from another, or heals that.
func (f *Flock) Cut(from, to int, cut bool) { f.oneWay[[2]int{from, to}] = cut }

// Run goes on to a time.
func (f *Flock) Run(until time.Duration) {
	for len(f.pending) > 0 && f.pending[0].at <= until {
		e := heap.Pop(&f.pending).(event)
		f.now = max(f.now, e.at)
		f.do(e)
	}
	f.now = until
}

func (f *Flock) do(e event) {
	r := &f.routers[e.to]
	switch {
	case !r.up || e.from < 0 && (e.life != r.life || r.paused):
		return
	case r.paused:
		if len(r.waiting) < 300 { // what a socket's buffer holds
			r.waiting = append(r.waiting, e)
		}
		return
	case e.from < 0:
		r.view.Tick(f.now)
		f.push(event{at: max(f.now+1, r.view.Next()), to: e.to, from: -1, life: r.life})
	default:
		if f.group[e.from] != f.group[e.to] || f.oneWay[[2]int{e.from, e.to}] {
			return
		}
		r.view.Receive(f.now, e.from, e.body)
	}
	f.after(e.to)
}

// after sends what a view wants sent and tells what has changed.
func (f *Flock) after(i int) {
	v := f.routers[i].view
	for _, d := range v.Out() {
		if f.rng.Float64() >= f.Loss {
			f.push(event{at: f.now + f.Least + time.Duration(f.rng.Int64N(int64(f.Most-f.Least)+1)), to: d.To, from: i, body: d.Body})
		}
	}
	for _, e := range v.Events() {
		if f.Changed != nil {
			f.Changed(f.now, i, e)
		}
	}
}

func (f *Flock) push(e event) {
	f.order++
	e.order = f.order
	heap.Push(&f.pending, e)
}

// Agree tells whether all routers that run say the same, and take exactly those for alive that run.
func (f *Flock) Agree() bool {
	sum, first := uint32(0), true
	up := 0
	for i := range f.routers {
		if f.routers[i].up {
			up++
		}
	}
	for i := range f.routers {
		v := f.View(i)
		if v == nil {
			continue
		}
		if first {
			first, sum = false, v.Sum()
		}
		if v.Sum() != sum {
			return false
		}
	}
	for i := range f.routers {
		v := f.View(i)
		if v == nil {
			continue
		}
		for j, m := range v.Members() {
			if m.Here() != f.routers[j].up {
				return false
			}
		}
		return true // the others say the same
	}
	return true
}

// look is how exactly times are measured.
const look = 50 * time.Millisecond

// Until runs until something holds, and gives the time that took; false after the longest time.
func (f *Flock) Until(most time.Duration, holds func() bool) (time.Duration, bool) {
	begun := f.now
	for !holds() {
		if f.now-begun >= most {
			return most, false
		}
		f.Run(f.now + look)
	}
	return f.now - begun, true
}

// All tells whether a test holds for what each running router but one itself sees of it.
func (f *Flock) All(of int, holds func(m *view.Member) bool) bool {
	for i := range f.routers {
		if v := f.View(i); v != nil && i != of && !holds(&v.Members()[of]) {
			return false
		}
	}
	return true
}
