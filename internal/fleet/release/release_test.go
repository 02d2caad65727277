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

// fakeFleet simulates a fleet. Its permits bound how many routers may be out of service, and each replacement takes 3 s.
type fakeFleet struct {
	now          time.Duration
	rng          *rand.Rand
	routers      map[int]*Router
	maxOut       int                   // routers that the permits let be out of service at one time
	servesAt     map[int]time.Duration // when each replaced router serves again
	newRevision  map[int]string        // revision of each replaced router from then on
	badRate      map[string]float64    // fraction of bad requests, by revision
	extraBadRate map[int]float64       // additional fraction of bad requests at a router, whatever its revision
	fleetBadRate func() float64        // additional fraction of bad requests at every router, at the current time
	commands     []string              // commands that were run
	commandCount map[int]int           // number of commands that were run for each router
	records      []Record
	leaseHeld    bool         // the driver holds the release lease
	leaseTaken   bool         // another driver holds it
	viewsAgree   bool         // the routers' views agree
	neverServes  map[int]bool // routers that never serve again after their replacement
	requestRate  int          // requests per second at each router
	peakOut      int          // maximum number of routers that were out of service or dead at one time
}

// newFakeFleet returns a fleet of n routers that all serve with the old revision.
func newFakeFleet(n int, seed uint64) *fakeFleet {
	f := &fakeFleet{rng: rand.New(rand.NewPCG(seed, 7)), routers: map[int]*Router{}, maxOut: 2, servesAt: map[int]time.Duration{},
		newRevision: map[int]string{}, badRate: map[string]float64{"old": 0.01, "new": 0.01}, extraBadRate: map[int]float64{},
		fleetBadRate: func() float64 { return 0 }, leaseHeld: true, viewsAgree: true, neverServes: map[int]bool{},
		commandCount: map[int]int{}, requestRate: 30}
	for i := range n {
		f.routers[i] = &Router{Reached: true, Alive: true, Serving: true, Incarnation: "1", Revision: "old", PermitState: "none"}
	}
	return f
}

func testParams() Params {
	return Params{TargetRevision: "new", CanarySize: 1, SecondWaveSize: 2, GrowthFactor: 2, SoakDuration: 20 * time.Second,
		ReplaceTimeout: 30 * time.Second, PermitTimeout: time.Minute,
		Comparison: Comparison{MinRequests: 200, FalseHaltProbability: 0.01, Margin: 0.02}}
}

func (f *fakeFleet) order() (list []int) {
	for i := range len(f.routers) {
		list = append(list, i)
	}
	return list
}

// advanceSecond simulates the next second.
func (f *fakeFleet) advanceSecond() {
	f.now += time.Second
	out := 0
	for i := range len(f.routers) {
		router := f.routers[i]
		if at, returns := f.servesAt[i]; returns && f.now >= at && !f.neverServes[i] {
			delete(f.servesAt, i)
			incarnation := router.Incarnation + "1"
			*router = Router{Reached: true, Alive: true, Serving: true, Incarnation: incarnation, Revision: f.newRevision[i],
				PermitState: "none"}
		}
		if router.Serving {
			badRate := f.badRate[router.Revision] + f.extraBadRate[i] + f.fleetBadRate()
			for range f.requestRate {
				router.Counts.Requests++
				if f.rng.Float64() < badRate {
					router.Counts.Bad++
				}
			}
		}
		if router.PermitState == "out" || !router.Alive {
			out++
		}
	}
	f.peakOut = max(f.peakOut, out)
	for i := range len(f.routers) {
		if router := f.routers[i]; router.PermitState == "asking" && out < f.maxOut {
			router.PermitState, router.Serving = "out", false
			out++
		} else if router.PermitState == "asking" {
			router.Reason = "too many are out"
		}
	}
}

// state returns the state of the fleet as a driver observes it.
func (f *fakeFleet) state() *FleetState {
	s := &FleetState{Routers: map[int]Router{}, ViewsAgree: f.viewsAgree, LeaseHeld: f.leaseHeld, LeaseTaken: f.leaseTaken,
		LeaseHolder: "release x is run by another"}
	for i, router := range f.routers {
		s.Routers[i] = *router
	}
	return s
}

