package rules

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"hoptiller/internal/lab/model"
)

// pushed is what one router sent a cold cache within the window in which it was pushed over.
type pushed struct {
	work              float64       // in standard-core seconds
	calls, handshakes int           // that are in it
	knew              bool          // at the fall the router had been told of the start
	before            float64       // work that came before it was told
	toldFor           time.Duration // how long before the fall it was told, if it knew
}

func (p *pushed) String() string {
	if !p.knew {
		return fmt.Sprintf("%d calls and %d connections, not told", p.calls, p.handshakes)
	}
	return fmt.Sprintf("%d calls and %d connections, told %v before, %.2f of %.2f s of work by then",
		p.calls, p.handshakes, p.toldFor.Round(time.Millisecond), p.before, p.work)
}

// FellOver tells that a cold cache was pushed over.
func (c *Checker) FellOver(now time.Duration, f *model.Fall) {
	all, told := 0.0, 0.0
	by := map[int]*pushed{}
	for _, push := range f.Pushes {
		all += push.Work
		p := by[push.Router]
		if p == nil {
			p = c.pushedBy(now, push.Router, f)
			by[push.Router] = p
		}
		p.add(now, push)
		if p.knew {
			told += push.Work
		}
	}
	if told < all*2/3 {
		return
	}
	var course []string
	for _, router := range slices.Sorted(maps.Keys(by)) {
		course = append(course, fmt.Sprintf("router %d: %v", router, by[router]))
	}
	c.breach(Cold, now, -1, 0, "cold server %d is pushed over, %.0f%% of it by routers that were told of its start; %v after it, %.2f s of work, it stands %.2f: %s",
		f.Server, 100*told/all, (now - f.Started).Round(time.Millisecond), all, f.Stands, strings.Join(course, "; "))
}

// pushedBy begins the sum of a router's part of a fall.
func (c *Checker) pushedBy(now time.Duration, router int, f *model.Fall) *pushed {
	if router < 0 {
		return &pushed{}
	}
	start, ok := c.routers[router].starts[f.Server]
	if !ok || start.started != f.Started {
		return &pushed{}
	}
	return &pushed{knew: true, toldFor: now - start.told}
}

func (p *pushed) add(now time.Duration, push model.Push) {
	p.work += push.Work
	if push.Handshake {
		p.handshakes++
	} else {
		p.calls++
	}
	if p.knew && push.At < now-p.toldFor {
		p.before += push.Work
	}
}
