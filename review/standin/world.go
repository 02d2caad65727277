// Package standin plays the platform, the servers and the clients around routers that run as separate processes, for the
// review's cases. All of it is on loopback addresses and uses the real clock.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld   = 0 // the rule held
	ExitBroken = 1 // the rule was broken
	ExitNotRun = 2 // the case could not run
)

// World is what one case starts. Stop ends it.
type World struct {
	Dir     string // temporary folder
	Trouble bool   // false: play the case without the disruption

	start   time.Time
	runLine string // the deploy file's command for one router

	mu        sync.Mutex
	record    *os.File
	processes []*Process
	closers   []func()
	broken    int
}

// New prepares a case. record is the path of the record, which is written anew.
func New(record string) (*World, error) {
	deployFile, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deployFile)
	if match == nil {
		return nil, errors.New("deploy/balancer.toml names no run line")
	}
	if _, err := os.Stat("bin/hoptiller"); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &World{Dir: dir, Trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), runLine: string(match[1]), record: file}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() { os.Exit(w.Finish(fmt.Errorf("signal: %v", <-interrupted))) }()
	return w, nil
}

// Since returns the time since the case began.
func (w *World) Since() time.Duration { return time.Since(w.start) }

// Log writes one line to the record.
func (w *World) Log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", w.Since().Seconds(), fmt.Sprintf(format, args...))
}

// Broken records a break of the rule.
func (w *World) Broken(format string, args ...any) {
	w.Log("BROKEN "+format, args...)
	w.mu.Lock()
	w.broken++
	w.mu.Unlock()
}

// OnStop registers a function that Stop calls.
func (w *World) OnStop(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closers = append(w.closers, f)
}

// Finish ends everything and returns the case's exit code. An error means that the case could not run.
func (w *World) Finish(err error) int {
	w.mu.Lock()
	processes, closers := w.processes, w.closers
	w.mu.Unlock()
	for _, p := range processes {
		p.Kill()
	}
	for _, f := range closers {
		f()
	}
	os.RemoveAll(w.Dir)
	code := ExitHeld
	switch {
	case err != nil:
		w.Log("the case could not run: %v", err)
		code = ExitNotRun
	case w.broken > 0:
		code = ExitBroken
	}
	w.Log("exit code %d, rule broken %d times", code, w.broken)
	w.record.Close()
	return code
}

// Process is a started program.
type Process struct {
	Name  string
	cmd   *exec.Cmd
	ended chan struct{}
}

