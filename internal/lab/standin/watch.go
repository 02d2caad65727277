package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"hoptiller"
	"hoptiller/internal/config"
	"hoptiller/internal/lab/model"
)

// watcher is the engine's Judge, which also opens addresses for new caches; e.mu is held.
type watcher struct{ *Engine }

// Listed implements model.Watcher. A cache that is new gets its listeners before any router hears of it.
func (w watcher) Listed(m model.Member) {
	w.Judge.Listed(m)
	for _, n := range w.nodes {
		if n.servers[m.Addr] == nil && m.Phase == model.Ready {
			n.listenServerLocked(m.Addr)
		}
	}
}

// steward starts and ends routers' processes; e.mu is held.
type steward Engine

// Kill implements model.Steward. The process is killed before anything of it is forgotten: what it took in between would be
// held against a life that was told of nothing.
func (s *steward) Kill(i int) {
	s.nodes[i].signal(os.Kill)
	s.Check.Killed(s.World.Now(), i)
	s.nodes[i].killed = s.nodes[i].life
	s.nodes[i].life++ // what comes from now on is not for the one that was killed
}

// Interrupt implements Control. It may be called at any time.
func (s *steward) Interrupt(i int, span time.Duration) {
	n := s.nodes[i]
	process := n.process.Load()
	if process == nil || process.Signal(syscall.SIGSTOP) != nil {
		return
	}
	e := (*Engine)(s)
	paused := func(on bool) { e.do(func() { e.Check.ProcessPaused(e.World.Now(), i, on) }) }
	go func() { // whoever calls may hold e.mu
		paused(true)
		pause(e.ctx, span)
		process.Signal(syscall.SIGCONT)
		paused(false)
	}()
}

// KillTerminated implements Control.
func (s *steward) KillTerminated(i int) { s.nodes[i].signal(syscall.SIGKILL) }

// Crowd implements Control.
func (s *steward) Crowd(i, connections int) (release func()) {
	e, n := (*Engine)(s), s.nodes[i]
	ctx, cancel := context.WithCancel(e.ctx)
	e.goes(func() {
		var open []net.Conn
		for range connections {
			c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", n.addr)
			if err != nil {
				break
			}
			open = append(open, c)
		}
		<-ctx.Done()
		for _, c := range open {
			c.Close()
		}
	})
	return cancel
}

// Signal implements Control.
func (s *steward) Signal(i int, sig os.Signal) {
	s.nodes[i].signal(sig)
	if sig == syscall.SIGSTOP || sig == syscall.SIGCONT {
		s.Check.ProcessPaused(s.World.Now(), i, sig == syscall.SIGSTOP)
	}
}

// Disturbed implements Control.
func (s *steward) Disturbed(i int, on bool) {
	if on {
		s.nodes[i].disturbances++
	} else {
		s.nodes[i].disturbances--
	}
}

// Unreachable implements Control.
func (s *steward) Unreachable(i int, on bool) { s.Check.RouterUnreachable(i, on) }

// HeldBack implements Control.
func (s *steward) HeldBack(i int, on bool) { s.Check.RelayDelaying(s.World.Now(), i, on) }

// Stop implements model.Steward.
func (s *steward) Stop(i int) { s.nodes[i].stop() }

// Start implements model.Steward.
func (s *steward) Start(i int) { go s.nodes[i].start() }

// final maps what a client is told.
var final = map[model.Final]hoptiller.StepKind{model.Value: hoptiller.StepServed, model.Refused: hoptiller.StepReject,
	model.Failure: hoptiller.StepFail}

// Cache implements Control.
func (s *steward) Cache(n int) string {
	for _, m := range s.World.Directory.Present() {
		if m.Origin {
			continue
		}
		if n--; n < 0 {
			return name(m.ID)
		}
	}
	return ""
}

// Aside implements Control.
func (s *steward) Aside(router int, cache string, yes bool) {
	e := (*Engine)(s)
	e.do(func() {
		for _, m := range e.World.Directory.Present() {
			if name(m.ID) == cache {
				e.Check.ServerDrained(e.World.Now(), router, m.Index, yes)
			}
		}
	})
}

func name(id uint32) string { return fmt.Sprintf("s-%08x", id) }

// Replace implements Control.
func (s *steward) Replace(i int, variant string, done func(error)) {
	(*Engine)(s).goes(func() { done(s.nodes[i].replace(variant)) })
}

// Shows implements Control.
func (s *steward) Shows(variant string) (string, error) {
	text, err := json.Marshal(map[string]any{"settings": s.nodes[0].settings(variant)})
	if err != nil {
		return "", err
	}
	c, err := config.Parse(text)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%08x", c.Digest), nil
}
