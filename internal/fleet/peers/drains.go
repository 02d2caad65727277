package peers

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"hoptiller/internal/fleet/drains"
	"hoptiller/internal/fleet/leases"
	"hoptiller/internal/fleet/permit"
)

// CacheDrain is a slot cache that operators have drained, or for which this router has requested the permit to drain it.
type CacheDrain struct {
	Cache         string  `json:"cache"`
	State         string  `json:"state"`         // "asking" while the permit is requested, "out" while the slot cache is drained
	Reason        string  `json:"why,omitempty"` // why the permit was last refused
	Router        int     `json:"router"`        // number of the router that holds or requests the permit
	EndsInSeconds float64 `json:"ends_s"`        // seconds until the drain ends by itself
}

// MaxDrainDuration is the longest time for which a slot cache may be drained.
const MaxDrainDuration = 7 * 24 * time.Hour

// encodeDrain returns the body of a drain's lease: the time in ms over which the weight falls, and whether the drain is
// complete.
func encodeDrain(d drains.Drain) string {
	b := binary.BigEndian.AppendUint32(nil, uint32(d.Duration.Milliseconds()))
	if d.Complete {
		return string(append(b, 1))
	}
	return string(append(b, 0))
}

// decodeDrain decodes the body of a drain's lease.
func decodeDrain(body string) drains.Drain {
	if len(body) != 5 {
		return drains.Drain{} // a format of another version: drain at once
	}
	return drains.Drain{Duration: time.Duration(binary.BigEndian.Uint32([]byte(body))) * time.Millisecond, Complete: body[4] == 1}
}

// loggedDrain is what was logged about the drain of a slot cache.
type loggedDrain struct {
	cacheName string
	complete  bool
}

// currentDrains returns the slot caches that are drained and logs the changes since the last call. The caller holds p.mu.
// The messages contain the name of the slot cache, because the log limits the number of lines with the same message. So
// the drain of each slot cache is logged, regardless of their number.
func (p *Peers) currentDrains() map[uint32]drains.Drain {
	if p.leases == nil || p.settings.Drains == nil {
		return nil
	}
	now := p.now()
	current := map[uint32]drains.Drain{}
	for _, lease := range p.leases.All(now) {
		if lease.Kind == leases.KindRelease && int(lease.Owner) != p.releaseOwner {
			// The release has a new owner, which has not heard from the driver yet. Because the driver may still be running,
			// its DriverTimeout starts anew.
			p.releaseOwner, p.driverHeardAt = int(lease.Owner), now
		}
		if lease.Kind != leases.KindCache {
			continue
		}
		d := decodeDrain(lease.Body)
		current[lease.ID] = d
		logged := p.loggedDrains[lease.ID]
		if logged == nil {
			logged = &loggedDrain{cacheName: p.cacheName(lease.ID)}
			p.loggedDrains[lease.ID] = logged
			slog.Info("slot cache "+logged.cacheName+" drained", "router", lease.Owner, "over", d.Duration)
		}
		if complete := p.settings.Drains.IsDrained(lease.ID); complete && !logged.complete {
			logged.complete = true
			slog.Info("slot cache " + logged.cacheName + " gets nothing new")
			// Routers that learn of the drain from now on drain the slot cache at once.
			d.Complete = true
			p.leases.SetBody(now, lease.Key, encodeDrain(d)) // fails if another router owns the lease; that one changes it itself
		}
	}
	for id, logged := range p.loggedDrains {
		if _, stillDrained := current[id]; !stillDrained {
			slog.Info("slot cache " + logged.cacheName + " drained no more")
			delete(p.loggedDrains, id)
		}
	}
	return current
}

func (p *Peers) cacheName(id uint32) string {
	if name := p.settings.Drains.Name(id); name != "" {
		return name
	}
	return fmt.Sprintf("s-%08x", id)
}

// ErrUnknownCache is the error for the name of a slot cache that is not in the list of cache servers.
var ErrUnknownCache = errors.New("no slot cache of this name is listed")