// Start starts a shell command line in a process group of its own. Its output goes to a log file in the case's folder.
func (w *World) Start(name, line string, env ...string) (*Process, error) {
	out, err := os.OpenFile(filepath.Join(w.Dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command("/bin/sh", "-c", line)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{Name: name, cmd: cmd, ended: make(chan struct{})}
	go func() {
		cmd.Wait()
		w.Log("%s (process %d) ended: %v", name, cmd.Process.Pid, cmd.ProcessState)
		close(p.ended)
	}()
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	w.Log("%s (process %d) started: %s", name, cmd.Process.Pid, line)
	return p, nil
}

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Pause stops the process until Continue.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Continue ends a Pause.
func (p *Process) Continue() { p.Signal(syscall.SIGCONT) }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// Kill kills the process group and waits for the process.
func (p *Process) Kill() {
	syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL)
	<-p.ended
}

// Wait waits until the process has ended and reports whether it has.
func (p *Process) Wait(limit time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// Output returns what the process has written so far.
func (w *World) Output(name string) string {
	text, _ := os.ReadFile(filepath.Join(w.Dir, name+".log"))
	return string(text)
}

// host is a loopback address of this process's own, so that cases that run at the same time do not take each other's ports.
var host = fmt.Sprintf("127.%d.%d.1", 16+rand.IntN(200), rand.IntN(250))

// The range of the ports is below that from which the system takes the ports of outgoing connections.
const (
	firstPort = 20000
	portCount = 10000
)

// Listen listens on a free port of the host.
func Listen() (net.Listener, error) {
	var err error
	for range 100 {
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("%s:%d", host, firstPort+rand.IntN(portCount))); err == nil {
			return l, nil
		}
	}
	return nil, err
}

// FreeAddr returns a loopback address that nobody listens on, for TCP and UDP.
func FreeAddr() (string, error) {
	l, err := Listen()
	if err != nil {
		return "", err
	}
	defer l.Close()
	packets, err := net.ListenPacket("udp", l.Addr().String())
	if err != nil {
		return "", err
	}
	packets.Close()
	return l.Addr().String(), nil
}

// Class is a class of requests in the settings.
type Class struct {
	Name            string
	Aim, Deadline   time.Duration
	Effect          string
	KeyWindow       time.Duration
	Worth           float64
	TryFrom, TryTo  time.Duration // bounds of the time that clients state
	Write           bool
	ShareOfRequests float64
}

// PrairieClasses are the classes of the site prairie-booking. Clients wait for 53% to 80% of the deadline.
func PrairieClasses() []Class {
	classes := []Class{
		{Name: "slot-view", Aim: 1200 * time.Millisecond, Deadline: 4 * time.Second, Effect: "idempotent", Worth: 1, ShareOfRequests: 0.963},
		{Name: "book", Aim: 1500 * time.Millisecond, Deadline: 5 * time.Second, Effect: "at_most_once", Worth: 3, Write: true, ShareOfRequests: 0.024},
		{Name: "cancel", Aim: time.Second, Deadline: 2 * time.Second, Effect: "deduplicated", KeyWindow: 1500 * time.Millisecond, Worth: 2,
			Write: true, ShareOfRequests: 0.013},
	}
	for i := range classes {
		classes[i].TryFrom, classes[i].TryTo = classes[i].Deadline*53/100, classes[i].Deadline*80/100
	}
	return classes
}

// Router is one router of the case and its addresses.
type Router struct {
	Number              int
	Listen, Admin, Peer string
	MemoryMB            int
	ConfigPath          string
	Process             *Process
}

// Fleet holds the routers of a case and what they are told.
type Fleet struct {
	World     *World
	Platform  *Platform
	Classes   []Class
	Routers   []*Router
	OperFile  string // path of the operators' file; empty: none
	Datagrams bool   // routers may send each other datagrams
	Album     bool   // the settings follow the site album-cz where they differ from those of prairie-booking
}

// NewFleet chooses addresses for the routers.
func NewFleet(w *World, platform *Platform, routers, memoryMB int, datagrams bool) (*Fleet, error) {
	f := &Fleet{World: w, Platform: platform, Classes: PrairieClasses(), Datagrams: datagrams}
	for i := range routers {
		r := &Router{Number: i, MemoryMB: memoryMB, ConfigPath: filepath.Join(w.Dir, fmt.Sprintf("router%d.json", i))}
		for _, addr := range []*string{&r.Listen, &r.Admin, &r.Peer} {
			var err error
			if *addr, err = FreeAddr(); err != nil {
				return nil, err
			}
		}
		f.Routers = append(f.Routers, r)
	}
	return f, nil
}

// WriteConfig writes the configuration of a router. The version is a figure of the settings that no router uses; it tells
// settings of two versions apart.
func (f *Fleet) WriteConfig(r *Router, path string, version int) error {
	var classes []any
	for _, c := range f.Classes {
		classes = append(classes, map[string]any{"name": c.Name, "onTime": c.Aim.Microseconds(), "deadline": c.Deadline.Microseconds(),
			"effect": c.Effect, "group": "all", "keyTtl": c.KeyWindow.Microseconds(), "lateValue": 0, "worth": c.Worth, "stream": false})
	}
	config := map[string]any{
		"name": fmt.Sprintf("n%d", r.Number), "listen": r.Listen, "admin": r.Admin, "discovery": f.Platform.DiscoveryAddr,
		"seed":   fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1, "memory_mb": r.MemoryMB, "sockets": 1024},
		"known":  json.RawMessage(f.Platform.list()),
		"settings": map[string]any{
			"balancers": len(f.Routers), "selfIndex": r.Number, "zone": 0, "period": 0, "reviewVersion": version,
			"classes": classes, "failureDomains": []string{"z0"}, "kinds": []string{"std-6c", "origin"},
			"familyInfo":     map[string]any{"mode": "aside", "ordered": true, "originKind": 1},
			"fees":           map[string]any{"connection": 0.04, "handshake": 0.04, "peer": 0.01, "probe": 0.01},
			"membershipMode": "on_request",
			"bounds": map[string]any{"connIdle": 60000000, "connectTimeout": 250000, "maxRetryAfter": 2000000, "mayCancel": true,
				"mayTell": f.Datagrams, "mostTries": 5, "retryAfter": true, "secondCopies": false, "streamsPerConn": 100},
			"rules": map[string]any{"askWithin": 10000000, "cold": 24000000, "coldFrom": 0.12, "fall": 1500000, "graceToAnswer": 20000,
				"overloadFactor": 2.5, "stopSendingWithin": 500000},
		},
	}
	if f.Datagrams {
		peers := []string{}
		for _, other := range f.Routers {
			peers = append(peers, other.Peer)
		}
		config["peers"], config["peer_listen"] = peers, r.Peer
	}
	if f.Album {
		settings := config["settings"].(map[string]any)
		settings["fees"] = map[string]any{}
		settings["bounds"] = map[string]any{"connIdle": 5000000, "connectTimeout": 250000, "maxRetryAfter": 2000000, "mayCancel": true,
			"mayTell": false, "mostTries": 3, "retryAfter": true, "secondCopies": true, "streamsPerConn": 32}
		settings["rules"] = map[string]any{"askWithin": 10000000, "cold": 8700000, "coldFrom": 0.32, "fall": 3000000, "graceToAnswer": 20000,
			"overloadFactor": 3, "stopSendingWithin": 1000000}
	}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// StartRouter starts the process of a router with the configuration at its path.
func (f *Fleet) StartRouter(r *Router) error {
	env := []string{"RELAY_CONFIG=" + r.ConfigPath, "RELAY_NAME=", "RELAY_LISTEN=", "RELAY_DISCOVERY=", "RELAY_ADMIN=",
		"TMPDIR=" + f.World.Dir, "HOPTILLER_FILE=" + f.OperFile}
	var err error
	r.Process, err = f.World.Start(fmt.Sprintf("router%d", r.Number), f.World.runLine, env...)
	return err
}

// StartAll writes the configurations of all routers, starts them and waits until they take clients.
func (f *Fleet) StartAll() error {
	for _, r := range f.Routers {
		if err := f.WriteConfig(r, r.ConfigPath, 1); err != nil {
			return err
		}
		if err := f.StartRouter(r); err != nil {
			return err
		}
	}
	for _, r := range f.Routers {
		err := r.AwaitReady(30 * time.Second)
		if err == nil && r.Process.Wait(50*time.Millisecond) {
			err = fmt.Errorf("router %d has ended", r.Number)
		}
		if err != nil {
			return fmt.Errorf("%w; its log: %s", err, f.World.Output(fmt.Sprintf("router%d", r.Number)))
		}
	}
	return nil
}

// AwaitReady waits until the router answers mn with MN.
func (r *Router) AwaitReady(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for ctx.Err() == nil {
		if answersNoop(r.Listen) {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("router %d is not ready", r.Number)
}

func answersNoop(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write([]byte("mn\r\n")); err != nil {
		return false
	}
	answer := make([]byte, 16)
	n, _ := conn.Read(answer)
	return string(answer[:n]) == "MN\r\n"
}
