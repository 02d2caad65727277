package model

import (
	"math/rand/v2"
	"time"
)

// Phase is the state of a server in the list of server discovery.
type Phase uint8

// The phases.
const (
	Removed Phase = iota
	Draining
	Ready
)

// Member is one entry of the server list.
type Member struct {
	ID          uint32 // the same at every router and after a restart
	ServerIndex int    // number that identifies the server to Dial
	Addr        int    // address; a new server may reuse the address of one that has left
	Zone        int
	Kind        int // index of the kind of machine; for the origin, the number of kinds
	Cell        int
	Phase       Phase
	Weight      float64
	Started     time.Duration // 0 if the process started before the day
	Origin      bool
}

// ListUpdate is what server discovery sends to a router.
type ListUpdate struct {
	Complete bool // Members is the complete list; otherwise it holds only the changes
	Failed   bool // a request failed or a watch broke; Members is empty
	Members  []Member
}

// Discovery lists servers. It learns of changes late, and its capacity is limited.
type Discovery struct {
	w         *World
	settings  *DiscoverySettings
	random    *rand.Rand
	members   []Member // by index, including removed servers
	changes   []change // in order of version
	version   int
	watchers  []*watcher    // by router
	busyUntil time.Duration // time at which all earlier requests are answered
	down      bool
}

type change struct {
	version int
	index   int
}

// watcher is the state of one router's watch.
type watcher struct {
	notify      func(ListUpdate)
	active      bool
	version     int // version last sent
	pushPending bool
}

func (w *World) newDiscovery() *Discovery {
	discovery := &Discovery{w: w, settings: &w.day.Discovery, random: NewRandom(w.day.Seed, "directory", 0)}
	for range w.day.Routers {
		discovery.watchers = append(discovery.watchers, &watcher{})
	}
	return discovery
}

// Register registers the callback of a router, which holds the list of the given version.
func (d *Discovery) Register(router, version int, notify func(ListUpdate)) {
	d.watchers[router] = &watcher{notify: notify, version: min(version, d.version)}
}

// Members returns all servers that are not removed.
func (d *Discovery) Members() []Member {
	var list []Member
	for _, m := range d.members {
		if m.Phase != Removed {
			list = append(list, m)
		}
	}
	return list
}

// Version returns the number of changes so far.
func (d *Discovery) Version() int { return d.version }

// Request handles a request of a router: for the complete list if wantList is set, to start a watch if wantWatch
// is set, and otherwise to end its watch. callback receives the result; if it is nil, the callback of the
// watch does.
func (d *Discovery) Request(router int, wantList, wantWatch bool, callback func(ListUpdate)) {
	watch := d.watchers[router]
	if callback == nil {
		callback = watch.notify
	}
	if !wantList && !wantWatch {
		watch.active = false
		return
	}
	now := d.w.Now()
	cost := 1 / d.settings.Capacity
	d.busyUntil = max(d.busyUntil, now) + seconds(cost)
	wait := d.busyUntil - now
	delay := 2 * d.w.day.Net.Cross.Std()
	if d.down || wait > d.settings.Timeout.Std() {
		if wait > d.settings.Timeout.Std() {
			d.busyUntil -= seconds(cost)
		}
		d.w.After(min(wait, d.settings.Timeout.Std())+delay, func() { callback(ListUpdate{Failed: true}) })
		return
	}
	d.w.After(wait+delay, func() {
		if d.down {
			callback(ListUpdate{Failed: true})
			return
		}
		complete := wantList || watch.version == 0
		var update ListUpdate
		if update.Complete = complete; complete {
			update.Members = d.Members()
		} else {
			update.Members = d.changedSince(watch.version)
		}
		if watch.version = d.version; !wantList {
			watch.active = true
		}
		callback(update)
	})
}

// member returns the list entry of a server. A server that was never listed has the phase Removed.
func (d *Discovery) member(index int) Member {
	if index >= len(d.members) {
		return Member{ServerIndex: index}
	}
	return d.members[index]
}

// changedSince returns the members that changed after a version, each once.
func (d *Discovery) changedSince(version int) []Member {
	var list []Member
	seen := map[int]bool{}
	for i := len(d.changes) - 1; i >= 0 && d.changes[i].version > version; i-- {
		if server := d.changes[i].index; !seen[server] {
			seen[server] = true
			list = append(list, d.members[server])
		}
	}
	return list
}

// setMember changes the entry of a server and notifies the watching routers.
func (d *Discovery) setMember(m Member) {
	for len(d.members) <= m.ServerIndex {
		d.members = append(d.members, Member{ServerIndex: len(d.members)})
	}
	if d.members[m.ServerIndex] == m {
		return
	}
	d.members[m.ServerIndex] = m
	d.version++
	d.changes = append(d.changes, change{d.version, m.ServerIndex})
	d.w.observer.Listed(m)
	if d.down {
		return
	}
	for _, watch := range d.watchers {
		d.pushChanges(watch)
	}
}

// pushChanges sends a router the changes that it has not received yet, after a short delay.
func (d *Discovery) pushChanges(watch *watcher) {
	if !watch.active || watch.pushPending {
		return
	}
	watch.pushPending = true
	d.w.After(seconds(d.random.Float64()*d.settings.Spread.Seconds())+d.w.day.Net.Cross.Std(), func() {
		watch.pushPending = false
		if !watch.active || d.down || watch.version == d.version {
			return
		}
		update := ListUpdate{Members: d.changedSince(watch.version)}
		watch.version = d.version
		watch.notify(update)
	})
}

// setDown starts or ends an outage of discovery. An outage breaks all watches.
func (d *Discovery) setDown(down bool) {
	d.down = down
	for _, watch := range d.watchers {
		if down && watch.active {
			watch.active = false
			d.w.After(d.w.day.Net.Cross.Std(), func() { watch.notify(ListUpdate{Failed: true}) })
		}
	}
}

// drawDelay draws the time from a change to its listing.
func (d *Discovery) drawDelay(limits [2]time.Duration) time.Duration {
	return limits[0] + seconds(d.random.Float64()*(limits[1]-limits[0]).Seconds())
}

func (d *Discovery) noticeDelay() time.Duration {
	return d.drawDelay([2]time.Duration{d.settings.NoticeDelay[0].Std(), d.settings.NoticeDelay[1].Std()})
}

func (d *Discovery) deathDelay() time.Duration {
	return d.drawDelay([2]time.Duration{d.settings.DeathDelay[0].Std(), d.settings.DeathDelay[1].Std()})
}
