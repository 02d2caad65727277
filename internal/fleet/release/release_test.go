package release

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"
)

// world is a fleet whose permits let some routers be out, and whose replacements take some seconds.
type world struct {
	now     time.Duration
	rng     *rand.Rand
	routers map[int]*Router
	most    int                   // out at once by permit
	back    map[int]time.Duration // when those that are replaced serve again
	shows   map[int]string        // and what they show then
	bad     map[string]float64    // part of requests that go wrong where a figure is shown
	worse   map[int]float64       // further part that goes wrong at a router, whatever it shows
	trouble func() float64        // further part that goes wrong at every router now
	ran     []string              // commands
	started map[int]int           // how many of a router
	records []Record
	held    bool
	agree   bool
	never   map[int]bool // does not come back
	rate    int          // requests a second and router
	worst   int          // most that were out or gone at once
}

func newWorld(n int, seed uint64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), routers: map[int]*Router{}, most: 2, back: map[int]time.Duration{}, shows: map[int]string{},
		bad: map[string]float64{"old": 0.01, "new": 0.01}, worse: map[int]float64{}, trouble: func() float64 { return 0 }, held: true, agree: true, never: map[int]bool{}, started: map[int]int{}, rate: 30}
	for i := range n {
		w.routers[i] = &Router{Reached: true, Alive: true, Serving: true, Life: "1", Shows: "old", Out: "none"}
	}
	return w
}

func params() Params {
	return Params{To: "new", Canary: 1, First: 2, Grow: 2, Soak: 20 * time.Second, Settle: 30 * time.Second, Permit: time.Minute,
		Watch: Watch{Requests: 200, Error: 0.01, Margin: 0.02}}
}

func (w *world) order() (list []int) {
	for i := range len(w.routers) {
		list = append(list, i)
	}
	return list
}

// second goes on by one second.
func (w *world) second() {
	w.now += time.Second
	out := 0
	for i := range len(w.routers) {
		x := w.routers[i]
		if at, comes := w.back[i]; comes && w.now >= at && !w.never[i] {
			delete(w.back, i)
			life := x.Life + "1"
			*x = Router{Reached: true, Alive: true, Serving: true, Life: life, Shows: w.shows[i], Out: "none"}
		}
		if x.Serving {
			bad := w.bad[x.Shows] + w.worse[i] + w.trouble()
			for range w.rate {
				x.Counts.Requests++
				if w.rng.Float64() < bad {
					x.Counts.Bad++
				}
			}
		}
		if x.Out == "out" || !x.Alive {
			out++
		}
	}
	w.worst = max(w.worst, out)
	for i := range len(w.routers) {
		if x := w.routers[i]; x.Out == "asking" && out < w.most {
			x.Out, x.Serving = "out", false
			out++
		} else if x.Out == "asking" {
			x.Why = "too many are out"
		}
	}
}

func (w *world) sight() *Sight {
	s := &Sight{Routers: map[int]Router{}, Agree: w.agree, Held: w.held, Holder: "release x is run by another"}
	for i, x := range w.routers {
		s.Routers[i] = *x
	}
	return s
}

// do carries out acts; it stops short after a number of writes and acts, as a driver that is killed.
func (w *world) do(acts []Act, left *int) (alive bool) {
	for _, a := range acts {
		if a.Record != nil {
			if *left--; *left < 0 {
				return false
			}
			w.records = append(w.records, *a.Record)
		}
		if *left--; *left < 0 {
			return false
		}
		x := w.routers[a.Router]
		switch a.Kind {
		case Drain:
			x.Out = "asking"
		case Activate:
			x.Out, x.Serving = "none", true
		case Replace:
			to := "new"
			if a.Record.Back {
				if to = "old"; a.Record.From == "old" {
					to = "new"
				}
			}
			w.started[a.Router]++
			w.ran = append(w.ran, fmt.Sprint(a.Router, " to ", to))
			w.shows[a.Router], w.back[a.Router] = to, w.now+3*time.Second
			*x = Router{Life: x.Life, Shows: x.Shows}
		}
	}
	return true
}

// play plays a release until it has ended or halted, or its driver is killed after a number of acts.
func (w *world) play(r *Run, left int, over time.Duration) (alive bool) {
	for end := w.now + over; w.now < end; {
		w.second()
		if !w.do(r.Look(w.now, w.sight()), &left) {
			return false
		}
		if r.Ended() || r.Halted() != "" {
			return true
		}
	}
	return true
}

const many = 1 << 30

