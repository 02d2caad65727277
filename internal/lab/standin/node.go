package standin

import (
	"bufio"
	"bytes"
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

// node is one router and the addresses at which it finds all others.
type node struct {
	e         *Engine
	index     int
	addr      string // at which it serves clients
	dir       string // of its configuration
	directory string
	servers   map[int]net.Listener // by address, guarded by e.mu, as told is
	told      map[int]string       // the addresses that the router is told of them

	process atomic.Pointer[os.Process]
	bidden  atomic.Bool // to end

	mu    sync.Mutex // held while the process is started; whoever has it may wait for e.mu
	kind  string     // its variant
	last  *tail
	ended chan struct{}

	life         int      // counts processes that were started, and those that were killed; guarded by e.mu
	disturbances int      // by relays, of its ways to servers, that run now; the same
	killed       int      // the latest life that was killed without notice; the same
	lag          lagMeter // the same

	idle []*client // connections of clients without a request, guarded by e.mu
}

// lost tells whether the process that was to take a request was killed without notice since: then nothing is owed. e.mu is held.
func (n *node) lost(r *request) bool { return r.life <= n.killed }

// settings are those that the router of a variant is told.
func (n *node) settings(variant string) map[string]any {
	self := n.index
	if n.e.opt.Self != nil {
		self = n.e.opt.Self(n.index)
	}
	set := SettingsJSON(n.e.day, self)
	if variant != "" {
		set["variant"] = variant
	}
	return set
}

// config writes the file that the router is started with.
func (n *node) config() (string, error) {
	e := n.e
	dir := n.dir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "hoplab"); err != nil {
			return "", err
		}
		n.dir = dir
	}
	e.mu.Lock()
	present := model.Update{Full: true, Members: e.World.Directory.Present()}
	known := n.listing(present)
	n.life++
	e.Check.Begins(n.index)
	e.Check.Told(e.World.Now(), n.index, present)
	e.mu.Unlock()
	c := map[string]any{
		"name": fmt.Sprintf("n%d", n.index), "listen": n.addr, "discovery": n.directory, "seed": fmt.Sprintf("%016x", e.day.Seed+uint64(n.index)),
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":  known, "settings": n.settings(n.kind),
	}
	if e.opt.Peers != nil {
		c["peer_listen"], c["peers"] = e.opt.Peers(n.index)
	}
	if e.opt.Admin != nil {
		c["admin"] = e.opt.Admin(n.index)
	}
	text, err := json.Marshal(c)
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "config.json")
	return path, os.WriteFile(path, text, 0o600)
}

// tail passes on what a router writes and keeps the last of it.
type tail struct {
	to   io.Writer // nil for none
	mu   sync.Mutex
	kept []byte
}

// Write implements io.Writer.
func (t *tail) Write(b []byte) (int, error) {
	const most = 400
	t.mu.Lock()
	t.kept = append(t.kept, b...)
	t.kept = t.kept[max(0, len(t.kept)-most):]
	t.mu.Unlock()
	if t.to == nil {
		return len(b), nil
	}
	return t.to.Write(b)
}

// String is the last line.
func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	text := bytes.TrimSpace(t.kept)
	return string(text[bytes.LastIndexByte(text, '\n')+1:])
}

// reserve finds an address for the router. It stays the same when the router starts anew.
func (n *node) reserve() error {
	if n.addr != "" {
		return nil
	}
	var err error
	n.addr, err = loopback.Leave(loopback.Serve, n.index)
	return err
}

// place writes the configuration of a router that someone else starts.
func (n *node) place() error {
	if err := n.reserve(); err != nil {
		return err
	}
	n.dir = filepath.Join(n.e.opt.Dir, fmt.Sprintf("router%d", n.index))
	if err := os.MkdirAll(n.dir, 0o755); err != nil {
		return err
	}
	_, err := n.config()
	return err
}

// start starts the router's process.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.runs() { // two faults may each bring it back
		return nil
	}
	if err := n.reserve(); err != nil {
		return err
	}
	path, err := n.config()
	if err != nil {
		return err
	}
	cmd := exec.Command(n.e.opt.Router)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path)
	if n.e.opt.Variant != nil {
		cmd.Env = append(cmd.Env, n.e.opt.Variant(n.kind)...)
	}
	log := n.e.opt.Log
	if n.e.opt.Logs != nil {
		log = n.e.opt.Logs(n.index)
	}
	n.last = &tail{to: log}
	cmd.Stdout, cmd.Stderr = n.last, n.last
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("starting the router: %w", err)
	}
	ended := make(chan struct{})
	n.ended = ended
	n.bidden.Store(false)
	n.process.Store(cmd.Process)
	go func() {
		cmd.Wait()
		if !n.bidden.Load() && n.e.opt.Ended != nil {
			n.e.opt.Ended(n.index, cmd.ProcessState.String())
		}
		close(ended)
	}()
	return nil
}

