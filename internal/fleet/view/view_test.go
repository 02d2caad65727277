package view

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "hoptiller/internal/draws"
)

var start = time.UnixMilli(1_800_000_000_000)

// fleet makes routers of these numbers that know each other.
func fleet(of int, selves ...int) (all []*View) {
	for i, self := range selves {
		all = append(all, New(Config{Self: self, Of: of, Start: start.Add(time.Duration(i) * time.Millisecond), Seed: uint64(i)}))
		all[i].SetPhase(Serving)
	}
	return all
}

// live lets datagrams come at once and clocks go on, for a time.
func live(all []*View, now *time.Duration, over time.Duration) {
	for end := *now + over; *now < end; *now += 10 * time.Millisecond {
		for _, v := range all {
			if *now >= v.Next() {
				v.Tick(*now)
			}
			for _, d := range v.Out() {
				for _, to := range all {
					if to.self == d.To && to != v {
						to.Receive(*now, v.self, d.Body)
					}
				}
			}
		}
	}
}

// Two routers of one number are told of by themselves and by all others, and don't keep the fleet busy for ever.
func TestTwice(t *testing.T) {
	all := fleet(3, 0, 1, 1, 2)
	now := time.Duration(0)
	for _, v := range all {
		v.Tell(Details{Version: 7})
	}
	live(all, &now, 20*time.Second)
	if all[1].Twice() < 3 || all[2].Twice() < 3 {
		t.Errorf("%d and %d times told", all[1].Twice(), all[2].Twice())
	}
	if m := all[0].Members()[1]; !m.Details.Twice {
		t.Errorf("others are not told: %+v", m)
	}
	before := all[0].Members()[1].Inc.Count
	live(all, &now, 30*time.Second)
	if more := all[0].Members()[1].Inc.Count - before; more > 12 {
		t.Errorf("in 30 s they contradict each other %d times", more)
	}
	alone := fleet(3, 0, 1, 2)
	live(alone, &now, 20*time.Second)
	if alone[1].Twice() > 0 {
		t.Error("one that is alone is taken for two")
	}
}

// What is not read changes nothing and is counted: spoilt, of another version, from another address, for another router.
func TestStrange(t *testing.T) {
	all := fleet(3, 0, 1)
	all[0].Tick(0)
	var body []byte
	for _, d := range all[0].Out() {
		if body = d.Body; d.To != 1 {
			all[0].Tick(all[0].Next())
		}
	}
	for len(body) == 0 || int(body[5]) != 1 {
		all[0].Tick(all[0].Next())
		for _, d := range all[0].Out() {
			body = d.Body
		}
	}
	v := all[1]
	sum := v.Sum()
	for i := range body {
		spoilt := bytes.Clone(body)
		spoilt[i] ^= 0x40
		v.Receive(0, 0, spoilt)
	}
	v.Receive(0, 0, append(bytes.Clone(body), make([]byte, MostBytes)...))
	if c := v.Counts(); c.Bad != uint64(len(body)+1) || v.Sum() != sum || len(v.Out()) > 0 {
		t.Errorf("%d of %d found bad", c.Bad, len(body)+1)
	}
	v.Receive(0, 2, body)
	v.Receive(0, -1, body)
	fleet(3, 2)[0].Receive(0, 0, body)
	if c := v.Counts(); c.Strange != 2 || v.Sum() != sum {
		t.Errorf("%+v", c)
	}
	if v.Receive(0, 0, body); v.Sum() == sum {
		t.Error("a good one says nothing")
	}
}

// Of what is said of one router the newer holds, and of the same life the graver.
func TestBeats(t *testing.T) {
	m := &Member{State: Suspect, Inc: Incarnation{5, 3}}
	for c, want := range map[claim]bool{
		{inc: Incarnation{5, 3}, state: Alive}:   false,
		{inc: Incarnation{5, 3}, state: Suspect}: false,
		{inc: Incarnation{5, 3}, state: Dead}:    true,
		{inc: Incarnation{5, 2}, state: Left}:    false,
		{inc: Incarnation{5, 4}, state: Alive}:   true,
		{inc: Incarnation{6, 0}, state: Alive}:   true,
		{inc: Incarnation{4, 9}, state: Dead}:    false,
	} {
		if c.beats(m) != want {
			t.Errorf("%+v: %v", c, !want)
		}
	}
	if next := (Incarnation{5, 0xffff}).next(); next.Compare(Incarnation{5, 0xffff}) <= 0 {
		t.Errorf("after the last count comes %v", next)
	}
}

