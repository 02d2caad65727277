package standin

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hoptiller/internal/lab/loopback"
	"hoptiller/internal/lab/model"
)

// routerNode is one router and the addresses at which it finds all servers.
type routerNode struct {
	engine        *Engine
	index         int
	addr          string // address at which the router serves clients
	dir           string // directory of its configuration
	discoveryAddr string
	servers       map[int]net.Listener // by address; guarded by Engine.mu
	advertised    map[int]string       // by address: what the router uses instead of the listener's address; guarded by Engine.mu

	process       atomic.Pointer[os.Process]
	expectedToEnd atomic.Bool // set when the process is ended on purpose

	mu      sync.Mutex // held while the process is started; its holder may wait for Engine.mu
	variant string
	output  *lastOutput
	ended   chan struct{}

	incarnation  int      // number of processes started plus the number killed; guarded by Engine.mu
	disturbances int      // number of active relay faults on its paths to servers; guarded by Engine.mu
	lastKilled   int      // latest incarnation that was killed without notice; guarded by Engine.mu
	lag          lagMeter // guarded by Engine.mu

	idleClients []*clientConn // connections of clients without a request; guarded by Engine.mu
}

// wasKilled reports whether the process that was to accept a request has been killed without notice. Such a
// request needs no answer. Engine.mu must be held.
func (n *routerNode) wasKilled(r *clientRequest) bool { return r.incarnation <= n.lastKilled }

// settings returns the settings for the router of a variant.
func (n *routerNode) settings(variant string) map[string]any {
	self := n.index
	if n.engine.options.Self != nil {
		self = n.engine.options.Self(n.index)
	}
	set := SettingsJSON(n.engine.day, self)
	if variant != "" {
		set["variant"] = variant
	}
	return set
}

const usualMemoryMB = 192 // of a router, unless the day states another figure

// prepareConfig writes the configuration file for the router and records a new incarnation.
func (n *routerNode) prepareConfig() (string, error) {
	e := n.engine
	dir := n.dir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "hoplab"); err != nil {
			return "", err
		}
		n.dir = dir
	}
	e.mu.Lock()
	present := model.ListUpdate{Complete: true, Members: e.World.Discovery.Members()}
	known := n.listingFor(present)
	n.incarnation++
	e.Checker.ProcessStarted(n.index)
	e.Checker.UpdateReceived(e.World.Now(), n.index, present)
	e.mu.Unlock()
	configuration := map[string]any{
		"name": fmt.Sprintf("n%d", n.index), "listen": n.addr, "discovery": n.discoveryAddr,
		"seed":   fmt.Sprintf("%016x", e.day.Seed+uint64(n.index)),
		"limits": map[string]any{"cores": 1, "memory_mb": cmp.Or(e.day.RouterMemoryMB, usualMemoryMB), "sockets": 1024},
		"known":  known, "settings": n.settings(n.variant),
	}
	if e.options.Peers != nil {
		configuration["peer_listen"], configuration["peers"] = e.options.Peers(n.index)
	}
	if e.options.Admin != nil {
		configuration["admin"] = e.options.Admin(n.index)
	}
	text, err := json.Marshal(configuration)
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "config.json")
	return path, os.WriteFile(path, text, 0o600)
}

// lastOutput forwards what a router writes and keeps the end of it.
type lastOutput struct {
	forward io.Writer // nil forwards nothing
	mu      sync.Mutex
	recent  []byte
}

// Write implements io.Writer.
func (t *lastOutput) Write(b []byte) (int, error) {
	const maxKept = 400
	t.mu.Lock()
	t.recent = append(t.recent, b...)
	t.recent = t.recent[max(0, len(t.recent)-maxKept):]
	t.mu.Unlock()
	if t.forward == nil {
		return len(b), nil
	}
	return t.forward.Write(b)
}

// String returns the last line.
func (t *lastOutput) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	text := bytes.TrimSpace(t.recent)
	return string(text[bytes.LastIndexByte(text, '\n')+1:])
}

// reserveAddr reserves an address for the router. The address stays the same when the router restarts.
func (n *routerNode) reserveAddr() error {
	if n.addr != "" {
		return nil
	}
	var err error
	n.addr, err = loopback.Reserve(loopback.Clients, n.index)
	return err
}

// writeConfig writes the configuration of a router that someone else starts.
func (n *routerNode) writeConfig() error {
	if err := n.reserveAddr(); err != nil {
		return err
	}
	n.dir = filepath.Join(n.engine.options.Dir, fmt.Sprintf("router%d", n.index))
	if err := os.MkdirAll(n.dir, 0o755); err != nil {
		return err
	}
	_, err := n.prepareConfig()
	return err
}

// start starts the router's process.
func (n *routerNode) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isRunning() { // two faults may each restart it
		return nil
	}
	if err := n.reserveAddr(); err != nil {
		return err
	}
	path, err := n.prepareConfig()
	if err != nil {
		return err
	}
	cmd := exec.Command(n.engine.options.Router)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path)
	if n.engine.options.Variant != nil {
		cmd.Env = append(cmd.Env, n.engine.options.Variant(n.variant)...)
	}
	log := n.engine.options.Log
	if n.engine.options.RouterLog != nil {
		log = n.engine.options.RouterLog(n.index)
	}
	n.output = &lastOutput{forward: log}
	cmd.Stdout, cmd.Stderr = n.output, n.output
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("starting the router: %w", err)
	}
	ended := make(chan struct{})
	n.ended = ended
	n.expectedToEnd.Store(false)
	n.process.Store(cmd.Process)
	go func() {
		cmd.Wait()
		if !n.expectedToEnd.Load() && n.engine.options.ProcessEnded != nil {
			n.engine.options.ProcessEnded(n.index, cmd.ProcessState.String())
		}
		close(ended)
	}()
	return nil
}

