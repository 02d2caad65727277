package peers

import (
	"context"
	"log/slog"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hoptiller/internal/fleet/permit"
	"hoptiller/internal/fleet/view"
	"hoptiller/internal/testprog"
)

// sockets finds free addresses.
func sockets(t testing.TB, n int) (addrs []string) {
	for range n {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		addrs = append(addrs, c.LocalAddr().String())
	}
	return addrs
}

// run runs a router's view until end is called.
func run(t testing.TB, self int, addrs []string) (p *Peers, end func()) {
	p, err := New(Settings{Self: self, Listen: addrs[self], Addrs: addrs, Seed: uint64(self),
		Phase: func() view.Phase { return view.Serving }, Tell: func() view.Details { return view.Details{Version: 0xabc, Rate: uint16(self)} }})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	end = sync.OnceFunc(func() {
		cancel()
		if err := testprog.Await(t, done, "end of a view"); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(end)
	return p, end
}

// Three routers see each other over sockets and say the same, one that leaves is known to have left, and one that begins at an
// address that is still taken waits for it.
func TestPeers(t *testing.T) {
	addrs := sockets(t, 3)
	a, _ := run(t, 0, addrs)
	b, _ := run(t, 1, addrs)
	c, leave := run(t, 2, addrs)
	agree := func(all ...*Peers) bool {
		for _, p := range all {
			r := p.Report()
			if r.Sum != all[0].Report().Sum || r.Alive != 3 {
				return false
			}
			for i, m := range r.Members {
				if m.Version != "00000abc" || m.Rate != i || m.Phase != "serving" || m.Start == "" {
					return false
				}
			}
		}
		return true
	}
	testprog.Until(t, "three views agree", func() bool { return agree(a, b, c) })
	if lines := Differences([]Asked{{Addr: "a", View: a.Report()}, {Addr: "b", View: b.Report()}}); len(lines) > 0 {
		t.Errorf("two that agree differ: %v", lines)
	}
	next, _ := run(t, 2, addrs)
	leave()
	testprog.Until(t, "the next life is seen", func() bool {
		r := a.Report()
		return r.Alive == 3 && r.Members[2].Life == next.Report().Members[2].Life
	})
	if s := a.Summary(); s.Sent == 0 || s.ReceivedBytes == 0 || s.Bad+s.Strange > 0 {
		t.Errorf("%+v", s)
	}
}

// Who has a place is told by the place's kind.
func TestHolder(t *testing.T) {
	for group, says := range map[uint16]string{permit.WholeFleet: "the fleet", permit.FirstZone + 2: "zone 2", permit.AllCaches: "slot caches",
		permit.FirstCacheZone + 1: "slot caches of zone 1", permit.Releases: "releases"} {
		if got := holder(permit.Holder{Router: 3, Slot: permit.Slot{Group: group, Number: 1}}); got != "router 3 has place 1 of "+says {
			t.Errorf("%q, want %q", got, says)
		}
	}
}

// What can't be a fleet is told in one line.
func TestNew(t *testing.T) {
	good := []string{"127.0.0.1:1", "127.0.0.1:2"}
	for says, set := range map[string]Settings{
		"no other routers":   {Listen: good[0], Addrs: good[:1]},
		"this is router 2":   {Self: 2, Listen: good[0], Addrs: good},
		"this is router -1":  {Self: -1, Listen: good[0], Addrs: good},
		"peer_listen":        {Listen: "x", Addrs: good},
		"peers: ":            {Listen: good[0], Addrs: []string{good[0], "router-2"}},
		"routers are too ma": {Listen: good[0], Addrs: make([]string, 1<<16)},
	} {
		if _, err := New(set); err == nil || !strings.Contains(err.Error(), says) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v", says, err)
		}
	}
}

// Where views differ is told by router, and who runs another program or has other settings than most.
func TestDifferences(t *testing.T) {
	member := func(n int, state, version string) Member {
		return Member{Number: n, State: state, Phase: "serving", Life: "1.0", Version: version}
	}
	a := &Report{Self: 0, Members: []Member{member(0, "alive", "aa"), member(1, "alive", "aa"), member(2, "alive", "bb"), member(3, "unknown", "")}}
	b := &Report{Self: 1, Members: []Member{member(0, "alive", "aa"), member(1, "suspect", "aa"), member(2, "dead", "bb")}}
	got := strings.Join(Differences([]Asked{{Addr: "a:1", View: a}, {Addr: "b:1", View: b}, {Addr: "c:1", Err: "away"}}), "\n")
	want := `router 2: alive serving life 1.0 at a:1; dead serving life 1.0 at b:1
router 3: not in the list at b:1; unknown at a:1
program aa at 2 routers, bb at 1: 2`
	if got != want {
		t.Errorf("%s", got)
	}
}

// When half of the fleet dies at once, the log gets a few lines.
func TestKinds(t *testing.T) {
	alive, later := view.Member{Inc: view.Incarnation{Start: 1}}, view.Member{Inc: view.Incarnation{Start: 2}}
	dead, left, drains, suspect := alive, alive, alive, alive
	dead.State, left.State, drains.Phase, suspect.State = view.Dead, view.Left, view.Draining, view.Suspect
	for want, e := range map[string]view.Event{
		"router joined": {After: alive}, "router lost": {Before: suspect, After: dead}, "router left": {Before: alive, After: left},
		"router back": {Before: dead, After: alive}, "router restarted": {Before: dead, After: later}, "router changed phase": {Before: alive, After: drains},
		"": {Before: alive, After: suspect},
	} {
		if got := kindOf(e); got != want {
			t.Errorf("%q is told as %q", want, got)
		}
	}
}

// What a router of 300 spends on its view, on real sockets: all are in this process, which does nothing else.
func BenchmarkPeers(b *testing.B) {
	const routers = 300
	was := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	b.Cleanup(func() { slog.SetDefault(was) })
	addrs := sockets(b, routers)
	all := make([]*Peers, routers)
	for i := range all {
		all[i], _ = run(b, i, addrs)
	}
	testprog.Until(b, "300 routers see each other", func() bool {
		for _, p := range all {
			if p.Summary().Alive != routers {
				return false
			}
		}
		return true
	})
	used := func() time.Duration {
		var u syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
			b.Fatal(err)
		}
		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	time.Sleep(5 * time.Second) // until the news of the start is old
	b.ResetTimer()
	before, begun := used(), time.Now()
	for range b.N {
		time.Sleep(time.Second)
	}
	b.ReportMetric(float64((used()-before).Microseconds())/routers/time.Since(begun).Seconds(), "us/router-s")
}