// What a router tells of itself, and what it saw of slot caches, comes to all, the latest only, and is forgotten in time.
func TestTold(t *testing.T) {
	all := fleet(4, 0, 1, 2, 3)
	now := time.Duration(0)
	all[2].Tell(Details{Version: 1, Settings: 2, Rate: 3})
	all[1].Saw(Sight{Cache: 9, State: SeenDown})
	live(all, &now, 3*time.Second)
	all[2].Tell(Details{Version: 1, Settings: 2, Rate: 50})
	all[3].Saw(Sight{Cache: 9, State: SeenBack})
	live(all, &now, 3*time.Second)
	for i, v := range all {
		if d := v.Members()[2].Details; d.Rate != 50 || d.Version != 1 || d.Settings != 2 {
			t.Errorf("router %d has %+v", i, d)
		}
		if s := v.Sights(now); len(s) != 1 || s[0].State != SeenBack || s[0].Age < 2*time.Second || s[0].Age > 4*time.Second {
			t.Errorf("router %d saw %+v", i, s)
		}
		if s := v.Sights(now + sightLife); len(s) > 0 {
			t.Errorf("a minute later router %d says %+v", i, s)
		}
	}
}

// A router that comes once sightings have been told as often as they are told among the others knows them with its first probes, though
// one of the others is gone: before a second is over, in which it would send a server that is back as much as any.
func TestJoiningRouterIsToldOfSights(t *testing.T) {
	const soon = Period + 50*time.Millisecond
	for seed := range 20 {
		others := fleet(6, 0, 1, 2, 3, 4)
		now := time.Duration(0)
		live(others, &now, 5*time.Second)
		for i := range uint32(3) {
			others[i].Saw(Sight{Cache: i, State: SeenDown})
		}
		live(others, &now, 4*time.Second)
		others[1].Saw(Sight{Cache: 1, State: SeenBack})
		live(others, &now, 4*time.Second)
		joining := New(Config{Self: 5, Of: 6, Start: start.Add(time.Hour), Seed: uint64(seed), Now: now})
		live(append(others[:4:4], joining), &now, soon)
		states := map[uint32]SightState{}
		for _, s := range joining.Sights(now) {
			states[s.Cache] = s.State
		}
		if want := map[uint32]SightState{0: SeenDown, 1: SeenBack, 2: SeenDown}; !reflect.DeepEqual(states, want) {
			t.Errorf("seed %d: %v after its start it knows of %v", seed, soon, states)
		}
	}
}

// A sighting that is told of more slot caches than are kept takes the oldest one's place.
func TestMostSights(t *testing.T) {
	v := fleet(2, 0)[0]
	for i := range uint32(MostSights + 10) {
		v.clock(time.Duration(i) * 10 * time.Millisecond)
		v.next = v.now
		v.Saw(Sight{Cache: i, State: SeenDown})
	}
	s := v.Sights(v.now)
	if len(s) != MostSights || len(v.sights) != MostSights {
		t.Fatalf("%d are kept", len(s))
	}
	for _, x := range s {
		if x.Cache < 10 {
			t.Errorf("slot cache %d is kept, which was seen before others", x.Cache)
		}
	}
	v.clock(v.now + sightLife)
	if v.forgetSights(); v.sights != nil {
		t.Errorf("%d are kept that are old", len(v.sights))
	}
}

// 1,024 slot caches that one router sees go at once are kept by it, and told to another one in datagrams that are no longer for it.
func TestManySights(t *testing.T) {
	const caches, leastTold = 1024, 300 // in half a minute, with two routers alone
	all := fleet(2, 0, 1)
	for i := range uint32(caches) {
		all[0].Saw(Sight{Cache: i, State: SeenDown})
	}
	now := time.Duration(0)
	live(all, &now, sightLife/2)
	told, kept := len(all[1].Sights(now)), len(all[0].Sights(now))
	if t.Logf("%d of %d are told", told, caches); told < leastTold || kept != caches {
		t.Errorf("%d are told, %d are kept", told, kept)
	}
	if c := all[0].Counts(); c.SentBytes > MostBytes*c.Sent {
		t.Errorf("%d datagrams have %d bytes", c.Sent, c.SentBytes)
	}
	if c := all[1].Counts(); c.Bad > 0 { // as one that is too long would be
		t.Errorf("%+v", c)
	}
}