// execute carries out actions. It stops when no writes and actions remain, like a driver that is killed, and reports whether the
// driver is still alive.
func (f *fakeFleet) execute(actions []Action, remaining *int) (alive bool) {
	for _, action := range actions {
		if action.Record != nil {
			if *remaining--; *remaining < 0 {
				return false
			}
			f.records = append(f.records, *action.Record)
		}
		if *remaining--; *remaining < 0 {
			return false
		}
		router := f.routers[action.Router]
		switch action.Kind {
		case Drain:
			router.PermitState = "asking"
		case Activate:
			router.PermitState, router.Serving = "none", true
		case Replace:
			revision := "new"
			if action.Record.Rollback {
				if revision = "old"; action.Record.OldRevision == "old" {
					revision = "new"
				}
			}
			f.commandCount[action.Router]++
			f.commands = append(f.commands, fmt.Sprint(action.Router, " to ", revision))
			f.newRevision[action.Router], f.servesAt[action.Router] = revision, f.now+3*time.Second
			*router = Router{Incarnation: router.Incarnation, Revision: router.Revision}
		}
	}
	return true
}

// runRelease runs a release until it has ended or halted, or the time is over, or its driver is killed after a number of writes
// and actions. It reports whether the driver is still alive.
func (f *fakeFleet) runRelease(r *Run, remaining int, limit time.Duration) (alive bool) {
	for end := f.now + limit; f.now < end; {
		f.advanceSecond()
		if !f.execute(r.Update(f.now, f.state()), &remaining) {
			return false
		}
		if r.Ended() || r.HaltReason() != "" {
			return true
		}
	}
	return true
}

// unlimited is a number of writes and actions that no test reaches, so the driver is not killed.
const unlimited = 1 << 30

// TestWaves checks that a release reaches all routers in waves that grow, and that no more routers are out of service than the
// permits allow.
func TestWaves(t *testing.T) {
	fleet := newFakeFleet(12, 1)
	r := New(0, testParams(), fleet.order(), nil)
	var sizes []int
	for !r.Ended() && fleet.now < time.Hour {
		if size, _ := r.WaveEnd(); len(sizes) == 0 || sizes[len(sizes)-1] != size {
			sizes = append(sizes, size)
		}
		fleet.runRelease(r, unlimited, time.Second)
	}
	if !reflect.DeepEqual(sizes, []int{1, 3, 7, 12}) || len(fleet.commands) != 12 || fleet.peakOut > 2 || r.HaltReason() != "" {
		t.Errorf("routers up to each wave: %v, commands %v, at most %d out of service, halted %q", sizes, fleet.commands,
			fleet.peakOut, r.HaltReason())
	}
	minSeconds := 4*20 + 6*4 // seconds for the soaks and for pairs of replacements
	if took := int(fleet.now.Seconds()); took > 2*minSeconds {
		t.Errorf("the release took %d s, but needs only %d s", took, minSeconds)
	}
}

// TestCanary checks that a version that does worse is halted at the canary with each of 20 seeds, and that a version that is as
// good as the old one is halted with none of them.
func TestCanary(t *testing.T) {
	for seed := range uint64(20) {
		for name, badRate := range map[string]float64{"good": 0.01, "bad": 0.08} {
			fleet := newFakeFleet(12, seed)
			fleet.badRate["new"] = badRate
			r := New(0, testParams(), fleet.order(), nil)
			fleet.runRelease(r, unlimited, time.Hour)
			if (r.HaltReason() == "") != (name == "good") ||
				name == "bad" && (len(fleet.commands) > 1 || !strings.Contains(r.HaltReason(), "do worse")) {
				t.Errorf("seed %d, %s version: %d commands, halted %q", seed, name, len(fleet.commands), r.HaltReason())
			}
		}
	}
}

