package main

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["7"] = playCase7 }

const (
	case7Routers = 5
	case7Fetch   = 25 * time.Second // that the replace command needs before it ends the old process; settle is 1 m
	case7Limit   = 105 * time.Second
)

// replacer runs the replace commands of a release.
type replacer struct {
	w     *world
	fleet []*router
	fetch time.Duration

	mu    sync.Mutex
	begun map[string]int // commands by router
	runs  map[string]int // commands that run now, by router
	twice []string       // what was begun more than once
}

// startReplacer starts the server that replace commands call, and returns its address.
func (w *world) startReplacer(fleet []*router, fetch time.Duration) (r *replacer, addr string) {
	r = &replacer{w: w, fleet: fleet, fetch: fetch, begun: map[string]int{}, runs: map[string]int{}}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	server := &http.Server{Handler: http.HandlerFunc(r.serve)}
	go server.Serve(l)
	w.onClose(func() { server.Close() })
	return r, l.Addr().String()
}

// serve runs one command: it fetches the new files, ends the router's process, starts it with the new settings, and returns.
func (r *replacer) serve(response http.ResponseWriter, request *http.Request) {
	request.ParseForm()
	words := request.Form["word"]
	name := strings.Join(words, " ")
	var number int
	fmt.Sscan(words[0], &number)
	r.mu.Lock()
	r.begun[name]++
	r.runs[name]++
	times, running := r.begun[name], r.runs[name]
	if times > 1 {
		r.twice = append(r.twice, fmt.Sprintf("the command %q was begun for the %d. time, while %d of it run", name, times, running))
	}
	r.mu.Unlock()
	r.w.note("replace command %q begins, for the %d. time; %d of it run now", name, times, running)
	time.Sleep(r.fetch)
	router := r.fleet[number]
	r.mu.Lock()
	defer r.mu.Unlock()
	router.current.signal(syscall.SIGTERM)
	router.current.waitEnded(8 * time.Second)
	router.config["settings"].(map[string]any)["variant"] = words[1]
	router.start()
	for end := time.Now().Add(10 * time.Second); !router.ready() && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
	}
	r.runs[name]--
	r.w.note("replace command %q ends", name)
	fmt.Fprintln(response, "replaced")
}

// count returns how many commands have begun for a router.
func (r *replacer) count(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.begun[name]
}

// begunCommands returns how often each command has begun.
func (r *replacer) begunCommands() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.begun)
}

// startLoad has a client read from each of the routers, with a pause behind each answer, until the case ends.
func (w *world) startLoad(fleet []*router, pause time.Duration) {
	var ended atomic.Bool
	w.onClose(func() { ended.Store(true) })
	for _, r := range fleet {
		go func() {
			var conn net.Conn
			b := make([]byte, 4096)
			for i := 0; !ended.Load(); i++ {
				time.Sleep(pause)
				if conn == nil {
					conn, _ = net.DialTimeout("tcp", r.listen, time.Second)
					continue
				}
				conn.SetDeadline(time.Now().Add(3 * time.Second))
				fmt.Fprintf(conn, "mg k%d v O7%02d%06d Pc=slot-view,d=3000\r\n", rand.IntN(50), r.number, i)
				if _, err := conn.Read(b); err != nil {
					if err != io.EOF {
						w.note("client of router %d: %v", r.number, err)
					}
					conn.Close()
					conn = nil
				}
			}
		}()
	}
}

// shownSettings returns what a router with a configuration shows in the view.
func (w *world) shownSettings(r *router, variant string) string {
	r.config["settings"].(map[string]any)["variant"] = variant
	path := r.writeConfig("new.json")
	delete(r.config["settings"].(map[string]any), "variant")
	p := w.startProcess("shows", "exec bin/hoptiller release shows --config "+path, nil)
	p.waitEnded(5 * time.Second)
	for line := range strings.Lines(w.output("shows")) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "settings "); ok {
			return strings.TrimSpace(value)
		}
	}
	stop("release shows: %s", w.output("shows"))
	return ""
}

// writePlan writes a release plan into a folder of its own, as on another machine.
func (w *world) writePlan(machine, digest, replace string, fleet []*router) string {
	dir := filepath.Join(w.dir, machine)
	must(os.Mkdir(dir, 0o755))
	text := fmt.Sprintf("release lists-2 {\n\tsettings %q\n\treplace %s \"{number}\" \"new\"\n\tback %s \"{number}\" \"former\"\n"+
		"\tstate \"lists-2.state\"\n\tcanary 1\n\twave 1\n\tgrow 1\n\tsoak 2s\n\trequests 50\n\tsettle 1m\n}\n", digest, replace, replace)
	for _, r := range fleet {
		text += fmt.Sprintf("router %d %q\n", r.number, r.admin)
	}
	path := filepath.Join(dir, "lists-2.hop")
	must(writeFile(path, text))
	return path
}

// startSmallFleet starts slot caches, origin, discovery and routers that see one another.
func (w *world) startSmallFleet(routers int, operatorFile string) (fleet []*router, d *discovery) {
	_, list := w.startServers(4, plainAnswer, 100*time.Millisecond)
	d = w.startDiscovery(list)
	fleet = w.newFleet(routers, d, operatorFile)
	for _, r := range fleet {
		r.start()
	}
	for _, r := range fleet {
		w.waitFor("router "+fmt.Sprint(r.number), 10*time.Second, r.ready)
	}
	return fleet, d
}

// playCase7 has a release halted from another machine while a replace command runs, and gone on with there. No router may be
// replaced twice.
func playCase7(w *world, trouble bool) (broken []string) {
	fleet, _ := w.startSmallFleet(case7Routers, "fleet {\n\tview on\n\tout 2\n}\n")
	w.startLoad(fleet, 20*time.Millisecond)
	r, addr := w.startReplacer(fleet, case7Fetch)
	program, err := os.Executable()
	must(err)
	replace := fmt.Sprintf("%q \"call\" %q", program, addr)
	digest := w.shownSettings(fleet[0], "new")
	planA, planB := w.writePlan("machine-a", digest, replace, fleet), w.writePlan("machine-b", digest, replace, fleet)
	time.Sleep(11 * time.Second) // electors grant nothing in the first 10 s
	w.startProcess("driver-a", "exec bin/hoptiller release start "+planA, nil)
	w.waitFor("the second router's command", 80*time.Second, func() bool { return r.count("1 new") > 0 })
	if trouble {
		time.Sleep(2 * time.Second)
		w.startProcess("halt", "exec bin/hoptiller release halt "+planB, nil).waitEnded(5 * time.Second)
		time.Sleep(4 * time.Second)
		w.startProcess("driver-b", "exec bin/hoptiller release resume "+planB, nil)
	}
	for r.count("1 new") < 2 && time.Since(w.start) < case7Limit && r.count("2 new") == 0 {
		time.Sleep(100 * time.Millisecond)
	}
	w.noteOutputs("driver-a", "halt", "driver-b")
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string{}, r.twice...)
}
