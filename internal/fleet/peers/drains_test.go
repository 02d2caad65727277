package peers

import (
	"errors"
	"testing"
	"time"

	"hoptiller"
	"hoptiller/internal/fleet/drains"
	"hoptiller/internal/fleet/leases"
	"hoptiller/internal/fleet/permit"
	"hoptiller/internal/fleet/view"
	"hoptiller/internal/relay"
)

// ignoringListener is a drains.Listener that ignores the lists of servers.
type ignoringListener struct{}

func (ignoringListener) UpdateServers(hoptiller.ListKind, []relay.Server) {}
func (ignoringListener) Knows(uint32) bool                                { return true }

// newOnlyVoter returns router 0 of two, which is the only voter. It has been running for an hour and has no socket.
func newOnlyVoter(t *testing.T) *Peers {
	caches := drains.New(ignoringListener{})
	caches.UpdateServers(hoptiller.ListFull, []relay.Server{{Server: hoptiller.Server{ID: 0x10, Phase: hoptiller.Ready}, Name: "s-00000010"}})
	random := uint64(0)
	p, err := New(Settings{Listen: "127.0.0.1:1", Addrs: []string{"127.0.0.1:1", "127.0.0.1:2"},
		Phase: func() view.Phase { return view.Serving }, Details: func() view.Details { return view.Details{} },
		Agent: &permit.Agent{RouterCount: 2, MaxRouters: permit.Bound{Number: 1}, MaxCaches: permit.Bound{Number: 1},
			Random: func() uint64 { random++; return random }},
		SetOutOfService: func(bool) {}, Caches: func() []hoptiller.CacheState { return nil }, Drains: caches})
	if err != nil {
		t.Fatal(err)
	}
	p.startTime = time.Now().Add(-time.Hour)
	p.settings.Agent.ObserveFleet = func() permit.FleetState { return permit.FleetState{AliveCount: 2, CacheZones: map[uint32]int{0x10: 0}} }
	return p
}

// tickOnce does what runTicks does for permits, leases and drains when a tick is due.
func (p *Peers) tickOnce() {
	p.mu.Lock()
	p.tickPermits()
	currentDrains := p.currentDrains()
	p.flush()
	p.mu.Unlock()
	p.settings.Drains.SetDrains(p.now(), currentDrains)
}

// A release has one driver. Another driver gets an error that names the first one, and can take over once the first one
// has not called for DriverTimeout; the driver of another release can't. A router that has just become the owner of the
// release doesn't regard its driver as gone. A release that operators have ended can't be continued.
func TestReleaseDrivers(t *testing.T) {
	p := newOnlyVoter(t)
	if _, err := p.DriveRelease("x", "", "", false); err == nil {
		t.Error("a driver without a name was accepted")
	}
	if _, err := p.DriveRelease("x", "a", "begins", true); !errors.Is(err, leases.ErrNotFound) {
		t.Errorf("continued a release that nobody has started: %v", err)
	}
	if r, err := p.DriveRelease("x", "a", "begins", false); err != nil || r.State != "asking" {
		t.Fatal(r, err)
	}
	p.tickOnce()
	if r, err := p.DriveRelease("x", "a", "forth 1/2", true); err != nil || r.State != "held" || r.Stage != "forth 1/2" {
		t.Errorf("%+v, %v", r, err)
	}
	var running *ReleaseRunningError
	if _, err := p.DriveRelease("x", "b", "", false); !errors.As(err, &running) || running.DriverGone ||
		running.Driver != "a" || running.Stage != "forth 1/2" {
		t.Errorf("a second driver: %v", err)
	}
	p.driverHeardAt, p.releaseOwner = 0, 1 // router 1 owned the release until now
	p.tickOnce()
	if _, err := p.DriveRelease("x", "b", "", false); !errors.As(err, &running) || running.DriverGone {
		t.Errorf("a second driver, at a new owner: %v", err)
	}
	p.driverHeardAt -= DriverTimeout + time.Second
	if _, err := p.DriveRelease("y", "b", "", false); !errors.As(err, &running) || !running.DriverGone {
		t.Errorf("another release, after the driver has gone: %v", err)
	}
	if r, err := p.DriveRelease("x", "b", "forth 1/2", false); err != nil || r.Driver != "b" {
		t.Errorf("the next driver: %+v, %v", r, err)
	}
	if err := p.EndRelease("y"); !errors.Is(err, leases.ErrNotFound) {
		t.Errorf("ended another release: %v", err)
	}
	if err := p.EndRelease("x"); err != nil {
		t.Error(err)
	}
	if _, err := p.DriveRelease("x", "b", "", true); !errors.Is(err, ErrReleaseEnded) {
		t.Errorf("continued a release that was ended: %v", err)
	}
}

// Operators can drain a listed slot cache once, and activate it again even after it has left the list.
func TestDrainAndActivate(t *testing.T) {
	p := newOnlyVoter(t)
	if err := p.DrainCache("s-1", time.Hour, 0); !errors.Is(err, ErrUnknownCache) {
		t.Errorf("drained a slot cache that is not listed: %v", err)
	}
	if err := p.ActivateCache("s-00000010"); !errors.Is(err, leases.ErrNotFound) {
		t.Errorf("activated a slot cache that is not drained: %v", err)
	}
	if err := p.DrainCache("s-00000010", time.Hour, 0); err != nil {
		t.Fatal(err)
	}
	if d := p.Report().Drains; len(d) != 1 || d[0].State != "asking" || d[0].EndsInSeconds < 3590 {
		t.Errorf("%+v", d)
	}
	p.tickOnce()
	p.tickOnce()
	if d := p.Report().Drains; len(d) != 1 || d[0].State != "out" || d[0].Cache != "s-00000010" || !p.settings.Drains.IsDrained(0x10) {
		t.Errorf("%+v", d)
	}
	var taken *leases.AlreadyManagedError
	if err := p.DrainCache("s-00000010", time.Hour, 0); !errors.As(err, &taken) {
		t.Errorf("drained twice: %v", err)
	}
	// The slot cache leaves the list, and can be activated all the same.
	p.settings.Drains.UpdateServers(hoptiller.ListFull, nil)
	if err := p.ActivateCache("s-00000010"); err != nil {
		t.Error(err)
	}
	if p.tickOnce(); len(p.Report().Drains) > 0 || p.settings.Drains.IsDrained(0x10) {
		t.Errorf("still drained: %+v", p.Report().Drains)
	}
}