// isRunning reports whether the process has been started and has not ended. n.mu must be held.
func (n *routerNode) isRunning() bool {
	if n.ended == nil {
		return false
	}
	select {
	case <-n.ended:
		return false
	default:
		return true
	}
}

// waitReady waits until the router answers.
func (n *routerNode) waitReady(ctx context.Context) error {
	for range 200 {
		if c, err := net.Dial("tcp", n.addr); err == nil {
			c.SetDeadline(time.Now().Add(time.Second))
			fmt.Fprint(c, "mn\r\n")
			line, _ := bufio.NewReader(c).ReadString('\n')
			c.Close()
			if line == "MN\r\n" {
				return nil
			}
		}
		select {
		case <-n.ended:
			return fmt.Errorf("the router has ended: %s", n.output)
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
	return errors.New("the router does not answer")
}

// signal sends a signal without waiting for its effect.
func (n *routerNode) signal(sig os.Signal) {
	p := n.process.Load()
	if p == nil {
		return
	}
	if sig == syscall.SIGTERM || sig == syscall.SIGKILL {
		n.expectedToEnd.Store(true)
	}
	p.Signal(sig)
}

// replace terminates the process as the platform does, with SIGKILL if it takes longer than the platform
// allows, and starts another one.
func (n *routerNode) replace(variant string) error {
	n.mu.Lock()
	previous := n.ended
	n.mu.Unlock()
	n.stop()
	if previous != nil {
		longestDeadline := 3 * time.Second
		for _, c := range n.engine.day.Classes {
			longestDeadline = max(longestDeadline, c.Deadline.Std())
		}
		select {
		case <-previous:
		case <-n.engine.ctx.Done():
			return n.engine.ctx.Err()
		case <-time.After(longestDeadline + time.Second):
			n.kill()
		}
	}
	n.mu.Lock()
	n.variant = variant
	n.mu.Unlock()
	return n.start()
}

func (n *routerNode) stop() { n.signal(syscall.SIGTERM) }

// kill kills the process and waits for its end.
func (n *routerNode) kill() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// listingFor returns an update in the format of discovery. Engine.mu must be held.
func (n *routerNode) listingFor(update model.ListUpdate) map[string]any {
	list := []map[string]any{}
	for _, m := range update.Members {
		addr, known := n.advertised[m.Addr]
		if !known {
			continue
		}
		kind := "origin"
		if !m.Origin {
			kind = n.engine.day.Kinds[m.Kind].Name
		}
		entry := map[string]any{"id": serverName(m.ID), "addr": addr, "zone": zoneName(m.Zone),
			"kind": kind, "cell": m.Cell, "weight": m.Weight, "started_ms": 0,
			"state": [...]string{model.Removed: "left", model.Draining: "leaving", model.Ready: "active"}[m.Phase]}
		if m.Started > 0 {
			entry["started_ms"] = n.engine.startedAt.Add(m.Started).UnixMilli()
		}
		list = append(list, entry)
	}
	return map[string]any{"version": n.engine.World.Discovery.Version(), "full": update.Complete, "servers": list}
}

// addressFor returns the address that the router uses instead of a listener's own address.
func (n *routerNode) addressFor(to ServerKind, l net.Listener) (string, error) {
	if n.engine.options.AddressFor == nil {
		return l.Addr().String(), nil
	}
	return n.engine.options.AddressFor(n.index, to, l.Addr().String())
}

func zoneName(i int) string { return fmt.Sprintf("z%d", i) }

// listenDiscovery serves discovery to one router.
func (n *routerNode) listenDiscovery() error {
	l, err := loopback.Listen(loopback.StandIns, n.index)
	if err != nil {
		return err
	}
	if n.discoveryAddr, err = n.addressFor(Discovery, l); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", n.serveDiscovery)
	server := &http.Server{Handler: mux}
	n.engine.closeAtEnd(server)
	n.engine.runUntilEnd(func() { server.Serve(l) })
	return nil
}

func (n *routerNode) serveDiscovery(w http.ResponseWriter, r *http.Request) {
	e := n.engine
	watching := r.URL.Query().Get("watch") == "1"
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	updates := make(chan []byte, 256) // the text of each update; nil ends the response
	var incarnation int               // of the process that sent the request; later updates do not reach the next process
	notify := func(u model.ListUpdate) {
		var text []byte
		if !u.Failed {
			text, _ = json.Marshal(n.listingFor(u))
		}
		if incarnation == n.incarnation {
			e.Checker.UpdateReceived(e.World.Now(), n.index, u)
		}
		select {
		case updates <- text:
		default:
		}
	}
	e.do(func() {
		incarnation = n.incarnation
		if watching {
			e.World.Discovery.Register(n.index, after, notify)
			e.Checker.WatchChanged(n.index, true)
		}
		e.World.Discovery.Request(n.index, !watching, watching, notify)
	})
	if watching {
		defer e.do(func() {
			if incarnation != n.incarnation {
				return
			}
			e.Checker.WatchChanged(n.index, false)
			e.World.Discovery.Request(n.index, false, false, nil)
		})
	}
	controller := http.NewResponseController(w)
	ticker := time.NewTicker(2 * time.Second)
	defer ticker.Stop()
	for first := true; ; first = false {
		select {
		case <-r.Context().Done():
			return
		case <-e.ctx.Done():
			return
		case <-ticker.C:
			if !first {
				fmt.Fprintln(w)
			}
		case text := <-updates:
			if text == nil {
				if first {
					http.Error(w, "not now", http.StatusServiceUnavailable)
				}
				return
			}
			if fmt.Fprintf(w, "%s\n", text); !watching {
				return
			}
		}
		controller.Flush()
	}
}
