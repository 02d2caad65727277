package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Replacer plays the operators' command of a release. It counts how often the command runs for each router.
type Replacer struct {
	Fleet    *Fleet
	Prepare  time.Duration // how long the command takes before it ends the router's process, as to fetch the new program
	OnBegin  func(Run)
	CtrlAddr string

	mu   sync.Mutex
	runs []Run
}

// Run is one run of the command.
type Run struct {
	Router           int
	Version, Machine string // what the router is to get, and the machine whose driver began the command
	Begun            time.Duration
}

// StartReplacer listens for the commands that the release's drivers start.
func StartReplacer(f *Fleet, prepare time.Duration) (*Replacer, error) {
	r := &Replacer{Fleet: f, Prepare: prepare}
	var err error
	r.CtrlAddr, err = serveHTTP(f.World, http.HandlerFunc(r.serve))
	return r, err
}

// serve carries out one command and answers when the router's new process takes clients.
func (r *Replacer) serve(w http.ResponseWriter, request *http.Request) {
	world, query := r.Fleet.World, request.URL.Query()
	number, err := strconv.Atoi(query.Get("router"))
	if err != nil || number < 0 || number >= len(r.Fleet.Routers) {
		http.Error(w, "no such router", http.StatusBadRequest)
		return
	}
	run := Run{number, query.Get("version"), query.Get("machine"), world.Since()}
	r.mu.Lock()
	r.runs = append(r.runs, run)
	r.mu.Unlock()
	name := fmt.Sprintf("command of the driver %s for router %d, %s,", run.Machine, number, run.Version)
	world.Log("%s begins", name)
	if r.OnBegin != nil {
		r.OnBegin(run)
	}
	time.Sleep(r.Prepare)
	router := r.Fleet.Routers[number]
	router.Process.Signal(syscall.SIGTERM)
	if !router.Process.Wait(6 * time.Second) {
		http.Error(w, "the router does not end", http.StatusInternalServerError)
		return
	}
	err = r.Fleet.WriteConfig(router, router.ConfigPath, map[string]int{"former": 1, "new": 2}[run.Version])
	if err == nil {
		err = r.Fleet.StartRouter(router)
	}
	if err == nil {
		err = router.AwaitReady(10 * time.Second)
	}
	world.Log("%s ends: %v", name, err)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

// Runs returns the commands that have begun, in their order.
func (r *Replacer) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.runs)
}

// Command is what the release's command does: it asks the Replacer at an address and waits for the end. The arguments are that
// address, the router's number, the version and the driver's machine.
func Command(arguments []string) int {
	if len(arguments) != 4 {
		return 2
	}
	query := url.Values{"router": {arguments[1]}, "version": {arguments[2]}, "machine": {arguments[3]}}
	response, err := http.Post("http://"+arguments[0]+"/?"+query.Encode(), "", nil)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK {
		fmt.Fprint(os.Stderr, string(text))
		return 1
	}
	return 0
}

// WritePlan writes a release plan for one machine and returns its path. Each machine has a folder of its own.
func (r *Replacer) WritePlan(machine, figures string) (path string, err error) {
	f := r.Fleet
	next := filepath.Join(f.World.Dir, "new.json")
	if err := f.WriteConfig(f.Routers[0], next, 2); err != nil {
		return "", err
	}
	shows, err := f.World.Start("shows", "exec bin/hoptiller release shows --config "+next)
	if err != nil {
		return "", err
	}
	shows.Wait(10 * time.Second)
	_, digest, ok := strings.Cut(f.World.Output("shows"), "settings ")
	if !ok {
		return "", fmt.Errorf("release shows: %s", f.World.Output("shows"))
	}
	program, err := os.Executable()
	if err != nil {
		return "", err
	}
	var text strings.Builder
	fmt.Fprintf(&text, "release lists-2 {\n\tsettings %s\n\tstate %q\n%s", strings.Fields(digest)[0], machine+"-state", figures)
	fmt.Fprintf(&text, "\treplace %q replace %q \"{number}\" new %s\n", program, r.CtrlAddr, machine)
	fmt.Fprintf(&text, "\tback %q replace %q \"{number}\" former %s\n}\n", program, r.CtrlAddr, machine)
	for _, router := range f.Routers {
		fmt.Fprintf(&text, "router %d %q\n", router.Number, router.Admin)
	}
	path = filepath.Join(f.World.Dir, machine+".hop")
	return path, os.WriteFile(path, []byte(text.String()), 0o600)
}

