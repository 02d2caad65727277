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

// observer is the engine's Recorder, which also opens listeners for new caches. Engine.mu must be held during
// its calls.
type observer struct{ *Engine }

// Listed implements model.Observer. A new cache gets its listeners before any router learns of it.
func (w observer) Listed(m model.Member) {
	w.Recorder.Listed(m)
	for _, n := range w.nodes {
		if n.servers[m.Addr] == nil && m.Phase == model.Ready {
			n.listenServerLocked(m.Addr)
		}
	}
}

// routerControl starts and stops router processes. Engine.mu must be held during its calls.
type routerControl Engine

// Kill implements model.RouterControl. It sends the signal before it resets the checker's state of the process. In
// the opposite order, calls that the process sends in between would be checked against the state of a new
// process without any listed server.
func (s *routerControl) Kill(i int) {
	s.nodes[i].signal(os.Kill)
	s.Checker.ProcessKilled(s.World.Now(), i)
	s.nodes[i].lastKilled = s.nodes[i].incarnation
	s.nodes[i].incarnation++ // what arrives from now on does not belong to the killed process
}

// Interrupt implements Control. It may be called at any time.
func (s *routerControl) Interrupt(i int, duration time.Duration) {
	n := s.nodes[i]
	process := n.process.Load()
	if process == nil || process.Signal(syscall.SIGSTOP) != nil {
		return
	}
	e := (*Engine)(s)
	recordPause := func(paused bool) { e.do(func() { e.Checker.ProcessPaused(e.World.Now(), i, paused) }) }
	go func() { // the caller may hold Engine.mu
		recordPause(true)
		sleep(e.ctx, duration)
		process.Signal(syscall.SIGCONT)
		recordPause(false)
	}()
}

// KillTerminated implements Control.
func (s *routerControl) KillTerminated(i int) { s.nodes[i].signal(syscall.SIGKILL) }

// OpenIdleConns implements Control.
func (s *routerControl) OpenIdleConns(i, connections int) (release func()) {
	e, n := (*Engine)(s), s.nodes[i]
	ctx, cancel := context.WithCancel(e.ctx)
	e.runUntilEnd(func() {
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
func (s *routerControl) Signal(i int, sig os.Signal) {
	s.nodes[i].signal(sig)
	if sig == syscall.SIGSTOP || sig == syscall.SIGCONT {
		s.Checker.ProcessPaused(s.World.Now(), i, sig == syscall.SIGSTOP)
	}
}

// RelayFaultChanged implements Control.
func (s *routerControl) RelayFaultChanged(i int, on bool) {
	if on {
		s.nodes[i].disturbances++
	} else {
		s.nodes[i].disturbances--
	}
}

// RouterUnreachable implements Control.
func (s *routerControl) RouterUnreachable(i int, on bool) { s.Checker.RouterUnreachable(i, on) }

// RelayDelaying implements Control.
func (s *routerControl) RelayDelaying(i int, on bool) { s.Checker.RelayDelaying(s.World.Now(), i, on) }

// Stop implements model.RouterControl.
func (s *routerControl) Stop(i int) { s.nodes[i].stop() }

// Start implements model.RouterControl.
func (s *routerControl) Start(i int) { go s.nodes[i].start() }

// finalSteps maps a client's final answers to the steps of the decision module.
var finalSteps = map[model.FinalAnswer]hoptiller.StepKind{model.FinalValue: hoptiller.StepServed, model.FinalRefused: hoptiller.StepReject,
	model.FinalFailed: hoptiller.StepFail}

// CacheName implements Control.
func (s *routerControl) CacheName(n int) string {
	for _, m := range s.World.Discovery.Members() {
		if m.Origin {
			continue
		}
		if n--; n < 0 {
			return serverName(m.ID)
		}
	}
	return ""
}

// ServerDrained implements Control.
func (s *routerControl) ServerDrained(router int, cache string, drained bool) {
	e := (*Engine)(s)
	e.do(func() {
		for _, m := range e.World.Discovery.Members() {
			if serverName(m.ID) == cache {
				e.Checker.ServerDrained(e.World.Now(), router, m.ServerIndex, drained)
			}
		}
	})
}

func serverName(id uint32) string { return fmt.Sprintf("s-%08x", id) }

// Replace implements Control.
func (s *routerControl) Replace(i int, variant string, done func(error)) {
	(*Engine)(s).runUntilEnd(func() { done(s.nodes[i].replace(variant)) })
}

// SettingsDigest implements Control.
func (s *routerControl) SettingsDigest(variant string) (string, error) {
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
