package drill

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"hoptiller/internal/fleet/peers"
	"hoptiller/internal/lab/arrival"
	"hoptiller/internal/lab/faultproxy"
	"hoptiller/internal/lab/loopback"
	"hoptiller/internal/lab/scoring"
	"hoptiller/internal/lab/standin"
)

// Options configures how a drill is played.
type Options struct {
	RouterProgram string // path of the router's program

	onAdminAddr func(admin string) // for tests: called with the admin address of each router; may be nil
	onBegin     func()             // for tests: called when the day has begun; may be nil
}

// Report is the result of a drill.
type Report struct {
	Verdicts []Verdict
	Events   []Event
	Lag      time.Duration // the longest time by which the machine delayed the drill's own process
	Result   *scoring.Result
}

// maxLag is the largest lag with which verdicts count. With a larger one the machine may have paused a router for as long,
// which is no fault of the router.
const maxLag = 400 * time.Millisecond

// MachineTooBusy reports whether the machine was too busy for the verdicts to count.
func (r *Report) MachineTooBusy() bool { return r.Lag > maxLag }

// FailedClaims returns the verdicts of the claims that don't hold.
func (r *Report) FailedClaims() (all []Verdict) {
	for _, v := range r.Verdicts {
		if !v.Holds {
			all = append(all, v)
		}
	}
	return all
}

// player is the state of one drill while it is played.
type player struct {
	drill      *File
	timeline   *Timeline
	mesh       *faultproxy.Mesh
	adminAddrs []string // by router: its own admin address, which the admin proxy forwards to

	folder      string // temporary folder with this drill's files; empty if it needs none
	program     string
	driverWaits sync.WaitGroup

	mu            sync.Mutex
	currentDriver *os.Process           // the latest process that drives the release; nil if there is none
	drivers       []*os.Process         // all processes of release commands
	pausedDrivers map[*Step]*os.Process // by the step that pauses them
	proxies       map[proxyKey][]*faultproxy.StreamProxy
	streamFaults  map[proxyKey]faultproxy.StreamFaults // current faults, with which new proxies begin
	disconnect    map[stepTarget]func()                // ends the connections of a step's clients to a router
	control       standin.Control
}

// stepTarget is one of the routers that a step is applied to.
type stepTarget struct {
	router int
	step   *Step
}

// proxyKey names the proxies of one router for one party.
type proxyKey struct {
	router int
	party  standin.ServerKind
}

// admin is the party behind the proxy for operators' calls to a router. Package standin doesn't know it.
const admin standin.ServerKind = "admin"

// unexpectedEndPrefix begins the text of an event for a process that ended without a step or fault that ends it.
const unexpectedEndPrefix = "ended by itself: "

