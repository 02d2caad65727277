package view

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "hoptiller/internal/draws"
)

// startTime is the wall-clock time at which simulated routers start.
var startTime = time.UnixMilli(1_800_000_000_000)

// newViews returns the views of the routers with these numbers, in a fleet of routerCount routers. They start a
// millisecond apart.
func newViews(routerCount int, selves ...int) (all []*View) {
	for i, self := range selves {
		all = append(all, New(Config{Self: self, RouterCount: routerCount,
			Start: startTime.Add(time.Duration(i) * time.Millisecond), Seed: uint64(i)}))
		all[i].SetPhase(Serving)
	}
	return all
}

// run advances the clocks of all views by a duration and delivers their datagrams without delay.
func run(all []*View, now *time.Duration, duration time.Duration) {
	for end := *now + duration; *now < end; *now += 10 * time.Millisecond {
		for _, v := range all {
			if *now >= v.NextTick() {
				v.Tick(*now)
			}
			for _, d := range v.Outgoing() {
				for _, to := range all {
					if to.self == d.To && to != v {
						to.Receive(*now, v.self, d.Body)
					}
				}
			}
		}
	}
}

// Two routers with the same number must be reported by themselves and by all others. As long as both run, they
// override each other's claims. This must happen rarely.
func TestDuplicateNumber(t *testing.T) {
	all := newViews(3, 0, 1, 1, 2)
	now := time.Duration(0)
	for _, v := range all {
		v.SetDetails(Details{VersionHash: 7})
	}
	run(all, &now, 20*time.Second)
	if all[1].DuplicateCount() < 3 || all[2].DuplicateCount() < 3 {
		t.Errorf("duplicates detected %d and %d times, want 3 or more", all[1].DuplicateCount(), all[2].DuplicateCount())
	}
	if m := all[0].Members()[1]; !m.Details.DuplicateNumber {
		t.Errorf("another router does not report the duplicate number: %+v", m)
	}
	countBefore := all[0].Members()[1].Incarnation.Count
	run(all, &now, 30*time.Second)
	if overrides := all[0].Members()[1].Incarnation.Count - countBefore; overrides > 12 {
		t.Errorf("the two routers override each other %d times in 30 s", overrides)
	}
	unique := newViews(3, 0, 1, 2)
	run(unique, &now, 20*time.Second)
	if unique[1].DuplicateCount() > 0 {
		t.Error("a router with a unique number is reported as a duplicate")
	}
}

// A datagram that is corrupt, of another version, from another address or for another router is counted and changes nothing.
func TestRejectedDatagrams(t *testing.T) {
	all := newViews(3, 0, 1)
	all[0].Tick(0)
	var body []byte
	for _, d := range all[0].Outgoing() {
		if body = d.Body; d.To != 1 {
			all[0].Tick(all[0].NextTick())
		}
	}
	for len(body) == 0 || int(body[5]) != 1 {
		all[0].Tick(all[0].NextTick())
		for _, d := range all[0].Outgoing() {
			body = d.Body
		}
	}
	v := all[1]
	checksumBefore := v.Checksum()
	for i := range body {
		corrupt := bytes.Clone(body)
		corrupt[i] ^= 0x40
		v.Receive(0, 0, corrupt)
	}
	v.Receive(0, 0, append(bytes.Clone(body), make([]byte, MaxDatagramBytes)...))
	if c := v.Counts(); c.Undecodable != uint64(len(body)+1) || v.Checksum() != checksumBefore || len(v.Outgoing()) > 0 {
		t.Errorf("%d of %d corrupt datagrams were rejected", c.Undecodable, len(body)+1)
	}
	v.Receive(0, 2, body)
	v.Receive(0, -1, body)
	newViews(3, 2)[0].Receive(0, 0, body)
	if c := v.Counts(); c.Misaddressed != 2 || v.Checksum() != checksumBefore {
		t.Errorf("%+v", c)
	}
	if v.Receive(0, 0, body); v.Checksum() == checksumBefore {
		t.Error("a valid datagram changes nothing")
	}
}

// A claim supersedes what is known if its incarnation is newer, or if its state is greater in the same incarnation.
func TestSupersedes(t *testing.T) {
	m := &Member{State: Suspect, Incarnation: Incarnation{5, 3}}
	for c, want := range map[claim]bool{
		{inc: Incarnation{5, 3}, state: Alive}:   false,
		{inc: Incarnation{5, 3}, state: Suspect}: false,
		{inc: Incarnation{5, 3}, state: Dead}:    true,
		{inc: Incarnation{5, 2}, state: Left}:    false,
		{inc: Incarnation{5, 4}, state: Alive}:   true,
		{inc: Incarnation{6, 0}, state: Alive}:   true,
		{inc: Incarnation{4, 9}, state: Dead}:    false,
	} {
		if c.supersedes(m) != want {
			t.Errorf("%+v supersedes %+v: %v", c, m, !want)
		}
	}
	if next := (Incarnation{5, 0xffff}).next(); next.Compare(Incarnation{5, 0xffff}) <= 0 {
		t.Errorf("the greatest count is followed by %v, which is not newer", next)
	}
}