// LogDrivers writes the output of the drivers to the record.
func (f *Fleet) LogDrivers(names ...string) {
	for _, name := range names {
		for line := range strings.Lines(f.World.Output(name)) {
			f.World.Log("%s: %s", name, strings.TrimSpace(line))
		}
	}
}

// StartDriver runs a command of hoptiller release with a machine's plan.
func (f *Fleet) StartDriver(name, command, plan string) (*Process, error) {
	return f.World.Start(name, "exec bin/hoptiller release "+command+" "+plan)
}

// operatorsFile turns the view of the fleet on, where the settings put a price on datagrams. One router may be out at a time, as
// where nothing is stated.
const operatorsFile = `
fleet {
	view on
	out 1
}
`

// StartReleaseFleet starts the servers, the routers with datagrams between them, clients, and what the release's command asks.
func StartReleaseFleet(w *World, routers int, prepare time.Duration) (*Fleet, *Replacer, error) {
	platform, err := NewPlatform(w, Servers{Caches: 4, SlotsPerCache: 6, OriginSlots: 8, ReadTime: 130 * time.Millisecond,
		WriteTime: 150 * time.Millisecond})
	if err != nil {
		return nil, nil, err
	}
	f, err := NewFleet(w, platform, routers, 192, true)
	if err != nil {
		return nil, nil, err
	}
	f.OperFile = filepath.Join(w.Dir, "fleet.hop")
	if err := os.WriteFile(f.OperFile, []byte(operatorsFile), 0o600); err != nil {
		return nil, nil, err
	}
	if err := f.StartAll(); err != nil {
		return nil, nil, err
	}
	replacer, err := StartReplacer(f, prepare)
	if err != nil {
		return nil, nil, err
	}
	for _, r := range f.Routers {
		clients := &Clients{World: w, Addr: r.Listen, Quiet: true}
		go clients.Load(f.Classes, 30, 2*time.Minute)
	}
	return f, replacer, nil
}

// Holder is a driver that has the fleet's place for releases, as a router says at a time.
type Holder struct {
	Driver string
	Since  time.Duration
}

// WatchReleaseHolder asks the routers again and again who has the fleet's place for releases. The function that it returns gives
// the holders so far.
func (f *Fleet) WatchReleaseHolder() (holders func() []Holder) {
	var mu sync.Mutex
	var list []Holder
	go func() {
		for {
			time.Sleep(200 * time.Millisecond)
			name := f.releaseHolder()
			mu.Lock()
			if name != "" && (len(list) == 0 || list[len(list)-1].Driver != name) {
				list = append(list, Holder{name, f.World.Since()})
				f.World.Log("most routers say that the fleet's place for releases is the driver's %s", name)
			}
			mu.Unlock()
		}
	}()
	return func() []Holder {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(list)
	}
}

// releaseHolder returns the driver that most routers name, or an empty text.
func (f *Fleet) releaseHolder() string {
	client := http.Client{Timeout: time.Second}
	votes := map[string]int{}
	for _, r := range f.Routers {
		response, err := client.Get("http://" + r.Admin + "/v1/fleet")
		if err != nil {
			continue
		}
		var report struct {
			Release struct{ By, State string }
		}
		err = json.NewDecoder(response.Body).Decode(&report)
		response.Body.Close()
		if name := report.Release.By; err == nil && report.Release.State == "held" {
			if votes[name]++; votes[name]*2 > len(f.Routers) {
				return name
			}
		}
	}
	return ""
}