// Play plays a drill once and checks its claims. When ctx ends it ends every process that it started.
func Play(ctx context.Context, f *File, opt Options) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := &player{drill: f, timeline: &Timeline{}, proxies: map[proxyKey][]*faultproxy.StreamProxy{},
		streamFaults: map[proxyKey]faultproxy.StreamFaults{}, disconnect: map[stepTarget]func(){}, pausedDrivers: map[*Step]*os.Process{}}
	defer p.close()
	if err := p.writeFiles(); err != nil {
		return nil, err
	}
	p.program = opt.RouterProgram
	for i := range f.Day.Routers {
		addr, err := loopback.Reserve(loopback.Admin, i)
		if err != nil {
			return nil, err
		}
		p.adminAddrs = append(p.adminAddrs, addr)
		if opt.onAdminAddr != nil {
			opt.onAdminAddr(p.adminAddrs[i])
		}
		if _, err := p.openProxy(i, admin, p.adminAddrs[i]); err != nil {
			return nil, err
		}
	}
	var err error
	if p.mesh, err = faultproxy.NewMesh(f.Day.Routers, f.Day.Seed); err != nil {
		return nil, err
	}
	day := f.Day
	o := standin.Options{Router: opt.RouterProgram, Series: true, AddressFor: p.openProxy, Arrivals: p.arrivals,
		RouterLog: func(i int) io.Writer { return &lineWriter{timeline: p.timeline, router: i, onLine: p.onLogLine} },
		Peers:     p.peerSettings, Self: f.assignedNumber,
		Admin:       func(i int) string { return p.adminAddrs[i] },
		Variant:     p.variantEnv,
		RequestLost: func(i int, text string) { p.timeline.add(time.Now(), 50*time.Millisecond, "client", i, text) },
		ProcessEnded: func(i int, how string) {
			p.timeline.add(time.Now(), 50*time.Millisecond, "watch", i, unexpectedEndPrefix+how)
		},
	}
	for i := range f.Steps {
		s := &f.Steps[i]
		o.Steps = append(o.Steps, standin.Step{At: day.WarmUp.Std() + s.At.Std(), Action: func() { p.beginStep(i, s) }})
		if s.Duration > 0 {
			o.Steps = append(o.Steps, standin.Step{At: day.WarmUp.Std() + s.At.Std() + s.Duration.Std(), Action: func() { p.endStep(i, s) }})
		}
	}
	var polls sync.WaitGroup
	var lag time.Duration
	o.Started = func(c standin.Control, at time.Time) {
		p.mu.Lock()
		p.control = c
		p.mu.Unlock()
		p.timeline.setWarmUpEnd(at.Add(day.WarmUp.Std()))
		if opt.onBegin != nil {
			opt.onBegin()
		}
		for i := range day.Routers {
			polls.Go(func() { p.pollReady(ctx, i) })
			polls.Go(func() { p.pollView(ctx, i) })
		}
		polls.Go(func() { lag = p.measureLag(ctx) })
		polls.Go(func() { p.pollCommands(ctx, c) })
	}
	result, err := standin.Run(ctx, &day, o)
	cancel()
	polls.Wait()
	p.killDrivers()
	if err != nil {
		return nil, err
	}
	for _, v := range slices.Concat(result.Violations, result.CollapseTraces) {
		p.timeline.add(p.timeline.warmUpEnd.Add(v.At-day.WarmUp.Std()), 50*time.Millisecond, "rules", v.Router, v.String())
	}
	r := &Report{Events: p.timeline.Events(), Lag: lag, Result: result}
	r.Verdicts = checkClaims(f, r.Events, result)
	return r, nil
}

// peerSettings returns the address at which a router listens for its peers and its list of them, with the drill's errors.
func (p *player) peerSettings(router int) (listen string, addrs []string) {
	self := p.drill.assignedNumber(router)
	addrs = p.mesh.PeerAddrs(self)
	for _, l := range p.drill.PeerListFaults {
		if l.Router == router && len(l.SwappedRouters) == 2 {
			addrs[l.SwappedRouters[0]], addrs[l.SwappedRouters[1]] = addrs[l.SwappedRouters[1]], addrs[l.SwappedRouters[0]]
		}
	}
	for i := range p.drill.AbsentRouters { // the host that a router of this number would have; nobody listens there
		host, err := loopback.Host(loopback.Peers, p.drill.Day.Routers+i)
		if err != nil {
			break
		}
		addrs = append(addrs, net.JoinHostPort(host, "9"))
	}
	return p.mesh.RouterAddr(self), addrs
}

