package peers

import (
	"fmt"
	"time"

	"hoptiller/internal/fleet/view"
)

// Member is one router in a Report.
type Member struct {
	Number   int     `json:"number"`
	State    string  `json:"state"` // alive, suspect, dead, left, or unknown: never heard of
	Phase    string  `json:"phase,omitempty"`
	Start    string  `json:"start,omitempty"` // of its process, by its own clock
	Life     string  `json:"life,omitempty"`  // its incarnation
	Since    float64 `json:"since_s"`         // how long it has been in its state
	Version  string  `json:"version,omitempty"`
	Settings string  `json:"settings,omitempty"`
	Rate     int     `json:"requests_per_s"`
	Zone     *int    `json:"zone,omitempty"` // its number, if it is told
	Twice    bool    `json:"number_taken_twice,omitempty"`
}

// Cache is what some router saw of a slot cache before the list told it.
type Cache struct {
	ID    string  `json:"id"`
	State string  `json:"state"`
	Age   float64 `json:"age_s"`
}

// Charges are what operators have asked of the whole fleet.
type Charges struct {
	Drains  []Drained `json:"drains,omitempty"` // slot caches that are out
	Release *Running  `json:"release,omitempty"`
}

// Report is a router's view as operators read it.
type Report struct {
	Self    int      `json:"self"`
	Sum     string   `json:"sum"` // the same in all views that say the same
	Members []Member `json:"members"`
	Caches  []Cache  `json:"caches,omitempty"`
	Out     *Out     `json:"out,omitempty"` // who is out by permit, as this router knows
	Charges
	Summary
}

// Summary is what stands in the metrics.
type Summary struct {
	Alive         int    `json:"alive"`
	Suspect       int    `json:"suspect"`
	Dead          int    `json:"dead"`
	Left          int    `json:"left"`
	Unknown       int    `json:"unknown"`
	Health        int    `json:"health"` // 0 is best
	Sent          uint64 `json:"datagrams_sent"`
	SentBytes     uint64 `json:"bytes_sent"`
	Received      uint64 `json:"datagrams_received"`
	ReceivedBytes uint64 `json:"bytes_received"`
	Bad           uint64 `json:"datagrams_bad"`
	Strange       uint64 `json:"datagrams_strange"`
	SendFailed    uint64 `json:"datagrams_not_sent"`
	ProbesFailed  uint64 `json:"probes_failed"`
	Contradicted  uint64 `json:"contradicted"`
	Stalls        uint64 `json:"stalls"`
	Twice         int    `json:"number_taken_twice"`
}

// Summary counts the fleet as it is seen.
func (p *Peers) Summary() *Summary {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.summary()
}

// Sum is the same for two views that say the same of all routers, up to suspicions.
func (p *Peers) Sum() uint32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Sum()
}

func (p *Peers) summary() *Summary {
	c := p.view.Counts()
	s := &Summary{Health: p.view.Health(), Sent: c.Sent, SentBytes: c.SentBytes, Received: c.Received, ReceivedBytes: c.ReceivedBytes,
		Bad: c.Bad, Strange: c.Strange, SendFailed: p.sendFails, ProbesFailed: c.ProbesFailed, Contradicted: c.Contradicted, Stalls: c.Stalls,
		Twice: p.view.Twice()}
	if p.keeper != nil {
		s.Bad += p.keeper.Bad()
	}
	for i := range p.view.Members() {
		m := &p.view.Members()[i]
		switch {
		case !m.Known():
			s.Unknown++
		default:
			*[...]*int{view.Alive: &s.Alive, view.Suspect: &s.Suspect, view.Dead: &s.Dead, view.Left: &s.Left}[m.State]++
		}
	}
	return s
}

// Report is the whole view.
func (p *Peers) Report() *Report {
	var out *Out
	if p.set.Agent != nil {
		o := p.Out()
		out = &o
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	r := &Report{Self: p.set.Self, Sum: fmt.Sprintf("%08x", p.view.Sum()), Summary: *p.summary(), Out: out}
	if p.keeper != nil {
		if p.set.Aside != nil {
			r.Drains = p.drained()
		}
		if running, known := p.running(); known {
			r.Release = &running
		}
	}
	for i := range p.view.Members() {
		m := &p.view.Members()[i]
		if !m.Known() {
			r.Members = append(r.Members, Member{Number: i, State: "unknown"})
			continue
		}
		x := Member{Number: i, State: m.State.String(), Phase: m.Phase.String(), Since: (now - m.Since).Seconds(),
			Start: time.UnixMilli(m.Inc.Start).UTC().Format(time.RFC3339Nano), Life: fmt.Sprintf("%d.%d", m.Inc.Start, m.Inc.Count)}
		if d := &m.Details; d.Seq != 0 {
			if d.Zone > 0 {
				zone := int(d.Zone) - 1
				x.Zone = &zone
			}
			x.Version, x.Settings, x.Rate, x.Twice = fmt.Sprintf("%08x", d.Version), fmt.Sprintf("%08x", d.Settings), int(d.Rate), d.Twice
		}
		r.Members = append(r.Members, x)
	}
	for _, s := range p.view.Sights(now) {
		r.Caches = append(r.Caches, Cache{fmt.Sprintf("s-%08x", s.Cache), map[view.SightState]string{view.SeenDown: "down", view.SeenBack: "back"}[s.State],
			s.Age.Seconds()})
	}
	return r
}

// Saw tells the fleet what this router saw of a slot cache. It waits for nothing: callers carry requests.
func (p *Peers) Saw(cache uint32, state view.SightState) {
	p.sawMu.Lock()
	defer p.sawMu.Unlock()
	if p.saw == nil {
		p.saw = map[uint32]view.SightState{}
	}
	if _, known := p.saw[cache]; known || len(p.saw) < view.MostSights {
		p.saw[cache] = state
	}
}
