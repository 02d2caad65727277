package peers

import (
	"fmt"
	"log/slog"
	"time"

	"hoptiller/internal/fleet/permit"
	"hoptiller/internal/fleet/view"
)

// returnMargin is how long before the end of its permit a router returns to service if it can't renew the permit.
const returnMargin = 3 * time.Second

// fleetStateTTL is how long a computed state of the fleet is reused. Hundreds of permit requests may arrive at once, and
// computing the state takes a pass over all members and servers.
const fleetStateTTL = 50 * time.Millisecond

// fleetState returns the state of the fleet by which this router decides on permit requests. The caller holds p.mu.
func (p *Peers) fleetState() permit.FleetState {
	if now := p.now(); p.cachedState == nil || now-p.cachedStateAt >= fleetStateTTL {
		state := p.computeFleetState(now)
		p.cachedState, p.cachedStateAt = &state, now
	}
	return *p.cachedState
}

func (p *Peers) computeFleetState(now time.Duration) permit.FleetState {
	state := permit.FleetState{DownRouters: map[int]bool{}, RecentlyStarted: map[int]bool{},
		RouterZone: func(i int) int { return int(p.view.Members()[i].Details.Zone) - 1 }}
	for i := range p.view.Members() {
		m := &p.view.Members()[i]
		if m.AssumedAlive() {
			state.AliveCount++
		}
		if m.Known() && (m.State != view.Alive || m.Phase != view.Serving) {
			state.DownRouters[i] = true
		}
		if m.Known() && now-m.Since < permit.MaxLease {
			state.RecentlyStarted[i] = true
		}
	}
	if p.settings.Caches == nil {
		return state
	}
	state.CacheZones, state.DownCaches = map[uint32]int{}, map[uint32]bool{}
	for _, cache := range p.settings.Caches() {
		if state.CacheZones[cache.ID] = cache.Zone; cache.Avoided {
			state.DownCaches[cache.ID] = true
		}
	}
	return state
}

// serviceChange is what this router has to do after its permit has changed.
type serviceChange int

const (
	noChange serviceChange = iota
	goOutOfService
	returnToService
)

// tickPermits advances the permits and leases, and returns what this router's own permit requires of it. The caller holds p.mu.
func (p *Peers) tickPermits() serviceChange {
	agent := p.settings.Agent
	if agent == nil {
		return noChange
	}
	p.cachedState = nil
	now := p.now()
	agent.Tick(now)
	p.leases.Tick(now)
	held := agent.Phase(now) == permit.Holding
	switch {
	case held && !p.outOfService:
		p.outOfService = true
		return goOutOfService
	case p.outOfService && (!held || agent.Remaining(now) < returnMargin):
		p.outOfService = false
		return returnToService
	}
	return noChange
}

// apply carries out a change of service. This router serves again before it returns a permit that it has lost.
func (p *Peers) apply(change serviceChange) {
	switch change {
	case goOutOfService:
		slog.Info("permit held", "router", p.settings.Self)
		p.settings.SetOutOfService(true)
	case returnToService:
		p.settings.SetOutOfService(false)
		slog.Warn("permit lost, serving again", "router", p.settings.Self)
		p.returnPermit()
	}
}

func (p *Peers) returnPermit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settings.Agent.Release(p.now())
	p.flush()
}

// GoOutOfService requests a permit for this router to be out of service, and returns the status of the permit. Once the permit is
// granted, this router is drained.
func (p *Peers) GoOutOfService() PermitStatus {
	p.mu.Lock()
	p.settings.Agent.Acquire(p.now())
	p.flush()
	p.mu.Unlock()
	return p.PermitStatus()
}

// ReturnToService returns this router to service, or cancels its request for a permit.
func (p *Peers) ReturnToService() PermitStatus {
	p.serviceMu.Lock()
	defer p.serviceMu.Unlock()
	p.mu.Lock()
	wasOut := p.outOfService
	p.outOfService = false
	p.mu.Unlock()
	if wasOut {
		p.settings.SetOutOfService(false)
		slog.Info("permit given back", "router", p.settings.Self)
	}
	p.returnPermit()
	return p.PermitStatus()
}

// Bounds limit how many routers and slot caches may be out of service at once. The zero value of a limit per zone means no
// limit.
type Bounds struct{ Fleet, Zone, Caches, CacheZone permit.Bound }

// SetBounds sets the bounds. A permit that was granted under other bounds stays valid until it ends.
func (p *Peers) SetBounds(b Bounds) {
	p.mu.Lock()
	defer p.mu.Unlock()
	agent := p.settings.Agent
	agent.MaxRouters, agent.MaxRoutersPerZone, agent.MaxCaches, agent.MaxCachesPerZone = b.Fleet, b.Zone, b.Caches, b.CacheZone
}

// PermitStatus is the status of this router's permit, with the other permits that it knows as a voter.
type PermitStatus struct {
	State            string   `json:"state"`            // none, asking, out or ended
	RemainingSeconds float64  `json:"left_s,omitempty"` // seconds until the permit ends if it is not renewed
	Reason           string   `json:"why,omitempty"`    // why the permit was last refused
	MaxOutOfService  int      `json:"most"`             // number of routers that may be out of service at once
	Voter            bool     `json:"elector"`          // this router is a voter
	Silent           bool     `json:"silent,omitempty"` // this router is a voter that started recently and grants nothing yet
	Holders          []string `json:"holders,omitempty"`
}

// describeHolder names the holder of a slot and the group of the slot.
func describeHolder(h permit.Holder) string {
	text := fmt.Sprintf("router %d has place %d of ", h.Router, h.Slot.Number)
	switch group := h.Slot.Group; {
	case group == permit.GroupAllRouters:
		return text + "the fleet"
	case group < permit.GroupAllCaches:
		return text + fmt.Sprintf("zone %d", group-permit.GroupFirstRouterZone)
	case group == permit.GroupAllCaches:
		return text + "slot caches"
	case group < permit.GroupReleases:
		return text + fmt.Sprintf("slot caches of zone %d", group-permit.GroupFirstCacheZone)
	}
	return text + "releases"
}

// PermitStatus returns the status of this router's permit.
func (p *Peers) PermitStatus() PermitStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	status := p.settings.Agent.Status(p.now())
	out := PermitStatus{
		State: [...]string{
			permit.Idle: "none", permit.Requesting: "asking", permit.Holding: "out", permit.Ended: "ended",
		}[status.Phase],
		RemainingSeconds: status.Remaining.Seconds(), Reason: status.Reason, MaxOutOfService: p.settings.Agent.MaxRouters.Limit(p.settings.Agent.RouterCount),
		Voter: status.IsVoter, Silent: status.Silent}
	for _, h := range status.Holders {
		out.Holders = append(out.Holders, describeHolder(h))
	}
	return out
}