// openProxy opens a proxy from a router to the address of a party and returns the proxy's address.
func (p *player) openProxy(router int, party standin.ServerKind, addr string) (string, error) {
	host, err := loopback.Host(loopback.StandIns, router)
	if err != nil {
		return "", err
	}
	w, err := faultproxy.NewStreamProxy(host, addr)
	if err != nil {
		return "", err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	k := proxyKey{router, party}
	w.SetFaults(p.streamFaults[k])
	p.proxies[k] = append(p.proxies[k], w)
	return w.Addr(), nil
}

// arrivals returns the arrival log of the proxied connection whose server side goes from one address to another, or nil.
func (p *player) arrivals(router int, from, to string) *arrival.Log {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, proxies := range p.proxies {
		if key.router != router {
			continue
		}
		for _, proxy := range proxies {
			if log := proxy.Arrivals(from, to); log != nil {
				return log
			}
		}
	}
	return nil
}

func (p *player) close() {
	p.killDrivers()
	if p.folder != "" {
		os.RemoveAll(p.folder)
	}
	if p.mesh != nil {
		p.mesh.Close()
	}
	for _, addr := range p.adminAddrs {
		loopback.Release(addr)
	}
	for _, list := range p.proxies {
		for _, w := range list {
			w.Close()
		}
	}
}

// record adds an event of the drill itself to the timeline. Routers count from 0; -1 is none.
func (p *player) record(router int, format string, args ...any) {
	p.timeline.add(time.Now(), time.Millisecond, "drill", router, fmt.Sprintf(format, args...))
}

// forRouters calls do for each router of the list, or for all routers if the list is empty.
func (p *player) forRouters(list []int, do func(router int)) {
	if len(list) == 0 {
		for i := range p.drill.Day.Routers {
			do(i)
		}
		return
	}
	for _, i := range list {
		do(i)
	}
}

func (p *player) beginStep(n int, s *Step) {
	p.record(-1, "step %d: %s begins", n+1, s.Kind)
	p.forRouters(s.targets(), func(i int) { p.applyStep(i, s, true) })
}

func (p *player) endStep(n int, s *Step) {
	p.record(-1, "step %d: %s ends", n+1, s.Kind)
	p.forRouters(s.targets(), func(i int) { p.applyStep(i, s, false) })
}

// targets returns the routers that the step is applied to. A step that concerns no router is applied once, as if to router 0.
func (s *Step) targets() []int {
	if s.Kind == "release" || s.Kind == "driver" {
		return []int{0}
	}
	return s.Routers
}

// applyStep applies a step to one router, or undoes it if on is false.
func (p *player) applyStep(i int, s *Step, on bool) {
	p.mu.Lock()
	control := p.control
	p.mu.Unlock()
	switch s.Kind {
	case "pause":
		p.record(i, "paused: %v", on)
		control.Signal(i, map[bool]os.Signal{true: syscall.SIGSTOP, false: syscall.SIGCONT}[on])
	case "kill", "term":
		switch p.record(i, "%s: %v", s.Kind, on); {
		case !on:
			control.Start(i)
		case s.Kind == "kill":
			control.Kill(i)
		default:
			control.Signal(i, syscall.SIGTERM)
		}
	case "restart":
		p.restart(i, s, on, control)
	case "reload":
		if on {
			p.sendSignals(i, s.Signals, control)
		}
	case "interrupt":
		if on {
			p.pauseRepeatedly(i, s, control)
		}
	case "crowd":
		p.setClients(i, s, on, func() (release func()) { return control.OpenIdleConns(i, s.IdleConns) })
	case "slow_writes":
		p.setClients(i, s, on, func() (release func()) { return control.OpenSlowWrites(i, s.Writers, s.Duration.Std()/2) })
	case "flood":
		p.setClients(i, s, on, func() (release func()) { return control.OpenFloods(i, s.Writers) })
	case "call":
		if on {
			go p.post(i, expandCacheNames(s.Path, control.CacheName))
		}
	case "release":
		if on {
			p.runRelease(s, control)
		}
	case "driver":
		p.signalDriver(s, on)
	case "datagrams":
		p.forRouters(s.Receivers, func(j int) {
			if i == j {
				return
			}
			var d faultproxy.DatagramFaults
			if on {
				d = faultproxy.DatagramFaults{Loss: s.Loss, Duplicate: s.Duplicate, Corrupt: s.Corrupt, Reorder: s.Reorder,
					Delay: s.Delay.Std(), Jitter: s.Jitter.Std(), Blocked: s.Blocked}
			}
			if p.mesh.SetFaults(i, j, d); s.BothDirections {
				p.mesh.SetFaults(j, i, d)
			}
		})
	default:
		var x faultproxy.StreamFaults
		if on {
			x = faultproxy.StreamFaults{Stall: s.Stall, Reset: s.Reset, ResetAfter: s.ResetAfter, Delay: s.Delay.Std(),
				BytesPerSecond: s.BytesPerSecond}
		}
		p.mu.Lock()
		k := proxyKey{i, standin.ServerKind(s.Kind)}
		wasDelayed, hadFaults, wasReset := p.streamFaults[k].DelaysForwarding(), p.streamFaults[k].HasFaults(), p.streamFaults[k].Reset
		p.streamFaults[k] = x
		list := p.proxies[k]
		p.mu.Unlock()
		if delays := x.DelaysForwarding(); delays != wasDelayed && (k.party == standin.Cache || k.party == standin.Origin) {
			control.RelayDelaying(i, delays)
		}
		if x.Reset != wasReset && k.party == standin.Cache {
			control.RouterUnreachable(i, x.Reset)
		}
		if hasFaults := x.HasFaults(); hasFaults != hadFaults && (k.party == standin.Cache || k.party == standin.Origin) {
			control.RelayFaultChanged(i, hasFaults)
		}
		for _, w := range list {
			w.SetFaults(x)
		}
	}
}

// onLogLine notifies the stand-ins if a router logs that it sends a slot cache no new requests, or that the cache is no longer
// drained. The stand-ins then check that the router keeps to that.
func (p *player) onLogLine(router int, line string) {
	p.mu.Lock()
	control := p.control
	p.mu.Unlock()
	if control == nil {
		return
	}
	switch cache, what := parseCacheLine(line); what {
	case "gets nothing new":
		control.ServerDrained(router, cache, true)
	case "drained no more":
		control.ServerDrained(router, cache, false)
	}
}

// cachePlaceholder matches {cache N}, which stands for the name of slot cache N in the path of a call.
var cachePlaceholder = regexp.MustCompile(`\{cache (\d{1,4})\}`)

// expandCacheNames replaces the placeholders of a path by the names of slot caches.
func expandCacheNames(path string, cache func(n int) string) string {
	return cachePlaceholder.ReplaceAllStringFunc(path, func(x string) string {
		n, _ := strconv.Atoi(cachePlaceholder.FindStringSubmatch(x)[1])
		return cache(n)
	})
}

// adminProxyAddr returns the address of the proxy that forwards operators' calls to a router.
func (p *player) adminProxyAddr(i int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.proxies[proxyKey{i, admin}][0].Addr()
}

// post makes an operators' call to a router and records the answer.
func (p *player) post(i int, path string) {
	addr := p.adminProxyAddr(i)
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Post("http://"+addr+path, "", nil)
	if err != nil {
		p.record(i, "called %s: %v", path, err)
		return
	}
	defer r.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(r.Body, 4096))
	p.record(i, "called %s: %s %s", path, r.Status, strings.TrimSpace(string(body)))
}