// A release reaches all, in waves that grow, and no more are out than the permits allow.
func TestWaves(t *testing.T) {
	w := newWorld(12, 1)
	r := New(0, params(), w.order(), nil)
	var sizes []int
	for !r.Ended() && w.now < time.Hour {
		if size, _ := r.Size(); len(sizes) == 0 || sizes[len(sizes)-1] != size {
			sizes = append(sizes, size)
		}
		w.play(r, many, time.Second)
	}
	if !reflect.DeepEqual(sizes, []int{1, 3, 7, 12}) || len(w.ran) != 12 || w.worst > 2 || r.Halted() != "" {
		t.Errorf("waves up to %v, ran %v, %d out, halted %q", sizes, w.ran, w.worst, r.Halted())
	}
	least := 4*20 + 6*4 // soaks, and pairs of replacements
	if took := int(w.now.Seconds()); took > 2*least {
		t.Errorf("took %d s, %d are needed", took, least)
	}
}

// A version that does worse is stopped at the canary, in each of 20 seeds, and one that is as good in none.
func TestCanary(t *testing.T) {
	for seed := range uint64(20) {
		for name, bad := range map[string]float64{"good": 0.01, "bad": 0.08} {
			w := newWorld(12, seed)
			w.bad["new"] = bad
			r := New(0, params(), w.order(), nil)
			w.play(r, many, time.Hour)
			if (r.Halted() == "") != (name == "good") || name == "bad" && (len(w.ran) > 1 || !strings.Contains(r.Halted(), "do worse")) {
				t.Errorf("seed %d, %s: ran %d, halted %q", seed, name, len(w.ran), r.Halted())
			}
		}
	}
}

// Trouble that comes to all routers at some moment of the release, and passes or stays, is not the version's: a version as good as the
// former is halted as seldom as the plan's error says, whenever the trouble comes. The fleets leave fewer and fewer unchanged routers,
// and none after the last wave.
func TestTroubleOfAllRouters(t *testing.T) {
	const seeds = 200
	const most = 8 // of 200 at an error of 0.01, two are to be expected; nine come once in 5,000 times
	halted, first := 0, ""
	for seed := range uint64(seeds) {
		w := newWorld(5+int(seed%8), seed)
		begin := time.Duration(w.rng.IntN(200)) * time.Second
		length := time.Duration(5+w.rng.IntN(200)) * time.Second
		part := 0.05 + 0.25*w.rng.Float64()
		w.trouble = func() float64 {
			if w.now < begin || w.now >= begin+length {
				return 0
			}
			return part
		}
		r := New(0, params(), w.order(), nil)
		w.play(r, many, time.Hour)
		if !r.Ended() {
			halted++
			first = fmt.Sprintf("%s, seed %d, with %.0f%% wrong at all from %v to %v", r.Halted(), seed, 100*part, begin, begin+length)
		}
	}
	if halted > most {
		t.Errorf("%d of %d halted, the last: %s", halted, seeds, first)
	}
}

// Routers of the last wave that do worse are found, though no unchanged one is left: those of the waves before are at hand.
func TestLastWaveDoesWorse(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(12, seed)
		for i := 7; i < 12; i++ {
			w.worse[i] = 0.07
		}
		r := New(0, params(), w.order(), nil)
		w.play(r, many, time.Hour)
		if !strings.Contains(r.Halted(), "do worse") || len(w.ran) != 12 {
			t.Errorf("seed %d: ran %d, halted %q", seed, len(w.ran), r.Halted())
		}
	}
}

// Few requests show nothing: the release waits for more.
func TestFew(t *testing.T) {
	w := newWorld(6, 1)
	w.rate = 1
	r := New(0, params(), w.order(), nil)
	w.play(r, many, 100*time.Second)
	if len(w.ran) != 1 || !strings.Contains(r.Verdict(), "waits for requests") {
		t.Errorf("ran %v after 100 requests of 200 that are wanted", w.ran)
	}
	if w.play(r, many, time.Hour); !r.Ended() {
		t.Errorf("not ended: %q", r.Halted())
	}
}

// Whatever goes wrong halts the release with a reason, and nothing is begun after it; those asked out serve again.
func TestHalts(t *testing.T) {
	for name, c := range map[string]struct {
		spoil func(w *world)
		why   string
	}{
		"a router that does not come back": {func(w *world) { w.never[3] = true }, "router 3 has not come back changed within 30s of its replacement: it is gone"},
		"no permit":                        {func(w *world) { w.most = 0 }, "was not let out within 1m0s: too many are out"},
		"views that disagree":              {func(w *world) { w.agree = false }, "views of the fleet disagree"},
		"another driver":                   {func(w *world) { w.held = false }, "has not the fleet's place for releases: release x is run by another"},
		"half of the fleet crashes": {func(w *world) {
			for i := 6; i < 12; i++ {
				*w.routers[i] = Router{Life: "1", Shows: "old"}
			}
		}, "was not let out within"},
	} {
		w := newWorld(12, 1)
		r := New(0, params(), w.order(), nil)
		w.play(r, many, 40*time.Second)
		c.spoil(w)
		w.play(r, many, time.Hour)
		if !strings.Contains(r.Halted(), c.why) {
			t.Errorf("%s: halted %q", name, r.Halted())
		}
		ran := len(w.ran)
		for range 100 {
			w.second()
			w.do(r.Look(w.now, w.sight()), new(int))
		}
		for i, x := range w.routers {
			if x.Out == "asking" || x.Out == "out" && x.Alive {
				t.Errorf("%s: router %d is still out", name, i)
			}
		}
		if len(w.ran) != ran {
			t.Errorf("%s: went on after the halt", name)
		}
	}
}

