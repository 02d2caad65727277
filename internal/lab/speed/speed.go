// Package speed measures the latency that a router adds to a request, and the throughput of the router. It compares both
// with those of a bare relay, which forwards lines without parsing them. The router and the relay run as separate
// processes on one core each, in front of the same servers, which answer at once.
package speed

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
	"time"

	"hoptiller/internal/lab/load"
	"hoptiller/internal/lab/model"
	"hoptiller/internal/lab/standin"
	"hoptiller/internal/logs"
)

// Options holds the programs to measure and the load on them.
type Options struct {
	Router string        // path of the router's program
	Relay  []string      // command that starts the bare relay; the address of its server is appended
	For    time.Duration // duration of each measurement
	Conns  int           // number of client connections
	Caches int           // number of cache servers
	File   string        // operator's file with which the router is measured in addition; "" for none
}

// rounds is the number of alternate measurements of the router with and without a file. There are many, because the speed
// of a machine varies.
const rounds = 21

// Report holds the results of Run.
type Report struct {
	Direct, Relay, Router Figures

	// With and Without are the CPU time that the router takes for a request with and without an operator's file; 0 if
	// Options.File is empty. The CPU time bounds the throughput of one core. Unlike the throughput it does not depend on
	// other load on the machine.
	With, Without time.Duration
}

// Figures holds the measurements of one path to the servers. P50 and P99 are latencies in ms at Rate, which is the same
// for all paths.
type Figures struct {
	Most     float64 // maximum throughput of the connections, in requests a second
	Rate     float64 // requests a second
	P50, P99 float64
}

// Run measures three paths: directly to a server, through the relay, and through the router.
func Run(ctx context.Context, opt Options) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	addrs := make([]string, opt.Caches)
	for i := range addrs {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addrs[i] = l.Addr().String()
		go serveInstantly(l)
	}
	relay, endRelay, err := startProgram(ctx, append(opt.Relay, addrs[0]), nil)
	if err != nil {
		return nil, err
	}
	defer endRelay()
	config, clean, err := configure(addrs)
	if err != nil {
		return nil, err
	}
	defer clean()
	router, endRouter, err := startProgram(ctx, []string{opt.Router}, []string{"RELAY_CONFIG=" + config})
	if err != nil {
		return nil, err
	}
	defer endRouter()
	r := &Report{}
	paths := []struct {
		addr    string
		figures *Figures
	}{{addrs[0], &r.Direct}, {relay, &r.Relay}, {router, &r.Router}}
	for _, path := range paths {
		p, err := load.Run(ctx, loadPlan(path.addr, opt, 0))
		if err != nil {
			return nil, err
		}
		if c := p.Classes[0]; c.Served < c.Sent*99/100 {
			return nil, fmt.Errorf("%s served %d of %d requests", path.addr, c.Served, c.Sent)
		}
		path.figures.Most = p.Rate
	}
	rate := min(r.Relay.Most, r.Router.Most) / 2
	for _, path := range paths {
		p, err := load.Run(ctx, loadPlan(path.addr, opt, rate))
		if err != nil {
			return nil, err
		}
		path.figures.Rate, path.figures.P50, path.figures.P99 = p.Rate, p.Classes[0].P50, p.Classes[0].P99
	}
	if opt.File != "" {
		err = r.measureWithFile(ctx, opt, config)
	}
	return r, err
}

// measureWithFile measures the CPU time of a request with and without an operator's file, in alternate rounds. It starts a new
// router for each, because a router that has been under load is slower than a new one.
func (r *Report) measureWithFile(ctx context.Context, opt Options, config string) error {
	env := []string{"RELAY_CONFIG=" + config}
	var addrs [2]string
	var ends [2]func() time.Duration
	for i, env := range [][]string{env, append(env, "HOPTILLER_FILE="+opt.File)} {
		addr, end, err := startProgram(ctx, []string{opt.Router}, env)
		if err != nil {
			return err
		}
		defer end()
		addrs[i], ends[i] = addr, end
	}
	opt.For /= 5
	var served [2]int
	for range rounds {
		for i, addr := range addrs {
			p, err := load.Run(ctx, loadPlan(addr, opt, 0))
			if err != nil {
				return err
			}
			c := p.Classes[0]
			if served[i] += c.Served; c.Served < c.Sent*99/100 {
				return fmt.Errorf("%s served %d of %d requests", addr, c.Served, c.Sent)
			}
		}
	}
	r.Without, r.With = ends[0]()/time.Duration(served[0]), ends[1]()/time.Duration(served[1])
	return nil
}

// loadPlan returns the load of one measurement; a rate of 0 measures the maximum throughput.
func loadPlan(addr string, opt Options, rate float64) load.Plan {
	return load.Plan{Addrs: []string{addr}, Rate: rate, For: opt.For, Conns: opt.Conns, Keys: 1000, Zipf: 0.5, Seed: 1, ValueSize: 2,
		Classes: []load.Class{{Name: "slot-view", Share: 1, Aim: time.Second, Deadline: 4 * time.Second, Worth: 1}}}
}