// TestFaultOfAllRouters starts a fault of all routers at a random time of a release. The fault may end or outlast the release. It
// must not count against a version that is as good as the old one: such a version is halted no more often than
// FalseHaltProbability allows, whenever the fault starts. Fewer and fewer unchanged routers are left for comparison during each
// release, and none after the last wave.
func TestFaultOfAllRouters(t *testing.T) {
	const seeds = 200
	const maxHalted = 8 // with 200 seeds and a probability of 0.01 two are expected; nine occur once in 5,000 runs
	halted, lastHalt := 0, ""
	for seed := range uint64(seeds) {
		fleet := newFakeFleet(5+int(seed%8), seed)
		start := time.Duration(fleet.rng.IntN(200)) * time.Second
		length := time.Duration(5+fleet.rng.IntN(200)) * time.Second
		faultRate := 0.05 + 0.25*fleet.rng.Float64()
		fleet.fleetBadRate = func() float64 {
			if fleet.now < start || fleet.now >= start+length {
				return 0
			}
			return faultRate
		}
		r := New(0, testParams(), fleet.order(), nil)
		fleet.runRelease(r, unlimited, time.Hour)
		if !r.Ended() {
			halted++
			lastHalt = fmt.Sprintf("%s, seed %d, with %.0f%% bad requests at all routers from %v to %v", r.HaltReason(), seed,
				100*faultRate, start, start+length)
		}
	}
	if halted > maxHalted {
		t.Errorf("%d of %d releases halted, the last one: %s", halted, seeds, lastHalt)
	}
}

// TestLastWaveDoesWorse checks that a last wave whose routers do worse halts the release. No unchanged router is left then, so
// they are compared with the routers of the earlier waves.
func TestLastWaveDoesWorse(t *testing.T) {
	for seed := range uint64(20) {
		fleet := newFakeFleet(12, seed)
		for i := 7; i < 12; i++ {
			fleet.extraBadRate[i] = 0.07
		}
		r := New(0, testParams(), fleet.order(), nil)
		fleet.runRelease(r, unlimited, time.Hour)
		if !strings.Contains(r.HaltReason(), "do worse") || len(fleet.commands) != 12 {
			t.Errorf("seed %d: %d commands, halted %q", seed, len(fleet.commands), r.HaltReason())
		}
	}
}

// TestTooFewRequests checks that a release waits until there are enough requests for a comparison.
func TestTooFewRequests(t *testing.T) {
	fleet := newFakeFleet(6, 1)
	fleet.requestRate = 1
	r := New(0, testParams(), fleet.order(), nil)
	fleet.runRelease(r, unlimited, 100*time.Second)
	if len(fleet.commands) != 1 || !strings.Contains(r.Verdict(), "waits for requests") {
		t.Errorf("commands %v after 100 of the 200 requests that are needed", fleet.commands)
	}
	if fleet.runRelease(r, unlimited, time.Hour); !r.Ended() {
		t.Errorf("the release has not ended, halted %q", r.HaltReason())
	}
}

// TestHalts checks that each fault halts the release with a reason, that nothing is started after the halt, and that the routers
// that were drained and not replaced return to service.
func TestHalts(t *testing.T) {
	for name, c := range map[string]struct {
		inject func(fleet *fakeFleet)
		reason string
	}{
		"a router that does not come back": {func(fleet *fakeFleet) { fleet.neverServes[3] = true },
			"router 3 has not come back changed within 30s of its replacement: it is gone"},
		"no permit": {func(fleet *fakeFleet) { fleet.maxOut = 0 },
			"was not let out within 1m0s: too many are out"},
		"views that disagree": {func(fleet *fakeFleet) { fleet.viewsAgree = false }, "views of the fleet disagree"},
		"another driver": {func(fleet *fakeFleet) { fleet.leaseHeld = false },
			"has not the fleet's place for releases: release x is run by another"},
		"half of the fleet crashes": {func(fleet *fakeFleet) {
			for i := 6; i < 12; i++ {
				*fleet.routers[i] = Router{Incarnation: "1", Revision: "old"}
			}
		}, "was not let out within"},
	} {
		fleet := newFakeFleet(12, 1)
		r := New(0, testParams(), fleet.order(), nil)
		fleet.runRelease(r, unlimited, 40*time.Second)
		c.inject(fleet)
		fleet.runRelease(r, unlimited, time.Hour)
		if !strings.Contains(r.HaltReason(), c.reason) {
			t.Errorf("%s: halt reason %q", name, r.HaltReason())
		}
		commands := len(fleet.commands)
		for range 100 {
			fleet.advanceSecond()
			fleet.execute(r.Update(fleet.now, fleet.state()), new(int))
		}
		for i, router := range fleet.routers {
			if router.PermitState == "asking" || router.PermitState == "out" && router.Alive {
				t.Errorf("%s: router %d is still out of service", name, i)
			}
		}
		if len(fleet.commands) != commands {
			t.Errorf("%s: the release continued after the halt", name)
		}
	}
}