// runs tells whether the process has been started and has not ended; n.mu is held.
func (n *node) runs() bool {
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

// ready waits until the router answers.
func (n *node) ready(ctx context.Context) error {
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
			return fmt.Errorf("the router has ended: %s", n.last)
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
	return errors.New("the router does not answer")
}

// signal waits for nothing.
func (n *node) signal(s os.Signal) {
	p := n.process.Load()
	if p == nil {
		return
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		n.bidden.Store(true)
	}
	p.Signal(s)
}

// replace ends the process as the platform does, by SIGKILL if it takes longer than that allows, and starts another one.
func (n *node) replace(variant string) error {
	n.mu.Lock()
	last := n.ended
	n.mu.Unlock()
	n.stop()
	if last != nil {
		longest := 3 * time.Second
		for _, c := range n.e.day.Classes {
			longest = max(longest, c.Deadline.D())
		}
		select {
		case <-last:
		case <-n.e.ctx.Done():
			return n.e.ctx.Err()
		case <-time.After(longest + time.Second):
			n.kill()
		}
	}
	n.mu.Lock()
	n.kind = variant
	n.mu.Unlock()
	return n.start()
}

func (n *node) stop() { n.signal(syscall.SIGTERM) }

// kill ends the process and waits for that.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// listing is an update in the directory's form; e.mu is held.
func (n *node) listing(u model.Update) map[string]any {
	list := []map[string]any{}
	for _, m := range u.Members {
		addr, known := n.told[m.Addr]
		if !known {
			continue
		}
		kind := "origin"
		if !m.Origin {
			kind = n.e.day.Kinds[m.Kind].Name
		}
		entry := map[string]any{"id": name(m.ID), "addr": addr, "zone": zone(m.Zone),
			"kind": kind, "cell": m.Cell, "weight": m.Weight, "started_ms": 0,
			"state": [...]string{model.Removed: "left", model.Draining: "leaving", model.Ready: "active"}[m.Phase]}
		if m.Started > 0 {
			entry["started_ms"] = n.e.begun.Add(m.Started).UnixMilli()
		}
		list = append(list, entry)
	}
	return map[string]any{"version": n.e.World.Directory.Version(), "full": u.Full, "servers": list}
}

// way is the address that the router is told in the place of a listener's.
func (n *node) way(to Party, l net.Listener) (string, error) {
	if n.e.opt.Way == nil {
		return l.Addr().String(), nil
	}
	return n.e.opt.Way(n.index, to, l.Addr().String())
}

func zone(i int) string { return fmt.Sprintf("z%d", i) }

// listenDirectory serves the directory to one router.
func (n *node) listenDirectory() error {
	l, err := loopback.Listen(loopback.Parties, n.index)
	if err != nil {
		return err
	}
	if n.directory, err = n.way(Directory, l); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", n.serveDirectory)
	server := &http.Server{Handler: mux}
	n.e.keep(server)
	n.e.goes(func() { server.Serve(l) })
	return nil
}

func (n *node) serveDirectory(w http.ResponseWriter, r *http.Request) {
	e := n.e
	watching := r.URL.Query().Get("watch") == "1"
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	updates := make(chan []byte, 256) // the text of each; empty for the end
	var life int                      // of the process that asks: what comes after it tells the next one nothing
	told := func(u model.Update) {
		var text []byte
		if !u.Failed {
			text, _ = json.Marshal(n.listing(u))
		}
		if life == n.life {
			e.Check.Told(e.World.Now(), n.index, u)
		}
		select {
		case updates <- text:
		default:
		}
	}
	e.do(func() {
		life = n.life
		if watching {
			e.World.Directory.Join(n.index, after, told)
			e.Check.Watches(n.index, true)
		}
		e.World.Directory.Ask(n.index, !watching, watching, told)
	})
	if watching {
		defer e.do(func() {
			if life != n.life {
				return
			}
			e.Check.Watches(n.index, false)
			e.World.Directory.Ask(n.index, false, false, nil)
		})
	}
	flush := http.NewResponseController(w)
	tick := time.NewTicker(2 * time.Second)
	defer tick.Stop()
	for first := true; ; first = false {
		select {
		case <-r.Context().Done():
			return
		case <-e.ctx.Done():
			return
		case <-tick.C:
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
		flush.Flush()
	}
}
