package peers

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"hoptiller/internal/fleet/drains"
	"hoptiller/internal/fleet/notes"
	"hoptiller/internal/fleet/permit"
)

// Drained is a slot cache that is out by operators' word, or that this router asks to be.
type Drained struct {
	Cache  string  `json:"cache"`
	State  string  `json:"state"` // asking, or out
	Why    string  `json:"why,omitempty"`
	Router int     `json:"router"` // that keeps it so
	Ends   float64 `json:"ends_s"` // by itself, in so many seconds
}

// MostDrain is the longest that a slot cache may be drained for.
const MostDrain = 7 * 24 * time.Hour

// A drain's note says over how many ms it comes, and whether it has.
func drainBody(d drains.Drain) string {
	b := binary.BigEndian.AppendUint32(nil, uint32(d.Over.Milliseconds()))
	if d.Whole {
		return string(append(b, 1))
	}
	return string(append(b, 0))
}

func readDrain(body string) drains.Drain {
	if len(body) != 5 {
		return drains.Drain{} // of another version: at once
	}
	return drains.Drain{Over: time.Duration(binary.BigEndian.Uint32([]byte(body))) * time.Millisecond, Whole: body[4] == 1}
}

// saidOf is what was logged of a slot cache that is drained.
type saidOf struct {
	name  string
	whole bool
}

// drains are the slot caches that are out, and are logged as they change; p.mu is held. The name stands in the event's kind, which
// is what the log bounds: each slot cache's drain is told, however many there are.
func (p *Peers) drains() map[uint32]drains.Drain {
	if p.keeper == nil || p.set.Aside == nil {
		return nil
	}
	now := p.now()
	out := map[uint32]drains.Drain{}
	for _, n := range p.keeper.All(now) {
		if n.Kind == notes.Release && int(n.Owner) != p.keeps {
			p.keeps, p.driverAt = int(n.Owner), now // whoever keeps it from now on has not heard its driver yet, who may be there
		}
		if n.Kind != notes.Cache {
			continue
		}
		d := readDrain(n.Body)
		out[n.ID] = d
		s := p.said[n.ID]
		if s == nil {
			s = &saidOf{name: p.cacheName(n.ID)}
			p.said[n.ID] = s
			slog.Info("slot cache "+s.name+" drained", "router", n.Owner, "over", d.Over)
		}
		if whole := p.set.Aside.Whole(n.ID); whole && !s.whole {
			s.whole = true
			slog.Info("slot cache " + s.name + " gets nothing new")
			d.Whole = true                            // who learns of it from now on need not begin
			p.keeper.Change(now, n.Key, drainBody(d)) // no matter if another router keeps it: that one says so
		}
	}
	for id, s := range p.said {
		if _, still := out[id]; !still {
			slog.Info("slot cache " + s.name + " drained no more")
			delete(p.said, id)
		}
	}
	return out
}

func (p *Peers) cacheName(id uint32) string {
	if name := p.set.Aside.Name(id); name != "" {
		return name
	}
	return fmt.Sprintf("s-%08x", id)
}

// ErrNoCache says that no slot cache of this name is listed.
var ErrNoCache = errors.New("no slot cache of this name is listed")

