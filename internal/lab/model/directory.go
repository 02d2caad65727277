package model

import (
	"math/rand/v2"
	"time"
)

// Phase is where a server stands in its life, as the directory tells it.
type Phase uint8

// The phases.
const (
	Gone Phase = iota
	Draining
	Ready
)

// Member is one entry of the directory's list.
type Member struct {
	ID      uint32 // the same at every router and after a restart
	Index   int    // by which Dial names it
	Addr    int    // where it is found: that of one that has left may be taken over
	Zone    int
	Kind    int // that of the origin is the number of kinds
	Cell    int
	Phase   Phase
	Weight  float64
	Started time.Duration // 0: before the day
	Origin  bool
}

// Update is what the directory tells a router at a time.
type Update struct {
	Full    bool // all there is, else what has changed
	Failed  bool // a call has failed or a watch has broken: nothing else is told
	Members []Member
}

// Directory lists servers. It learns late of what happens, and it can do only so much.
type Directory struct {
	w       *World
	set     *ListSet
	rand    *rand.Rand
	list    []Member // by index, gone ones too
	log     []change // in order of version
	version int
	watches []*watch      // by router
	free    time.Duration // when the calls before are answered
	down    bool
}

type change struct {
	version int
	index   int
}

// watch is what the directory knows of one router.
type watch struct {
	told    func(Update)
	on      bool
	version int // last told
	pushing bool
}

func (w *World) newDirectory() *Directory {
	d := &Directory{w: w, set: &w.day.Directory, rand: Stream(w.day.Seed, "directory", 0)}
	for range w.day.Routers {
		d.watches = append(d.watches, &watch{})
	}
	return d
}

// Join has a router hear what it asks for from now on, as one that holds the list of some version.
func (d *Directory) Join(router, version int, told func(Update)) {
	d.watches[router] = &watch{told: told, version: min(version, d.version)}
}

// Present is the list of all that is not gone.
func (d *Directory) Present() []Member {
	var list []Member
	for _, m := range d.list {
		if m.Phase != Gone {
			list = append(list, m)
		}
	}
	return list
}

// Version counts the changes so far.
func (d *Directory) Version() int { return d.version }

// Ask is a call of a router: for the whole list, or for a watch, or for the end of one. answer hears
// what comes of it; if it is nil, whoever hears the watch does.
func (d *Directory) Ask(router int, list, on bool, answer func(Update)) {
	watch := d.watches[router]
	if answer == nil {
		answer = watch.told
	}
	if !list && !on {
		watch.on = false
		return
	}
	now := d.w.Now()
	cost := 1 / d.set.Capacity
	d.free = max(d.free, now) + seconds(cost)
	wait := d.free - now
	delay := 2 * d.w.day.Net.Cross.D()
	if d.down || wait > d.set.Timeout.D() {
		if wait > d.set.Timeout.D() {
			d.free -= seconds(cost)
		}
		d.w.After(min(wait, d.set.Timeout.D())+delay, func() { answer(Update{Failed: true}) })
		return
	}
	d.w.After(wait+delay, func() {
		if d.down {
			answer(Update{Failed: true})
			return
		}
		full := list || watch.version == 0
		var u Update
		if u.Full = full; full {
			u.Members = d.Present()
		} else {
			u.Members = d.since(watch.version)
		}
		if watch.version = d.version; !list {
			watch.on = true
		}
		answer(u)
	})
}

// entry is what is known of a server; one that was never listed is gone.
func (d *Directory) entry(index int) Member {
	if index >= len(d.list) {
		return Member{Index: index}
	}
	return d.list[index]
}

// since is what has changed after a version, each server once.
func (d *Directory) since(version int) []Member {
	var list []Member
	seen := map[int]bool{}
	for i := len(d.log) - 1; i >= 0 && d.log[i].version > version; i-- {
		if n := d.log[i].index; !seen[n] {
			seen[n] = true
			list = append(list, d.list[n])
		}
	}
	return list
}

// know has the directory know something of a server from now on, and tell those who watch.
func (d *Directory) know(m Member) {
	for len(d.list) <= m.Index {
		d.list = append(d.list, Member{Index: len(d.list)})
	}
	if d.list[m.Index] == m {
		return
	}
	d.list[m.Index] = m
	d.version++
	d.log = append(d.log, change{d.version, m.Index})
	d.w.watcher.Listed(m)
	if d.down {
		return
	}
	for _, watch := range d.watches {
		d.push(watch)
	}
}

// push tells one router what it has missed, a little later.
func (d *Directory) push(watch *watch) {
	if !watch.on || watch.pushing {
		return
	}
	watch.pushing = true
	d.w.After(seconds(d.rand.Float64()*d.set.Spread.Seconds())+d.w.day.Net.Cross.D(), func() {
		watch.pushing = false
		if !watch.on || d.down || watch.version == d.version {
			return
		}
		u := Update{Members: d.since(watch.version)}
		watch.version = d.version
		watch.told(u)
	})
}

// outage has the directory down, or up again. Watches break.
func (d *Directory) outage(down bool) {
	d.down = down
	for _, watch := range d.watches {
		if down && watch.on {
			watch.on = false
			d.w.After(d.w.day.Net.Cross.D(), func() { watch.told(Update{Failed: true}) })
		}
	}
}

// later draws how long a change takes to be listed.
func (d *Directory) later(between [2]time.Duration) time.Duration {
	return between[0] + seconds(d.rand.Float64()*(between[1]-between[0]).Seconds())
}

func (d *Directory) noticed() time.Duration {
	return d.later([2]time.Duration{d.set.Notice[0].D(), d.set.Notice[1].D()})
}

func (d *Directory) missed() time.Duration {
	return d.later([2]time.Duration{d.set.Silent[0].D(), d.set.Silent[1].D()})
}
