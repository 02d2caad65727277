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

// freeAddrs returns addresses that were free a moment ago.
func freeAddrs(t testing.TB, n int) (addrs []string) {
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

// run starts the view of a router. It runs until end is called or the test ends.
func run(t testing.TB, self int, addrs []string) (p *Peers, end func()) {
	p, err := New(Settings{Self: self, Listen: addrs[self], Addrs: addrs, Seed: uint64(self),
		Phase:   func() view.Phase { return view.Serving },
		Details: func() view.Details { return view.Details{VersionHash: 0xabc, RequestRate: uint16(self)} }})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	end = sync.OnceFunc(func() {
		cancel()
		if err := testprog.Await(t, done, "the end of a view"); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(end)
	return p, end
}

// Three routers learn of each other over sockets until their views agree. Then one of them is replaced: the next process
// waits for the address that is still in use, and the others learn its incarnation after the former process has left.
func TestPeers(t *testing.T) {
	addrs := freeAddrs(t, 3)
	a, _ := run(t, 0, addrs)
	b, _ := run(t, 1, addrs)
	c, leave := run(t, 2, addrs)
	agree := func(all ...*Peers) bool {
		for _, p := range all {
			r := p.Report()
			if r.Checksum != all[0].Report().Checksum || r.Alive != 3 {
				return false
			}
			for i, m := range r.Members {
				if m.VersionHash != "00000abc" || m.RequestRate != i || m.Phase != "serving" || m.Start == "" {
					return false
				}
			}
		}
		return true
	}
	testprog.Eventually(t, "three views agree", func() bool { return agree(a, b, c) })
	if lines := Differences([]FetchResult{{Addr: "a", Report: a.Report()}, {Addr: "b", Report: b.Report()}}); len(lines) > 0 {
		t.Errorf("views that agree have differences: %v", lines)
	}
	next, _ := run(t, 2, addrs)
	leave()
	testprog.Eventually(t, "the next process is known", func() bool {
		r := a.Report()
		return r.Alive == 3 && r.Members[2].Incarnation == next.Report().Members[2].Incarnation
	})
	if s := a.Summary(); s.Sent == 0 || s.ReceivedBytes == 0 || s.Undecodable+s.Misaddressed > 0 {
		t.Errorf("%+v", s)
	}
}

// The description of a holder names the group of its slot.
func TestDescribeHolder(t *testing.T) {
	for group, name := range map[uint16]string{permit.GroupAllRouters: "the fleet", permit.GroupFirstRouterZone + 2: "zone 2",
		permit.GroupAllCaches:          "slot caches",
		permit.GroupFirstCacheZone + 1: "slot caches of zone 1", permit.GroupReleases: "releases"} {
		if got := describeHolder(permit.Holder{Router: 3, Slot: permit.Slot{Group: group, Number: 1}}); got !=
			"router 3 has place 1 of "+name {
			t.Errorf("got %q, want the group %q", got, name)
		}
	}
}

// New rejects settings that don't describe a fleet, with an error of one line.
func TestNewErrors(t *testing.T) {
	valid := []string{"127.0.0.1:1", "127.0.0.1:2"}
	for want, settings := range map[string]Settings{
		"no other routers":   {Listen: valid[0], Addrs: valid[:1]},
		"this is router 2":   {Self: 2, Listen: valid[0], Addrs: valid},
		"this is router -1":  {Self: -1, Listen: valid[0], Addrs: valid},
		"peer_listen":        {Listen: "x", Addrs: valid},
		"peers: ":            {Listen: valid[0], Addrs: []string{valid[0], "router-2"}},
		"routers are too ma": {Listen: valid[0], Addrs: make([]string, 1<<16)},
	} {
		if _, err := New(settings); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("got error %v, want one line with %q", err, want)
		}
	}
}

// Differences lists the routers about which views differ, and those whose program or settings differ from those of the
// most routers.
func TestDifferences(t *testing.T) {
	member := func(number int, state, version string) Member {
		return Member{Number: number, State: state, Phase: "serving", Incarnation: "1.0", VersionHash: version}
	}
	a := &Report{Self: 0, Members: []Member{member(0, "alive", "aa"), member(1, "alive", "aa"), member(2, "alive", "bb"),
		member(3, "unknown", "")}}
	b := &Report{Self: 1, Members: []Member{member(0, "alive", "aa"), member(1, "suspect", "aa"), member(2, "dead", "bb")}}
	got := strings.Join(Differences([]FetchResult{{Addr: "a:1", Report: a}, {Addr: "b:1", Report: b}, {Addr: "c:1", Err: "away"}}), "\n")
	want := `router 2: alive serving life 1.0 at a:1; dead serving life 1.0 at b:1
router 3: not in the list at b:1; unknown at a:1
program aa at 2 routers, bb at 1: 2`
	if got != want {
		t.Errorf("got:\n%s\nwant:\n%s", got, want)
	}
}

// Each kind of change has its own log message; a suspicion has none.
func TestEventMessage(t *testing.T) {
	alive, restarted := view.Member{Incarnation: view.Incarnation{Start: 1}}, view.Member{Incarnation: view.Incarnation{Start: 2}}
	dead, left, draining, suspect := alive, alive, alive, alive
	dead.State, left.State, draining.Phase, suspect.State = view.Dead, view.Left, view.Draining, view.Suspect
	for want, e := range map[string]view.Event{
		"router joined": {After: alive}, "router lost": {Before: suspect, After: dead}, "router left": {Before: alive, After: left},
		"router back": {Before: dead, After: alive}, "router restarted": {Before: dead, After: restarted},
		"router changed phase": {Before: alive, After: draining},
		"":                     {Before: alive, After: suspect},
	} {
		if got := eventMessage(e); got != want {
			t.Errorf("got message %q, want %q", got, want)
		}
	}
}

// BenchmarkPeers measures the CPU time that one router of 300 spends on its view, with real sockets. All routers run in
// this process, which does nothing else.
func BenchmarkPeers(b *testing.B) {
	const routers = 300
	logger := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	b.Cleanup(func() { slog.SetDefault(logger) })
	addrs := freeAddrs(b, routers)
	all := make([]*Peers, routers)
	for i := range all {
		all[i], _ = run(b, i, addrs)
	}
	testprog.Eventually(b, "300 routers know each other", func() bool {
		for _, p := range all {
			if p.Summary().Alive != routers {
				return false
			}
		}
		return true
	})
	cpuTime := func() time.Duration {
		var usage syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
			b.Fatal(err)
		}
		return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	time.Sleep(5 * time.Second) // until the updates from the start have stopped spreading
	b.ResetTimer()
	cpuBefore, start := cpuTime(), time.Now()
	for range b.N {
		time.Sleep(time.Second)
	}
	b.ReportMetric(float64((cpuTime()-cpuBefore).Microseconds())/routers/time.Since(start).Seconds(), "us/router-s")
}