func aClaim(t *rapid.T) claim {
	c := claim{who: uint16(rapid.IntRange(0, 999).Draw(t, "who")), state: State(rapid.IntRange(0, 3).Draw(t, "state")),
		phase: Phase(rapid.IntRange(0, 3).Draw(t, "phase")), inc: Incarnation{rapid.Int64Range(0, 1<<48-1).Draw(t, "start"), rapid.Uint16().Draw(t, "count")}}
	if c.state == Suspect {
		c.accusers, c.age = uint8(rapid.IntRange(1, 15).Draw(t, "accusers")), ageUnit*time.Duration(rapid.IntRange(0, 255).Draw(t, "age"))
	}
	return c
}

// What is written is read as it was.
func TestWire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := head{kind: kind(rapid.IntRange(int(ping), int(kinds)-1).Draw(t, "kind")), from: 3, to: 4, of: 1000, seq: rapid.Uint32().Draw(t, "seq"),
			about: rapid.Uint16().Draw(t, "about"), inc: Incarnation{rapid.Int64Range(1, 1<<48-1).Draw(t, "start"), rapid.Uint16().Draw(t, "count")},
			state: Left, phase: Draining, sum: rapid.Uint32().Draw(t, "sum")}
		want := message{head: h}
		b := appendHead(nil, &h)
		for range rapid.IntRange(0, 5).Draw(t, "claims") {
			c := aClaim(t)
			b = appendClaim(append(b, byte(tagClaims), 1), &c)
			want.claims = append(want.claims, c)
		}
		if rapid.Bool().Draw(t, "detail") {
			d := detail{5, 77, Details{Seq: 1, Version: 2, Settings: rapid.Uint32().Draw(t, "settings"), Rate: 4, Zone: 127, Twice: rapid.Bool().Draw(t, "twice")}}
			b = appendDetail(append(b, byte(tagDetails), 1), &d)
			want.details = append(want.details, d)
		}
		if rapid.Bool().Draw(t, "sight") {
			s := Sight{8, SeenBack, 3 * time.Second}
			b = appendSight(append(b, byte(tagSights), 1), &s)
			want.sights = append(want.sights, s)
		}
		var m message
		if err := parse(seal(b), &m); err != nil {
			t.Fatal(err)
		}
		for _, x := range [][2]any{{m.head, want.head}, {m.claims, want.claims}, {m.details, want.details}, {m.sights, want.sights}} {
			if reflect.ValueOf(x[1]).Kind() == reflect.Slice && reflect.ValueOf(x[1]).Len() == 0 && reflect.ValueOf(x[0]).Len() == 0 {
				continue
			}
			if !reflect.DeepEqual(x[0], x[1]) {
				t.Fatalf("%+v is read as %+v", x[1], x[0])
			}
		}
	})
}

// Whatever comes, no view fails, says more than a datagram holds, or goes back; what is parsed is what is hashed.
func FuzzReceive(f *testing.F) {
	all := fleet(3, 0, 1, 2)
	now := time.Duration(0)
	for range 40 {
		now += 100 * time.Millisecond
		for _, v := range all {
			v.Tick(now)
			for _, d := range v.Out() {
				f.Add(d.Body[:len(d.Body)-checkBytes])
				all[d.To].Receive(now, v.self, d.Body)
			}
		}
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		v := fleet(3, 1)[0]
		v.Receive(time.Second, 0, body)
		own := v.Members()[1].Inc
		v.Receive(time.Second, 0, seal(bytes.Clone(body)))
		v.Receive(time.Second, 2, seal(bytes.Clone(body)))
		if v.Members()[1].Inc.Compare(own) < 0 {
			t.Error("it went back")
		}
		v.Tick(2 * time.Second)
		for _, d := range v.Out() {
			if len(d.Body) > MostBytes || d.To == 1 || d.To < 0 || d.To > 2 {
				t.Errorf("%d bytes to %d", len(d.Body), d.To)
			}
		}
	})
}
