package peers

import (
	"fmt"
	"log/slog"
	"time"

	"hoptiller/internal/fleet/permit"
	"hoptiller/internal/fleet/view"
)

// A router that can't renew its permit serves again so long before the permit ends.
const backBefore = 3 * time.Second

// seenTime is how long what electors see serves for further asks: hundreds may come at once, and each would go over all members
// and servers.
const seenTime = 50 * time.Millisecond

// see is the fleet as an elector needs it; p.mu is held.
func (p *Peers) see() permit.Sight {
	if now := p.now(); p.seen == nil || now-p.seenAt >= seenTime {
		s := p.look(now)
		p.seen, p.seenAt = &s, now
	}
	return *p.seen
}

func (p *Peers) look(now time.Duration) permit.Sight {
	s := permit.Sight{Down: map[int]bool{}, Young: map[int]bool{}, Zone: func(i int) int { return int(p.view.Members()[i].Details.Zone) - 1 }}
	for i := range p.view.Members() {
		m := &p.view.Members()[i]
		if m.Here() {
			s.Alive++
		}
		if m.Known() && (m.State != view.Alive || m.Phase != view.Serving) {
			s.Down[i] = true
		}
		if m.Known() && now-m.Since < permit.MostLease {
			s.Young[i] = true
		}
	}
	if p.set.Caches == nil {
		return s
	}
	s.Caches, s.CachesDown = map[uint32]int{}, map[uint32]bool{}
	for _, c := range p.set.Caches() {
		if s.Caches[c.ID] = c.Zone; c.Avoided {
			s.CachesDown[c.ID] = true
		}
	}
	return s
}

// change is what a turn of the permits asks of this router.
type change int

const (
	same change = iota
	goOut
	comeBack
)

// turn lets permits go on, and tells what they ask for; p.mu is held.
func (p *Peers) turn() change {
	a := p.set.Agent
	if a == nil {
		return same
	}
	p.seen = nil
	now := p.now()
	a.Tick(now)
	p.keeper.Tick(now)
	held := a.Phase(now) == permit.Holding
	switch {
	case held && !p.out:
		p.out = true
		return goOut
	case p.out && (!held || a.Left(now) < backBefore):
		p.out = false
		return comeBack
	}
	return same
}

// act does what a turn has asked for. Before a permit that was lost is given back this router serves again.
func (p *Peers) act(c change) {
	switch c {
	case goOut:
		slog.Info("permit held", "router", p.set.Self)
		p.set.Out(true)
	case comeBack:
		p.set.Out(false)
		slog.Warn("permit lost, serving again", "router", p.set.Self)
		p.giveBack()
	}
}

func (p *Peers) giveBack() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.set.Agent.Return(p.now())
	p.flush()
}

// GoOut asks the fleet that this router may be out, and has it drained once the fleet lets it. It tells how that stands.
func (p *Peers) GoOut() Out {
	p.mu.Lock()
	p.set.Agent.Want(p.now())
	p.flush()
	p.mu.Unlock()
	return p.Out()
}

// ComeBack has this router serve again, or want no permit any more.
func (p *Peers) ComeBack() Out {
	p.acting.Lock()
	defer p.acting.Unlock()
	p.mu.Lock()
	was := p.out
	p.out = false
	p.mu.Unlock()
	if was {
		p.set.Out(false)
		slog.Info("permit given back", "router", p.set.Self)
	}
	p.giveBack()
	return p.Out()
}

// Bounds are how many routers and slot caches may be out; a zone's zero value is any number.
type Bounds struct{ Fleet, Zone, Caches, CacheZone permit.Bound }

// Bound changes how many may be out. Who is out by a permit that the new bounds would not give stays so to its end.
func (p *Peers) Bound(b Bounds) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.set.Agent
	a.Fleet, a.PerZone, a.Caches, a.OfZone = b.Fleet, b.Zone, b.Caches, b.CacheZone
}

// Out is how this router's permit stands, and which others it knows of.
type Out struct {
	State   string   `json:"state"` // none, asking, out or ended
	Left    float64  `json:"left_s,omitempty"`
	Why     string   `json:"why,omitempty"` // it was refused
	Most    int      `json:"most"`          // routers that may be out at once
	Elector bool     `json:"elector"`
	Silent  bool     `json:"silent,omitempty"` // an elector that has just started and grants nothing yet
	Holders []string `json:"holders,omitempty"`
}

// holder says who has a place.
func holder(h permit.Holder) string {
	text := fmt.Sprintf("router %d has place %d of ", h.Router, h.Slot.Number)
	switch g := h.Slot.Group; {
	case g == permit.WholeFleet:
		return text + "the fleet"
	case g < permit.AllCaches:
		return text + fmt.Sprintf("zone %d", g-permit.FirstZone)
	case g == permit.AllCaches:
		return text + "slot caches"
	case g < permit.Releases:
		return text + fmt.Sprintf("slot caches of zone %d", g-permit.FirstCacheZone)
	}
	return text + "releases"
}

// Out tells how permits stand here.
func (p *Peers) Out() Out {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.set.Agent.Status(p.now())
	o := Out{State: [...]string{permit.Idle: "none", permit.Asking: "asking", permit.Holding: "out", permit.Ended: "ended"}[s.Phase],
		Left: s.Left.Seconds(), Why: s.Why, Most: p.set.Agent.Fleet.Of(p.set.Agent.Of), Elector: s.Elector, Silent: s.Silent}
	for _, h := range s.Holders {
		o.Holders = append(o.Holders, holder(h))
	}
	return o
}