// Guards against a driver that goes on for seconds after it has lost the release lease. It starts nothing without the lease, whether
// it has lost it for a moment or for good, and goes on if it gets the lease back.
func TestNothingStartsWithoutLease(t *testing.T) {
	for seed := range uint64(30) {
		fleet := newFakeFleet(12, seed)
		r := New(0, testParams(), fleet.order(), nil)
		fleet.runRelease(r, unlimited, time.Duration(1+seed*5)*time.Second)
		fleet.leaseHeld = false
		commands, before := len(fleet.commands), map[int]string{}
		for i, router := range fleet.routers {
			before[i] = router.PermitState
		}
		fleet.runRelease(r, unlimited, faultGracePeriod-2*time.Second)
		if len(fleet.commands) > commands {
			t.Errorf("seed %d: %d commands began without the lease", seed, len(fleet.commands)-commands)
		}
		for i, router := range fleet.routers {
			if before[i] == "none" && router.PermitState != "none" {
				t.Errorf("seed %d: router %d was asked to go out without the lease", seed, i)
			}
		}
		fleet.leaseHeld = true
		if fleet.runRelease(r, unlimited, time.Hour); !r.Ended() {
			t.Errorf("seed %d: the release has not ended once the lease was back, halted %q", seed, r.HaltReason())
		}
	}
}

// Guards against a driver that returns routers to service which another driver, that has taken the release over, is replacing.
func TestDriverYieldsToAnother(t *testing.T) {
	fleet := newFakeFleet(12, 1)
	r := New(0, testParams(), fleet.order(), nil)
	for len(r.RoutersByStage()[AwaitingPermit]) == 0 {
		fleet.runRelease(r, unlimited, time.Second)
	}
	fleet.leaseHeld, fleet.leaseTaken = false, true
	for range 2 * faultGracePeriod / time.Second {
		fleet.advanceSecond()
		for _, action := range r.Update(fleet.now, fleet.state()) {
			if action.Kind != RecordOnly {
				t.Errorf("action %+v without the lease", action)
			}
		}
	}
	if !strings.Contains(r.HaltReason(), "release x is run by another") {
		t.Errorf("halt reason %q", r.HaltReason())
	}
}

// TestRollbackAndResume checks that a halted release can be rolled back until all routers have their old revision, and that it
// can be resumed.
func TestRollbackAndResume(t *testing.T) {
	fleet := newFakeFleet(8, 1)
	fleet.neverServes[5] = true
	r := New(0, testParams(), fleet.order(), nil)
	fleet.runRelease(r, unlimited, time.Hour)
	commandsBefore := len(fleet.commands)
	remaining := unlimited
	fleet.neverServes = map[int]bool{}
	fleet.execute(r.RollBack(), &remaining)
	fleet.runRelease(r, unlimited, time.Hour)
	for i, router := range fleet.routers {
		if router.Revision != "old" || !router.Serving {
			t.Errorf("router %d: %+v", i, *router)
		}
	}
	if !r.Ended() || fleet.peakOut > 2 || len(fleet.commands) > 2*commandsBefore {
		t.Errorf("ended %v, halted %q, at most %d out of service, commands %v", r.Ended(), r.HaltReason(), fleet.peakOut,
			fleet.commands)
	}

	fleet = newFakeFleet(8, 1)
	r = New(0, testParams(), fleet.order(), nil)
	fleet.runRelease(r, unlimited, 30*time.Second)
	fleet.execute(r.Stop("an operator said so"), &remaining)
	if fleet.runRelease(r, unlimited, time.Minute); r.HaltReason() != "an operator said so" {
		t.Errorf("halt reason %q", r.HaltReason())
	}
	fleet.execute(r.Resume(), &remaining)
	if fleet.runRelease(r, unlimited, time.Hour); !r.Ended() || len(fleet.commands) != 8 {
		t.Errorf("resumed: ended %v, halted %q, commands %v", r.Ended(), r.HaltReason(), fleet.commands)
	}
}

