package rules

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"hoptiller/internal/lab/model"
)

// serverOf is a server as one router is told of it.
type serverOf struct{ router, server int }

// toldStart is a server's start, and when a router was first told of it.
type toldStart struct{ started, told time.Duration }

// startTold notes what a router is told of a server's start. It outlives the router's process: what that has sent came from one that
// had been told, whoever is told next.
func (c *Checker) startTold(now time.Duration, router int, m model.Member) {
	key := serverOf{router, m.Index}
	if start, known := c.starts[key]; !known || start.started != m.Started {
		c.starts[key] = toldStart{started: m.Started, told: now}
	}
}

// toldOf tells when a router was told of the start of a server that has fallen.
func (c *Checker) toldOf(router int, f *model.Fall) (at time.Duration, told bool) {
	start, known := c.starts[serverOf{router, f.Server}]
	return start.told, known && start.started == f.Started
}

// pushed is what one router sent a cold cache within the window in which it was pushed over.
type pushed struct {
	calls, handshakes int
	work, workTold    float64 // in standard-core seconds: all, and what came once the router had been told of the start
	heaviest          float64 // call's work
	keys              map[uint64]bool
}

// FellOver tells that a cold cache was pushed over. A piece of work counts against its router if that had been told of the start when
// the piece came: nobody can take back what was sent before.
func (c *Checker) FellOver(now time.Duration, f *model.Fall) {
	all, told := 0.0, 0.0
	by := map[int]*pushed{}
	for _, push := range f.Pushes {
		p := by[push.Router]
		if p == nil {
			p = &pushed{keys: map[uint64]bool{}}
			by[push.Router] = p
		}
		at, known := c.toldOf(push.Router, f)
		knew := known && push.At >= at
		p.add(push, knew)
		all += push.Work
		if knew {
			told += push.Work
		}
	}
	course := fmt.Sprintf("cold server %d is pushed over, %.0f%% of it by routers that were told of its start; %v after it, %.2f s of work, it stands %.2f: %s",
		f.Server, 100*told/all, (now - f.Started).Round(time.Millisecond), all, f.Stands, c.courseOf(now, f, by))
	c.Falls = append(c.Falls, Violation{Cold, now, -1, 0, course})
	if told >= all*2/3 {
		c.breach(Cold, now, -1, 0, "%s", course)
	}
}

func (p *pushed) add(push model.Push, told bool) {
	if push.Handshake {
		p.handshakes++
	} else {
		p.calls++
		p.keys[push.Key] = true
		p.heaviest = max(p.heaviest, push.Work)
	}
	p.work += push.Work
	if told {
		p.workTold += push.Work
	}
}

// courseOf tells of each router what it sent, and when it was told.
func (c *Checker) courseOf(now time.Duration, f *model.Fall, by map[int]*pushed) string {
	var course []string
	for _, router := range slices.Sorted(maps.Keys(by)) {
		p := by[router]
		text := fmt.Sprintf("router %d: %d calls of %d keys, the heaviest of %.2f s, and %d connections",
			router, p.calls, len(p.keys), p.heaviest, p.handshakes)
		if at, told := c.toldOf(router, f); told {
			text += fmt.Sprintf(", told %v before, %.2f of %.2f s of work since", (now - at).Round(time.Millisecond), p.workTold, p.work)
		} else {
			text += ", not told"
		}
		course = append(course, text)
	}
	return strings.Join(course, "; ")
}