// DrainCache requests a permit for draining a slot cache. Once it is granted, all routers drain the slot cache: its weight
// falls to zero over rampTime. The drain ends by itself after maxDuration. The error is ErrUnknownCache or one of package
// leases.
func (p *Peers) DrainCache(name string, maxDuration, rampTime time.Duration) error {
	server, ok := p.settings.Drains.FindByName(name)
	if !ok {
		return ErrUnknownCache
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.flush()
	key := leases.Key{Kind: leases.KindCache, ID: server.ID}
	return p.leases.Acquire(p.now(), key, p.settings.Agent.CacheGroups(server.Zone),
		encodeDrain(drains.Drain{Duration: rampTime}), maxDuration)
}

// ActivateCache ends the drain of a slot cache, whichever router was asked to drain it.
func (p *Peers) ActivateCache(name string) error {
	server, listed := p.settings.Drains.FindByName(name)
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.flush()
	key := leases.Key{Kind: leases.KindCache, ID: server.ID}
	if !listed { // the slot cache may still be drained
		key.ID = 0
		for id, logged := range p.loggedDrains {
			if logged.cacheName == name {
				key.ID = id
			}
		}
		if key.ID == 0 {
			return ErrUnknownCache
		}
	}
	return p.leases.End(p.now(), key)
}

// reportDrains returns the drained slot caches for a Report. The caller holds p.mu.
func (p *Peers) reportDrains() (list []CacheDrain) {
	now := p.now()
	granted := map[leases.Key]bool{}
	for _, lease := range p.leases.All(now) {
		if lease.Kind == leases.KindCache {
			granted[lease.Key] = true
			list = append(list, CacheDrain{Cache: p.cacheName(lease.ID), State: "out", Router: int(lease.Owner), EndsInSeconds: lease.EndsIn.Seconds()})
		}
	}
	for _, key := range p.leases.ManagedKeys() {
		if key.Kind == leases.KindCache && !granted[key] {
			_, reason := p.leases.Status(now, key)
			list = append(list, CacheDrain{Cache: p.cacheName(key.ID), State: "asking", Reason: reason, Router: p.settings.Self,
				EndsInSeconds: p.leases.EndsIn(now, key).Seconds()})
		}
	}
	return list
}

// releaseKey is the key of the fleet's release. There is one release at a time.
var releaseKey = leases.Key{Kind: leases.KindRelease, ID: 1}

const (
	// DriverTimeout is the time after which the driver of a release counts as gone if the router that owns the release has
	// not heard from it.
	DriverTimeout = 15 * time.Second
	// releaseDuration is how long the fleet keeps a release whose driver has gone.
	releaseDuration = 24 * time.Hour

	// The names of a release and of its driver, and the stage that the driver states, are limited to these numbers of bytes, so
	// that they fit into the body of a lease. A driver that replaces more routers than a stage can list states that they are
	// many.
	MaxReleaseName = 24
	MaxDriverName  = 28
	MaxStage       = 64
)

// RunningRelease is a release that the fleet runs or that this router has requested.
type RunningRelease struct {
	ID     string `json:"id"`
	Driver string `json:"by"`            // name of the driver
	Stage  string `json:"stage"`         // the stage that the driver stated last
	Router int    `json:"router"`        // number of the router that owns or requests the release
	State  string `json:"state"`         // "asking" while the permit is requested, "held" afterwards
	Reason string `json:"why,omitempty"` // why the permit was last refused
}

// ReleaseRunningError is the error of a driver's call while another driver runs the release, or while the fleet runs another
// release.
type ReleaseRunningError struct {
	RunningRelease
	DriverGone bool // this router owns the release and has not heard from its driver for DriverTimeout
}

// Error implements error.
func (e *ReleaseRunningError) Error() string {
	text := fmt.Sprintf("release %s is run by %s (%s), kept by router %d", e.ID, e.Driver, e.Stage, e.Router)
	if e.DriverGone {
		text += "; its driver is gone: continue the release or end it first"
	}
	return text
}

// ErrReleaseEnded is the error of a driver's call after operators have ended its release.
var ErrReleaseEnded = errors.New("the release was ended")

// encodeRelease returns the body of a release's lease.
func encodeRelease(id, driver, stage string) string {
	if len(stage) > MaxStage {
		stage = stage[:MaxStage]
	}
	return id + "\n" + driver + "\n" + stage
}

// DriveRelease states that a driver runs a release and in which stage the release is. If the fleet runs no release, it
// requests the fleet's only permit for releases, unless onlyExisting is set: the driver of a release that operators have
// ended must not start that release again. The driver has to call it more often than every DriverTimeout. After that time
// without a call, another driver of the same release can take over, at the router that owns the release.
func (p *Peers) DriveRelease(id, driver, stage string, onlyExisting bool) (RunningRelease, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.flush()
	if id == "" || driver == "" || len(id) > MaxReleaseName || len(driver) > MaxDriverName ||
		strings.Contains(id+driver+stage, "\n") {
		return RunningRelease{}, fmt.Errorf(
			"the name of a release must have 1 to %d bytes and that of its driver 1 to %d, without line breaks",
			MaxReleaseName, MaxDriverName)
	}
	now := p.now()
	body := encodeRelease(id, driver, stage)
	current, known := p.runningRelease()
	switch {
	case !known && onlyExisting:
		if lease, _, ok := p.leases.Get(now, releaseKey); ok && lease.Ended {
			return RunningRelease{}, ErrReleaseEnded
		}
		return RunningRelease{}, leases.ErrNotFound
	case !known:
		if err := p.leases.Acquire(now, releaseKey, []uint16{permit.GroupReleases}, body, releaseDuration); err != nil {
			return RunningRelease{}, err
		}
	case current.ID == id && current.Driver == driver ||
		current.ID == id && current.Router == p.settings.Self && now-p.driverHeardAt > DriverTimeout:
		if err := p.leases.Extend(now, releaseKey, body, releaseDuration); err != nil {
			return RunningRelease{}, err
		}
	default:
		isOwner := current.Router == p.settings.Self
		return RunningRelease{}, &ReleaseRunningError{RunningRelease: current, DriverGone: isOwner && now-p.driverHeardAt > DriverTimeout}
	}
	p.driverHeardAt = now
	running, _ := p.runningRelease()
	return running, nil
}

// EndRelease ends the fleet's release.
func (p *Peers) EndRelease(id string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.flush()
	if running, known := p.runningRelease(); !known || running.ID != id {
		return leases.ErrNotFound
	}
	return p.leases.End(p.now(), releaseKey)
}

// runningRelease returns the release that this router knows or has requested. The caller holds p.mu.
func (p *Peers) runningRelease() (running RunningRelease, known bool) {
	now := p.now()
	lease, _, granted := p.leases.Get(now, releaseKey)
	body, owner, state := lease.Body, int(lease.Owner), "held"
	if !granted || lease.Ended {
		requestedBody, requested := p.leases.Body(releaseKey)
		if !requested {
			return RunningRelease{}, false
		}
		body, owner, state = requestedBody, p.settings.Self, "asking"
		_, running.Reason = p.leases.Status(now, releaseKey)
	}
	parts := append(strings.SplitN(body, "\n", 3), "", "", "")
	running.ID, running.Driver, running.Stage, running.Router, running.State = parts[0], parts[1], parts[2], owner, state
	return running, true
}