// TestDriverKilled kills the driver after each possible number of writes and actions, during a release and during a rollback.
// The next driver continues from the journal, and neither replaces a router twice nor leaves one out.
func TestDriverKilled(t *testing.T) {
	for _, rollback := range []bool{false, true} {
		for killedAfter := 0; ; killedAfter++ {
			fleet := newFakeFleet(6, uint64(killedAfter))
			r := New(0, testParams(), fleet.order(), nil)
			if rollback {
				fleet.runRelease(r, unlimited, 50*time.Second)
				remaining := unlimited
				fleet.execute(r.RollBack(), &remaining)
			}
			if fleet.runRelease(r, killedAfter, time.Hour) {
				if killedAfter < 10 {
					t.Fatalf("the driver made only %d writes and actions", killedAfter)
				}
				break
			}
			text, err := json.Marshal(fleet.records) // the form that the journal has on disk
			if err != nil {
				t.Fatal(err)
			}
			var records []Record
			if err := json.Unmarshal(text, &records); err != nil {
				t.Fatal(err)
			}
			r = New(fleet.now, testParams(), fleet.order(), records)
			// As the driver does, take back commands that were recorded and never ran.
			for _, n := range r.RoutersByStage()[Replacing] {
				begins := 0
				for _, x := range fleet.records {
					if x.Event == EventBegin && x.Router == n {
						begins++
					}
				}
				if begins > fleet.commandCount[n] {
					r.MarkNeverRan(n)
				}
			}
			fleet.runRelease(r, unlimited, time.Hour)
			want := "new"
			if rollback {
				want = "old"
			}
			timesRun := map[string]int{}
			for _, command := range fleet.commands {
				timesRun[command]++
			}
			for i, x := range fleet.routers {
				if x.Revision != want || !x.Serving || timesRun[fmt.Sprint(i, " to new")] > 1 || timesRun[fmt.Sprint(i, " to old")] > 1 {
					t.Errorf("rollback %v, killed after %d: router %d %+v, commands %v, halted %q", rollback, killedAfter, i, *x,
						fleet.commands, r.HaltReason())
				}
			}
		}
	}
}

// TestResumeWhenAllChanged checks that a driver that continues when all routers are already changed ends the release, although
// it has no counts to compare them with.
func TestResumeWhenAllChanged(t *testing.T) {
	fleet := newFakeFleet(4, 1)
	r := New(0, testParams(), fleet.order(), nil)
	for fleet.runRelease(r, unlimited, time.Second); len(r.RoutersByStage()[Changed]) < 4; {
		fleet.runRelease(r, unlimited, time.Second)
	}
	r = New(fleet.now, testParams(), fleet.order(), fleet.records)
	if fleet.runRelease(r, unlimited, 5*time.Minute); !r.Ended() || len(fleet.commands) != 4 {
		t.Errorf("ended %v, halted %q, commands %v", r.Ended(), r.HaltReason(), fleet.commands)
	}
}

// TestCompareErrorRate checks that the comparison has the configured error probability: of 2,000 comparisons of equal groups few
// find a difference, and most comparisons find a difference of 0.05.
func TestCompareErrorRate(t *testing.T) {
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
	comparison := Comparison{MinRequests: 200, FalseHaltProbability: 0.05}
	falsePositives, detected := 0, 0
	for range 2000 {
		if worse, _ := comparison.Compare(draw(600, 0.03), draw(2000, 0.03), 1); worse {
			falsePositives++
		}
		if worse, _ := comparison.Compare(draw(600, 0.08), draw(2000, 0.03), 1); worse {
			detected++
		}
	}
	if falsePositives > 140 || falsePositives < 40 || detected < 1900 {
		t.Errorf("of 2000 comparisons: %d found equal groups worse (100 are expected), %d found the worse group", falsePositives,
			detected)
	}
}
