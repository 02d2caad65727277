package peers

import (
	"fmt"
	"time"

	"hoptiller/internal/fleet/view"
)

// Member is a router in a Report.
type Member struct {
	Number          int     `json:"number"`
	State           string  `json:"state"` // alive, suspect, dead, left, or unknown if the router was never heard of
	Phase           string  `json:"phase,omitempty"`
	Start           string  `json:"start,omitempty"`    // start time of the router's process by its own clock
	Incarnation     string  `json:"life,omitempty"`     // incarnation: start in ms since 1970, a dot, count
	SinceSeconds    float64 `json:"since_s"`            // seconds since the state or the process changed last
	VersionHash     string  `json:"version,omitempty"`  // hash of the program's version in hexadecimal digits
	SettingsHash    string  `json:"settings,omitempty"` // hash of the settings in hexadecimal digits
	RequestRate     int     `json:"requests_per_s"`
	Zone            *int    `json:"zone,omitempty"`               // number of the router's zone, if it is known
	DuplicateNumber bool    `json:"number_taken_twice,omitempty"` // another router uses the same number
}

// CacheObservation is what a router observed of a slot cache before the list of cache servers showed it.
type CacheObservation struct {
	ID         string  `json:"id"`
	State      string  `json:"state"` // down or back
	AgeSeconds float64 `json:"age_s"`
}

// FleetLeases are the drains of slot caches and the release that operators have requested of the whole fleet.
type FleetLeases struct {
	Drains  []CacheDrain    `json:"drains,omitempty"` // slot caches that are drained or are to be drained
	Release *RunningRelease `json:"release,omitempty"`
}

// Report is a router's view of the fleet, for operators.
type Report struct {
	Self         int                `json:"self"`
	Checksum     string             `json:"sum"` // checksum, equal in all views that agree
	Members      []Member           `json:"members"`
	Observations []CacheObservation `json:"caches,omitempty"` // observations of slot caches
	Permit       *PermitStatus      `json:"out,omitempty"`    // permits that this router knows
	FleetLeases
	Summary
}

// Summary is the part of a Report that the metrics show. The numbers of datagrams, bytes and other events are since the start.
type Summary struct {
	Alive          int    `json:"alive"`
	Suspect        int    `json:"suspect"`
	Dead           int    `json:"dead"`
	Left           int    `json:"left"`
	Unknown        int    `json:"unknown"`
	HealthScore    int    `json:"health"` // score from 0, the best, to 4
	Sent           uint64 `json:"datagrams_sent"`
	SentBytes      uint64 `json:"bytes_sent"`
	Received       uint64 `json:"datagrams_received"`
	ReceivedBytes  uint64 `json:"bytes_received"`
	Undecodable    uint64 `json:"datagrams_bad"`
	Misaddressed   uint64 `json:"datagrams_strange"`
	SendFailures   uint64 `json:"datagrams_not_sent"`
	ProbesFailed   uint64 `json:"probes_failed"`
	Refutations    uint64 `json:"contradicted"`
	Stalls         uint64 `json:"stalls"`
	DuplicateCount int    `json:"number_taken_twice"` // see view.View.DuplicateCount
}

// Summary returns the current summary.
func (p *Peers) Summary() *Summary {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.summary()
}

// Checksum returns a checksum of the view. It is equal for two views that agree on all routers, suspicions aside.
func (p *Peers) Checksum() uint32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Checksum()
}

// summary returns the current summary. The caller holds p.mu.
func (p *Peers) summary() *Summary {
	counts := p.view.Counts()
	s := &Summary{HealthScore: p.view.HealthScore(), Sent: counts.Sent, SentBytes: counts.SentBytes, Received: counts.Received,
		ReceivedBytes: counts.ReceivedBytes, Undecodable: counts.Undecodable, Misaddressed: counts.Misaddressed,
		SendFailures: p.sendFailures, ProbesFailed: counts.ProbesFailed, Refutations: counts.Refutations, Stalls: counts.Stalls,
		DuplicateCount: p.view.DuplicateCount()}
	if p.leases != nil {
		s.Undecodable += p.leases.RejectedDatagrams()
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

// Report returns the current report.
func (p *Peers) Report() *Report {
	var permitStatus *PermitStatus
	if p.settings.Agent != nil {
		status := p.PermitStatus()
		permitStatus = &status
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	r := &Report{Self: p.settings.Self, Checksum: fmt.Sprintf("%08x", p.view.Checksum()), Summary: *p.summary(), Permit: permitStatus}
	if p.leases != nil {
		if p.settings.Drains != nil {
			r.Drains = p.reportDrains()
		}
		if running, known := p.runningRelease(); known {
			r.Release = &running
		}
	}
	for i := range p.view.Members() {
		m := &p.view.Members()[i]
		if !m.Known() {
			r.Members = append(r.Members, Member{Number: i, State: "unknown"})
			continue
		}
		member := Member{Number: i, State: m.State.String(), Phase: m.Phase.String(), SinceSeconds: (now - m.Since).Seconds(),
			Start: time.UnixMilli(m.Incarnation.Start).UTC().Format(time.RFC3339Nano), Incarnation: fmt.Sprintf("%d.%d", m.Incarnation.Start, m.Incarnation.Count)}
		if d := &m.Details; d.Seq != 0 {
			if d.Zone > 0 {
				zone := int(d.Zone) - 1
				member.Zone = &zone
			}
			member.VersionHash, member.SettingsHash, member.RequestRate, member.DuplicateNumber =
				fmt.Sprintf("%08x", d.VersionHash), fmt.Sprintf("%08x", d.SettingsHash), int(d.RequestRate), d.DuplicateNumber
		}
		r.Members = append(r.Members, member)
	}
	for _, o := range p.view.Observations(now) {
		r.Observations = append(r.Observations, CacheObservation{fmt.Sprintf("s-%08x", o.CacheID),
			map[view.ObservedState]string{view.ObservedDown: "down", view.ObservedUp: "back"}[o.State], o.Age.Seconds()})
	}
	return r
}

// Observe records what this router observed of a slot cache, to be spread with the next tick. It doesn't wait for the view,
// because its callers are processing requests.
func (p *Peers) Observe(cache uint32, state view.ObservedState) {
	p.pendingMu.Lock()
	defer p.pendingMu.Unlock()
	if p.pendingObservations == nil {
		p.pendingObservations = map[uint32]view.ObservedState{}
	}
	if _, known := p.pendingObservations[cache]; known || len(p.pendingObservations) < view.MaxObservations {
		p.pendingObservations[cache] = state
	}
}