// DrainCache asks the fleet that a slot cache may be out, and has it drained by all routers once the fleet lets it, over a
// time; it serves again after a time by itself. The error is ErrNoCache, or one of package notes.
func (p *Peers) DrainCache(name string, last, over time.Duration) error {
	s, ok := p.set.Aside.Find(name)
	if !ok {
		return ErrNoCache
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.flush()
	key := notes.Key{Kind: notes.Cache, ID: s.ID}
	return p.keeper.Ask(p.now(), key, p.set.Agent.CacheGroups(s.Zone), drainBody(drains.Drain{Over: over}), last)
}

// ActivateCache has a slot cache serve again, whichever router was asked to drain it.
func (p *Peers) ActivateCache(name string) error {
	s, listed := p.set.Aside.Find(name)
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.flush()
	key := notes.Key{Kind: notes.Cache, ID: s.ID}
	if !listed { // it may be drained still
		key.ID = 0
		for id, said := range p.said {
			if said.name == name {
				key.ID = id
			}
		}
		if key.ID == 0 {
			return ErrNoCache
		}
	}
	return p.keeper.Undo(p.now(), key)
}

// drained is for the report; p.mu is held.
func (p *Peers) drained() (list []Drained) {
	now := p.now()
	told := map[notes.Key]bool{}
	for _, n := range p.keeper.All(now) {
		if n.Kind == notes.Cache {
			told[n.Key] = true
			list = append(list, Drained{Cache: p.cacheName(n.ID), State: "out", Router: int(n.Owner), Ends: n.Ends.Seconds()})
		}
	}
	for _, key := range p.keeper.Kept() {
		if key.Kind == notes.Cache && !told[key] {
			_, why := p.keeper.Stand(now, key)
			list = append(list, Drained{Cache: p.cacheName(key.ID), State: "asking", Why: why, Router: p.set.Self, Ends: p.keeper.Ends(now, key).Seconds()})
		}
	}
	return list
}

// releaseKey is the one of a fleet's release: there is one at a time.
var releaseKey = notes.Key{Kind: notes.Release, ID: 1}

const (
	// DriverTime is how long after its last word a release's driver is taken for gone.
	DriverTime = 15 * time.Second
	// releaseTime is how long the fleet remembers a release whose driver is gone.
	releaseTime = 24 * time.Hour

	// Names of releases and drivers, and what a driver says of where it stands, have so many bytes at the most: a note's body has
	// room for these. A driver that replaces more routers than the last one can name says that they are many.
	MostName  = 24
	MostBy    = 28
	MostStage = 64
)

// Running is a release that the fleet knows.
type Running struct {
	ID     string `json:"id"`
	By     string `json:"by"`    // the driver
	Stage  string `json:"stage"` // as the driver said last
	Router int    `json:"router"`
	State  string `json:"state"` // asking, or held
	Why    string `json:"why,omitempty"`
}

// ErrRuns says that another driver, or another release, has the fleet.
type ErrRuns struct {
	Running
	Gone bool // this router keeps it, and its driver has not spoken for long
}

// Error implements error.
func (e *ErrRuns) Error() string {
	text := fmt.Sprintf("release %s is run by %s (%s), kept by router %d", e.ID, e.By, e.Stage, e.Router)
	if e.Gone {
		text += "; its driver is gone: go on with it or end it first"
	}
	return text
}

// ErrEnded says that operators have ended a release.
var ErrEnded = errors.New("the release was ended")

func releaseBody(id, by, stage string) string {
	if len(stage) > MostStage {
		stage = stage[:MostStage]
	}
	return id + "\n" + by + "\n" + stage
}

// GoOnRelease says that a driver runs a release and where it stands, and asks for the fleet's one place for releases if it has it
// not. It wants to be called more often than every DriverTime. Another driver of the same release takes it over once the former
// one has not spoken for that long. With only, nothing is asked for anew: what was ended stays so.
func (p *Peers) GoOnRelease(id, by, stage string, only bool) (Running, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.flush()
	if id == "" || by == "" || len(id) > MostName || len(by) > MostBy || strings.Contains(id+by+stage, "\n") {
		return Running{}, fmt.Errorf("a release has a name of 1 to %d bytes, and its driver one of 1 to %d", MostName, MostBy)
	}
	now := p.now()
	body := releaseBody(id, by, stage)
	was, known := p.running()
	switch {
	case !known && only:
		if n, _, told := p.keeper.Get(now, releaseKey); told && n.Off {
			return Running{}, ErrEnded
		}
		return Running{}, notes.ErrNone
	case !known:
		if err := p.keeper.Ask(now, releaseKey, []uint16{permit.Releases}, body, releaseTime); err != nil {
			return Running{}, err
		}
	case was.ID == id && was.By == by || was.ID == id && was.Router == p.set.Self && now-p.driverAt > DriverTime:
		if err := p.keeper.Renew(now, releaseKey, body, releaseTime); err != nil {
			return Running{}, err
		}
	default:
		here := was.Router == p.set.Self
		return Running{}, &ErrRuns{Running: was, Gone: here && now-p.driverAt > DriverTime}
	}
	p.driverAt = now
	r, _ := p.running()
	return r, nil
}

// EndRelease frees the fleet of a release.
func (p *Peers) EndRelease(id string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.flush()
	if r, known := p.running(); !known || r.ID != id {
		return notes.ErrNone
	}
	return p.keeper.Undo(p.now(), releaseKey)
}

// running is the release that is known here; p.mu is held.
func (p *Peers) running() (r Running, known bool) {
	now := p.now()
	n, _, told := p.keeper.Get(now, releaseKey)
	body, owner, state := n.Body, int(n.Owner), "held"
	if !told || n.Off {
		own, asks := p.keeper.Wanted(releaseKey)
		if !asks {
			return Running{}, false
		}
		body, owner, state = own, p.set.Self, "asking"
		_, r.Why = p.keeper.Stand(now, releaseKey)
	}
	parts := append(strings.SplitN(body, "\n", 3), "", "", "")
	r.ID, r.By, r.Stage, r.Router, r.State = parts[0], parts[1], parts[2], owner, state
	return r, true
}