// pollChanges calls the function ask for a router at an interval until ctx ends, and records each change of the text that it
// returns. The calls go through the same proxy as those of operators. If a fault of the proxy affects a call, ask returns
// false, or a text that says that there was no answer.
func (p *player) pollChanges(ctx context.Context, i int, from string, every time.Duration,
	ask func(addr string) (text string, ok bool)) {
	addr := p.adminProxyAddr(i)
	tick := time.NewTicker(every)
	defer tick.Stop()
	for last := ""; ; {
		asked := time.Now()
		now, ok := ask(addr)
		if ctx.Err() != nil {
			return
		}
		if ok && now != last {
			half := time.Since(asked)/2 + every/2
			p.timeline.add(asked.Add(half-every/2), half, from, i, now)
			last = now
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// pollReady records each change of whether a router is ready. A router that does not answer counts as not ready.
func (p *player) pollReady(ctx context.Context, i int) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	p.pollChanges(ctx, i, "watch", 100*time.Millisecond, func(addr string) (string, bool) {
		r, err := client.Get("http://" + addr + "/v1/readyz")
		if err != nil {
			return "not ready", true
		}
		r.Body.Close()
		return map[bool]string{true: "ready", false: "not ready"}[r.StatusCode == http.StatusOK], true
	})
}

// pollView records each change of a router's view of the fleet.
func (p *player) pollView(ctx context.Context, i int) {
	p.pollChanges(ctx, i, "view", 200*time.Millisecond, func(addr string) (string, bool) {
		a := peers.FetchReport(ctx, addr)
		if a.Report == nil {
			return "", false
		}
		return viewText(a.Report), true
	})
}

// viewText formats a view for the timeline: its checksum, the state of each router, and the observations of slot caches.
func viewText(v *peers.Report) string {
	var b strings.Builder
	b.WriteString(v.Checksum)
	for _, m := range v.Members {
		b.WriteString(" " + m.State)
	}
	for i, c := range v.Observations {
		b.WriteString(map[bool]string{true: "; ", false: ", "}[i == 0] + c.ID + " " + c.State)
	}
	return b.String()
}

// measureLag returns the longest time by which a timer of this process was late until ctx ended.
func (p *player) measureLag(ctx context.Context) (maxDelay time.Duration) {
	const every = 20 * time.Millisecond
	for {
		begun := time.Now()
		timer := time.NewTimer(every)
		select {
		case <-ctx.Done():
			timer.Stop()
			return maxDelay
		case <-timer.C:
		}
		maxDelay = max(maxDelay, time.Since(begun)-every)
	}
}
