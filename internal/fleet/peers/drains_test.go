package peers

import (
	"errors"
	"testing"
	"time"

	"hoptiller"
	"hoptiller/internal/fleet/drains"
	"hoptiller/internal/fleet/notes"
	"hoptiller/internal/fleet/permit"
	"hoptiller/internal/fleet/view"
	"hoptiller/internal/relay"
)

// nobody is a listener that is told and does nothing.
type nobody struct{}

func (nobody) Told(hoptiller.ListKind, []relay.Server) {}
func (nobody) Knows(uint32) bool                       { return true }

// alone is the one elector of two routers, an hour after its start, and without a socket.
func alone(t *testing.T) *Peers {
	caches := drains.New(nobody{})
	caches.Told(hoptiller.ListFull, []relay.Server{{Server: hoptiller.Server{ID: 0x10, Phase: hoptiller.Ready}, Name: "s-00000010"}})
	n := uint64(0)
	p, err := New(Settings{Listen: "127.0.0.1:1", Addrs: []string{"127.0.0.1:1", "127.0.0.1:2"},
		Phase: func() view.Phase { return view.Serving }, Tell: func() view.Details { return view.Details{} },
		Agent: &permit.Agent{Of: 2, Fleet: permit.Bound{Number: 1}, Caches: permit.Bound{Number: 1}, Chance: func() uint64 { n++; return n }},
		Out:   func(bool) {}, Caches: func() []hoptiller.CacheState { return nil }, Aside: caches})
	if err != nil {
		t.Fatal(err)
	}
	p.begun = time.Now().Add(-time.Hour)
	p.set.Agent.See = func() permit.Sight { return permit.Sight{Alive: 2, Caches: map[uint32]int{0x10: 0}} }
	return p
}

// step does what is due, as the clock's goroutine does.
func (p *Peers) step() {
	p.mu.Lock()
	p.turn()
	drains := p.drains()
	p.flush()
	p.mu.Unlock()
	p.set.Aside.Set(p.now(), drains)
}

// A release has one driver: another one is told who, and has it once the former has not spoken for long, unless it is another
// release. Who keeps it anew does not take its driver for gone. What operators have ended stays so.
func TestDrivers(t *testing.T) {
	p := alone(t)
	if _, err := p.GoOnRelease("x", "", "", false); err == nil {
		t.Error("a driver without a name")
	}
	if _, err := p.GoOnRelease("x", "a", "begins", true); !errors.Is(err, notes.ErrNone) {
		t.Errorf("gone on with what nobody began: %v", err)
	}
	if r, err := p.GoOnRelease("x", "a", "begins", false); err != nil || r.State != "asking" {
		t.Fatal(r, err)
	}
	p.step()
	if r, err := p.GoOnRelease("x", "a", "forth 1/2", true); err != nil || r.State != "held" || r.Stage != "forth 1/2" {
		t.Errorf("%+v, %v", r, err)
	}
	var runs *ErrRuns
	if _, err := p.GoOnRelease("x", "b", "", false); !errors.As(err, &runs) || runs.Gone || runs.By != "a" || runs.Stage != "forth 1/2" {
		t.Errorf("a second driver: %v", err)
	}
	p.driverAt, p.keeps = 0, 1 // router 1 kept it until now
	p.step()
	if _, err := p.GoOnRelease("x", "b", "", false); !errors.As(err, &runs) || runs.Gone {
		t.Errorf("a second driver, where the keeper is new: %v", err)
	}
	p.driverAt -= DriverTime + time.Second
	if _, err := p.GoOnRelease("y", "b", "", false); !errors.As(err, &runs) || !runs.Gone {
		t.Errorf("another release, the driver gone: %v", err)
	}
	if r, err := p.GoOnRelease("x", "b", "forth 1/2", false); err != nil || r.By != "b" {
		t.Errorf("the next driver: %+v, %v", r, err)
	}
	if err := p.EndRelease("y"); !errors.Is(err, notes.ErrNone) {
		t.Errorf("ended another one: %v", err)
	}
	if err := p.EndRelease("x"); err != nil {
		t.Error(err)
	}
	if _, err := p.GoOnRelease("x", "b", "", true); !errors.Is(err, ErrEnded) {
		t.Errorf("gone on with what was ended: %v", err)
	}
}

// Drains of slot caches as operators ask for them.
func TestDrains(t *testing.T) {
	p := alone(t)
	if err := p.DrainCache("s-1", time.Hour, 0); !errors.Is(err, ErrNoCache) {
		t.Errorf("a slot cache that is not listed: %v", err)
	}
	if err := p.ActivateCache("s-00000010"); !errors.Is(err, notes.ErrNone) {
		t.Errorf("one that is not drained: %v", err)
	}
	if err := p.DrainCache("s-00000010", time.Hour, 0); err != nil {
		t.Fatal(err)
	}
	if d := p.Report().Drains; len(d) != 1 || d[0].State != "asking" || d[0].Ends < 3590 {
		t.Errorf("%+v", d)
	}
	p.step()
	p.step()
	if d := p.Report().Drains; len(d) != 1 || d[0].State != "out" || d[0].Cache != "s-00000010" || !p.set.Aside.Whole(0x10) {
		t.Errorf("%+v", d)
	}
	var taken *notes.ErrTaken
	if err := p.DrainCache("s-00000010", time.Hour, 0); !errors.As(err, &taken) {
		t.Errorf("drained twice: %v", err)
	}
	p.set.Aside.Told(hoptiller.ListFull, nil) // it has left the list, and may be called back all the same
	if err := p.ActivateCache("s-00000010"); err != nil {
		t.Error(err)
	}
	if p.step(); len(p.Report().Drains) > 0 || p.set.Aside.Whole(0x10) {
		t.Errorf("still %+v", p.Report().Drains)
	}
}