// The latest details of a router and the latest observation of a slot cache reach all routers, and observations expire.
func TestDetailsAndObservationsSpread(t *testing.T) {
	all := newViews(4, 0, 1, 2, 3)
	now := time.Duration(0)
	all[2].SetDetails(Details{VersionHash: 1, SettingsHash: 2, RequestRate: 3})
	all[1].Observe(Observation{CacheID: 9, State: ObservedDown})
	run(all, &now, 3*time.Second)
	all[2].SetDetails(Details{VersionHash: 1, SettingsHash: 2, RequestRate: 50})
	all[3].Observe(Observation{CacheID: 9, State: ObservedUp})
	run(all, &now, 3*time.Second)
	for i, v := range all {
		if d := v.Members()[2].Details; d.RequestRate != 50 || d.VersionHash != 1 || d.SettingsHash != 2 {
			t.Errorf("router %d has details %+v", i, d)
		}
		if s := v.Observations(now); len(s) != 1 || s[0].State != ObservedUp || s[0].Age < 2*time.Second || s[0].Age > 4*time.Second {
			t.Errorf("router %d has observations %+v", i, s)
		}
		if s := v.Observations(now + observationLifetime); len(s) > 0 {
			t.Errorf("a minute later router %d still has observations %+v", i, s)
		}
	}
}

// A router that joins after the others have stopped sending an observation must receive it with its first probes, even if
// one of the others has crashed. Without the observation it sends a slot cache that is back a full share of requests
// within the first second.
func TestJoiningRouterReceivesObservations(t *testing.T) {
	const joinedWithin = ProbeInterval + 50*time.Millisecond
	for seed := range 20 {
		others := newViews(6, 0, 1, 2, 3, 4)
		now := time.Duration(0)
		run(others, &now, 5*time.Second)
		for i := range uint32(3) {
			others[i].Observe(Observation{CacheID: i, State: ObservedDown})
		}
		run(others, &now, 4*time.Second)
		others[1].Observe(Observation{CacheID: 1, State: ObservedUp})
		run(others, &now, 4*time.Second)
		joining := New(Config{Self: 5, RouterCount: 6, Start: startTime.Add(time.Hour), Seed: uint64(seed), Now: now})
		run(append(others[:4:4], joining), &now, joinedWithin)
		states := map[uint32]ObservedState{}
		for _, s := range joining.Observations(now) {
			states[s.CacheID] = s.State
		}
		if want := map[uint32]ObservedState{0: ObservedDown, 1: ObservedUp, 2: ObservedDown}; !reflect.DeepEqual(states, want) {
			t.Errorf("seed %d: %v after its start the router knows %v, want %v", seed, joinedWithin, states, want)
		}
	}
}

// When observations take up all space, a new one replaces the oldest one.
func TestMaxObservations(t *testing.T) {
	v := newViews(2, 0)[0]
	for i := range uint32(MaxObservations + 10) {
		v.advanceClock(time.Duration(i) * 10 * time.Millisecond)
		v.nextProbeAt = v.now
		v.Observe(Observation{CacheID: i, State: ObservedDown})
	}
	s := v.Observations(v.now)
	if len(s) != MaxObservations || len(v.observations) != MaxObservations {
		t.Fatalf("%d observations are kept, want %d", len(s), MaxObservations)
	}
	for _, x := range s {
		if x.CacheID < 10 {
			t.Errorf("the observation of slot cache %d is kept, which is older than others", x.CacheID)
		}
	}
	v.advanceClock(v.now + observationLifetime)
	if v.dropExpiredObservations(); v.observations != nil {
		t.Errorf("%d expired observations are kept", len(v.observations))
	}
}

// A router that observes 1,024 slot caches go down at once keeps all observations and sends them to another router, in
// datagrams that don't exceed the maximum length.
func TestManyObservations(t *testing.T) {
	const caches, minReceived = 1024, 300 // in half a minute, in a fleet of only two routers
	all := newViews(2, 0, 1)
	for i := range uint32(caches) {
		all[0].Observe(Observation{CacheID: i, State: ObservedDown})
	}
	now := time.Duration(0)
	run(all, &now, observationLifetime/2)
	received, kept := len(all[1].Observations(now)), len(all[0].Observations(now))
	if t.Logf("%d of %d observations were received", received, caches); received < minReceived || kept != caches {
		t.Errorf("%d observations were received, %d are kept", received, kept)
	}
	if c := all[0].Counts(); c.SentBytes > MaxDatagramBytes*c.Sent {
		t.Errorf("%d datagrams have %d bytes in all", c.Sent, c.SentBytes)
	}
	if c := all[1].Counts(); c.Undecodable > 0 { // as datagrams that are too long would be
		t.Errorf("%+v", c)
	}
}

