package invariants

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"hoptiller/internal/lab/model"
)

// routerServer identifies a server in the list of one router.
type routerServer struct{ router, server int }

// receivedStart is the start of a server's process and the time at which a router first learned of it.
type receivedStart struct{ started, receivedAt time.Duration }

// recordStart records that a router has learned of a server's start. The record outlives the router's process,
// because work already sent by an informed process counts as informed even if another process has taken its
// place.
func (c *Checker) recordStart(now time.Duration, router int, m model.Member) {
	key := routerServer{router, m.ServerIndex}
	if start, known := c.startsReceived[key]; !known || start.started != m.Started {
		c.startsReceived[key] = receivedStart{started: m.Started, receivedAt: now}
	}
}

// startReceived returns when a router learned of the start of a server that has now collapsed.
func (c *Checker) startReceived(router int, collapse *model.Collapse) (at time.Duration, matches bool) {
	start, known := c.startsReceived[routerServer{router, collapse.Server}]
	return start.receivedAt, known && start.started == collapse.Started
}

// routerLoad is the work that one router sent to a cold cache within the window before its collapse.
type routerLoad struct {
	calls, handshakes int
	// In standard-core seconds: all work, and the part that arrived after the router had learned of the start.
	work, informedWork float64
	heaviestCall       float64 // work of the heaviest call
	keys               map[uint64]bool
}

// CacheCollapsed records the collapse of a cold cache. A piece of work counts as informed if its router had
// learned of the start before the piece arrived, because a router cannot take back what it has sent. It is a
// violation if two thirds of the work or more was informed.
func (c *Checker) CacheCollapsed(now time.Duration, collapse *model.Collapse) {
	total, informed := 0.0, 0.0
	byRouter := map[int]*routerLoad{}
	for _, piece := range collapse.Work {
		load := byRouter[piece.Router]
		if load == nil {
			load = &routerLoad{keys: map[uint64]bool{}}
			byRouter[piece.Router] = load
		}
		receivedAt, known := c.startReceived(piece.Router, collapse)
		wasInformed := known && piece.At >= receivedAt
		load.add(piece, wasInformed)
		total += piece.Work
		if wasInformed {
			informed += piece.Work
		}
	}
	trace := fmt.Sprintf("cold server %d is pushed over, %.0f%% of it by routers that were told of its start; %v after it, %.2f s of work, it stands %.2f: %s",
		collapse.Server, 100*informed/total, (now - collapse.Started).Round(time.Millisecond), total, collapse.Limit,
		c.describeCollapse(now, collapse, byRouter))
	c.Collapses = append(c.Collapses, Violation{Cold, now, -1, 0, trace})
	if informed >= total*2/3 {
		c.addViolation(Cold, now, -1, 0, "%s", trace)
	}
}

func (l *routerLoad) add(piece model.ColdWork, informed bool) {
	if piece.Handshake {
		l.handshakes++
	} else {
		l.calls++
		l.keys[piece.Key] = true
		l.heaviestCall = max(l.heaviestCall, piece.Work)
	}
	l.work += piece.Work
	if informed {
		l.informedWork += piece.Work
	}
}

// describeCollapse lists for each router what it sent and when it learned of the start.
func (c *Checker) describeCollapse(now time.Duration, collapse *model.Collapse, byRouter map[int]*routerLoad) string {
	var parts []string
	for _, router := range slices.Sorted(maps.Keys(byRouter)) {
		load := byRouter[router]
		text := fmt.Sprintf("router %d: %d calls of %d keys, the heaviest of %.2f s, and %d connections",
			router, load.calls, len(load.keys), load.heaviestCall, load.handshakes)
		if receivedAt, known := c.startReceived(router, collapse); known {
			text += fmt.Sprintf(", told %v before, %.2f of %.2f s of work since", (now - receivedAt).Round(time.Millisecond),
				load.informedWork, load.work)
		} else {
			text += ", not told"
		}
		parts = append(parts, text)
	}
	return strings.Join(parts, "; ")
}