// serveInstantly is a cache server. It answers a line with a request ID at once with a value of 2 bytes, and any other
// line with MN.
func serveInstantly(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			r, w := bufio.NewReader(c), bufio.NewWriter(c)
			for {
				line, err := r.ReadSlice('\n')
				if err != nil {
					return
				}
				at := bytes.Index(line, []byte(" O"))
				if at < 0 {
					io.WriteString(c, "MN\r\n")
					continue
				}
				id, _, _ := bytes.Cut(line[at+1:], []byte(" "))
				fmt.Fprintf(w, "VA 2 %s h1\r\nhi\r\n", id)
				if r.Buffered() == 0 && w.Flush() != nil {
					return
				}
			}
		}()
	}
}

// Relay forwards lines between clients and a server. It opens a connection to the server for each client. When one of the
// two connections ends, it closes the other one.
func Relay(l net.Listener, to string) error {
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer c.Close()
			s, err := net.Dial("tcp", to)
			if err != nil {
				return
			}
			defer s.Close()
			go func() {
				defer c.Close()
				defer s.Close()
				forwardLines(s, c)
			}()
			forwardLines(c, s)
		}()
	}
}

// forwardLines forwards lines until one of the connections ends.
func forwardLines(from, to net.Conn) {
	r := bufio.NewReader(from)
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return
		}
		if _, err := to.Write(line); err != nil {
			return
		}
	}
}

// startProgram starts a program on one core. The program must log the address on which it listens as addr in its first
// line. end stops the program and returns the CPU time that it took.
func startProgram(ctx context.Context, command, env []string) (addr string, end func() time.Duration, err error) {
	cmd := exec.CommandContext(ctx, command[0], command[1:]...)
	cmd.Env = append(append(os.Environ(), "GOMAXPROCS=1"), env...)
	out, err := cmd.StderrPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		return "", nil, err
	}
	end = func() time.Duration {
		cmd.Process.Kill()
		cmd.Wait()
		return cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	}
	r := bufio.NewReader(out)
	line, _ := r.ReadString('\n')
	addr, ok := logs.AttrValue(line, "addr")
	if !ok {
		end()
		return "", nil, errors.New(command[0] + " does not log the address on which it listens: " + line)
	}
	go io.Copy(io.Discard, r)
	return addr, end, nil
}

// configure writes the configuration of a router whose slot caches are the servers, and serves a discovery service that
// lists them. clean stops the service and removes the configuration.
func configure(addrs []string) (path string, clean func(), err error) {
	day := model.DefaultDay()
	day.Routers = 1
	servers := []map[string]any{}
	for i, a := range addrs {
		servers = append(servers, map[string]any{"id": fmt.Sprintf("s-%08x", i+1), "addr": a, "zone": "z0",
			"kind": day.Kinds[0].Name, "cell": 0,
			"state": "active", "weight": 1.0, "started_ms": 0})
	}
	known := map[string]any{"version": 1, "full": true, "servers": servers}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		json.NewEncoder(w).Encode(known)
		for r.URL.Query().Get("watch") == "1" && http.NewResponseController(w).Flush() == nil {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(2 * time.Second):
				fmt.Fprintln(w)
			}
		}
	})}
	go server.Serve(l)
	dir, err := os.MkdirTemp("", "hoplab")
	if err != nil {
		server.Close()
		return "", nil, err
	}
	clean = func() {
		server.Close()
		os.RemoveAll(dir)
	}
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": l.Addr().String(), "seed": "1",
		"limits": map[string]any{"memory_mb": 192, "sockets": 1024}, "known": known, "settings": standin.SettingsJSON(&day, 0)})
	path = filepath.Join(dir, "config.json")
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	if err != nil {
		clean()
	}
	return path, clean, err
}

// Write writes the report as a table, with a comparison of the router and the relay.
func (r *Report) Write(out io.Writer) error {
	row := func(name string, f Figures) string {
		return fmt.Sprintf("%-8s %8.0f a second at the most   %7.3f ms p50  %7.3f ms p99 at %.0f a second\n",
			name, f.Most, f.P50, f.P99, f.Rate)
	}
	_, err := fmt.Fprintf(out,
		"%s%s%srouter over relay: %.2f of the throughput; adds %.3f ms (p50) and %.3f ms (p99), the relay %.3f and %.3f\n",
		row("direct", r.Direct), row("relay", r.Relay), row("router", r.Router), r.Router.Most/r.Relay.Most,
		r.Router.P50-r.Direct.P50, r.Router.P99-r.Direct.P99, r.Relay.P50-r.Direct.P50, r.Relay.P99-r.Direct.P99)
	if err == nil && r.Without > 0 {
		_, err = fmt.Fprintf(out,
			"router with the operator's file: %v of its processor for a request, %v without: %.3f of the throughput\n",
			r.With, r.Without, float64(r.Without)/float64(r.With))
	}
	return err
}