func drawClaim(t *rapid.T) claim {
	c := claim{router: uint16(rapid.IntRange(0, 999).Draw(t, "who")), state: State(rapid.IntRange(0, 3).Draw(t, "state")),
		phase: Phase(rapid.IntRange(0, 3).Draw(t, "phase")),
		inc:   Incarnation{rapid.Int64Range(0, 1<<48-1).Draw(t, "start"), rapid.Uint16().Draw(t, "count")}}
	if c.state == Suspect {
		c.accusers, c.suspicionAge = uint8(rapid.IntRange(1, 15).Draw(t, "accusers")),
			suspicionAgeUnit*time.Duration(rapid.IntRange(0, 255).Draw(t, "age"))
	}
	return c
}

// Decoding an encoded datagram yields the original message.
func TestEncodeAndParse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := head{kind: kind(rapid.IntRange(int(kindPing), int(kindCount)-1).Draw(t, "kind")), from: 3, to: 4, routerCount: 1000,
			seq: rapid.Uint32().Draw(t, "seq"), subject: rapid.Uint16().Draw(t, "about"),
			inc:   Incarnation{rapid.Int64Range(1, 1<<48-1).Draw(t, "start"), rapid.Uint16().Draw(t, "count")},
			state: Left, phase: Draining, viewChecksum: rapid.Uint32().Draw(t, "sum")}
		want := message{head: h}
		b := appendHead(nil, &h)
		for range rapid.IntRange(0, 5).Draw(t, "claims") {
			c := drawClaim(t)
			b = appendClaim(append(b, byte(tagClaims), 1), &c)
			want.claims = append(want.claims, c)
		}
		if rapid.Bool().Draw(t, "detail") {
			d := detail{5, 77, Details{Seq: 1, VersionHash: 2, SettingsHash: rapid.Uint32().Draw(t, "settings"),
				RequestRate: 4, Zone: 127, DuplicateNumber: rapid.Bool().Draw(t, "twice")}}
			b = appendDetail(append(b, byte(tagDetails), 1), &d)
			want.details = append(want.details, d)
		}
		if rapid.Bool().Draw(t, "sight") {
			s := Observation{8, ObservedUp, 3 * time.Second}
			b = appendObservation(append(b, byte(tagObservations), 1), &s)
			want.observations = append(want.observations, s)
		}
		var m message
		if err := parse(appendChecksum(b), &m); err != nil {
			t.Fatal(err)
		}
		for _, x := range [][2]any{{m.head, want.head}, {m.claims, want.claims}, {m.details, want.details},
			{m.observations, want.observations}} {
			if reflect.ValueOf(x[1]).Kind() == reflect.Slice && reflect.ValueOf(x[1]).Len() == 0 && reflect.ValueOf(x[0]).Len() == 0 {
				continue
			}
			if !reflect.DeepEqual(x[0], x[1]) {
				t.Fatalf("%+v is decoded as %+v", x[1], x[0])
			}
		}
	})
}

// Whatever datagram arrives, a view doesn't panic, sends no datagram that is too long or goes to an unknown router, and
// never returns to an older incarnation of its own. Each input is received as it is, and once more for each of two senders
// with a valid checksum.
func FuzzReceive(f *testing.F) {
	all := newViews(3, 0, 1, 2)
	now := time.Duration(0)
	for range 40 {
		now += 100 * time.Millisecond
		for _, v := range all {
			v.Tick(now)
			for _, d := range v.Outgoing() {
				f.Add(d.Body[:len(d.Body)-checksumBytes])
				all[d.To].Receive(now, v.self, d.Body)
			}
		}
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		v := newViews(3, 1)[0]
		v.Receive(time.Second, 0, body)
		own := v.Members()[1].Incarnation
		v.Receive(time.Second, 0, appendChecksum(bytes.Clone(body)))
		v.Receive(time.Second, 2, appendChecksum(bytes.Clone(body)))
		if v.Members()[1].Incarnation.Compare(own) < 0 {
			t.Error("the router returned to an older incarnation")
		}
		v.Tick(2 * time.Second)
		for _, d := range v.Outgoing() {
			if len(d.Body) > MaxDatagramBytes || d.To == 1 || d.To < 0 || d.To > 2 {
				t.Errorf("datagram of %d bytes to router %d", len(d.Body), d.To)
			}
		}
	})
}