// What has halted goes on, or back in reverse order until all is as it was.
func TestBack(t *testing.T) {
	w := newWorld(8, 1)
	w.never[5] = true
	r := New(0, params(), w.order(), nil)
	w.play(r, many, time.Hour)
	forth := len(w.ran)
	left := many
	w.never = map[int]bool{}
	w.do(r.GoBack(), &left)
	w.play(r, many, time.Hour)
	for i, x := range w.routers {
		if x.Shows != "old" || !x.Serving {
			t.Errorf("router %d: %+v", i, *x)
		}
	}
	if !r.Ended() || w.worst > 2 || len(w.ran) > 2*forth {
		t.Errorf("ended %v, halted %q, %d out, ran %v", r.Ended(), r.Halted(), w.worst, w.ran)
	}

	w = newWorld(8, 1)
	r = New(0, params(), w.order(), nil)
	w.play(r, many, 30*time.Second)
	w.do(r.Stop("an operator said so"), &left)
	if w.play(r, many, time.Minute); r.Halted() != "an operator said so" {
		t.Errorf("halted %q", r.Halted())
	}
	w.do(r.Resume(), &left)
	if w.play(r, many, time.Hour); !r.Ended() || len(w.ran) != 8 {
		t.Errorf("resumed: ended %v, halted %q, ran %v", r.Ended(), r.Halted(), w.ran)
	}
}

// A driver is killed between any two things that it does, going forth and back. The next one goes on from what was kept, and
// neither repeats nor forgets a router.
func TestKilled(t *testing.T) {
	for _, back := range []bool{false, true} {
		for at := 0; ; at++ {
			w := newWorld(6, uint64(at))
			r := New(0, params(), w.order(), nil)
			if back {
				w.play(r, many, 50*time.Second)
				left := many
				w.do(r.GoBack(), &left)
			}
			if w.play(r, at, time.Hour) {
				if at < 10 {
					t.Fatalf("%d acts in all", at)
				}
				break
			}
			text, err := json.Marshal(w.records) // as a journal has them
			if err != nil {
				t.Fatal(err)
			}
			var records []Record
			if err := json.Unmarshal(text, &records); err != nil {
				t.Fatal(err)
			}
			r = New(w.now, params(), w.order(), records)
			for _, n := range r.Stages()[Begun] { // what the driver looks after: it was recorded and never ran
				begun := 0
				for _, x := range w.records {
					if x.What == Begin && x.Router == n {
						begun++
					}
				}
				if begun > w.started[n] {
					r.Again(n)
				}
			}
			w.play(r, many, time.Hour)
			want := "new"
			if back {
				want = "old"
			}
			times := map[string]int{}
			for _, c := range w.ran {
				times[c]++
			}
			for i, x := range w.routers {
				if x.Shows != want || !x.Serving || times[fmt.Sprint(i, " to new")] > 1 || times[fmt.Sprint(i, " to old")] > 1 {
					t.Errorf("back %v, killed after %d: router %d %+v, ran %v, halted %q", back, at, i, *x, w.ran, r.Halted())
				}
			}
		}
	}
}

// A driver that goes on where all are changed already has nothing to compare them with, and comes to an end all the same.
func TestNobodyLeft(t *testing.T) {
	w := newWorld(4, 1)
	r := New(0, params(), w.order(), nil)
	for w.play(r, many, time.Second); len(r.Stages()[Changed]) < 4; {
		w.play(r, many, time.Second)
	}
	r = New(w.now, params(), w.order(), w.records)
	if w.play(r, many, 5*time.Minute); !r.Ended() || len(w.ran) != 4 {
		t.Errorf("ended %v, halted %q, ran %v", r.Ended(), r.Halted(), w.ran)
	}
}

// The test's error is what it is said to be: of 2,000 comparisons of equals few find a difference, and a plain one is found.
func TestWorse(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	draw := func(n int, p float64) (c Counts) {
		for range n {
			c.Requests++
			if rng.Float64() < p {
				c.Bad++
			}
		}
		return c
	}
	w := Watch{Requests: 200, Error: 0.05}
	false_, found := 0, 0
	for range 2000 {
		if worse, _ := w.Worse(draw(600, 0.03), draw(2000, 0.03), 1); worse {
			false_++
		}
		if worse, _ := w.Worse(draw(600, 0.08), draw(2000, 0.03), 1); worse {
			found++
		}
	}
	if false_ > 140 || false_ < 40 || found < 1900 {
		t.Errorf("of 2000: %d equals taken for worse (100 are meant), %d worse found", false_, found)
	}
}
