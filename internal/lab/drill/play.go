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
	"hoptiller/internal/lab/standin"
	"hoptiller/internal/lab/tally"
)

// Options say how a drill is played.
type Options struct {
	Router string // the router's program

	listening func(admin string) // for tests: told where each router takes operators' calls,
	begun     func()             // and when the day has begun
}

// Report is what came of a drill.
type Report struct {
	Verdicts []Verdict
	Events   []Event
	Lag      time.Duration // the longest time for which the machine kept the drill itself from running
	Result   *tally.Result
}

// busy is the lag from which a drill says nothing: a router may have stood still for as long, by no fault of anyone's.
const busy = 400 * time.Millisecond

// Busy tells whether the machine was too busy for a verdict.
func (r *Report) Busy() bool { return r.Lag > busy }

// Broken are the claims that don't hold.
func (r *Report) Broken() (all []Verdict) {
	for _, v := range r.Verdicts {
		if !v.Holds {
			all = append(all, v)
		}
	}
	return all
}

// player is one drill that is played.
type player struct {
	f        *File
	timeline *Timeline
	mesh     *faultproxy.Mesh
	admins   []string // operators' addresses of the routers themselves

	folder  string // for what belongs to this drill alone
	program string
	drivers sync.WaitGroup

	mu      sync.Mutex
	driver  *os.Process   // the latest
	started []*os.Process // all
	ways    map[wayKey][]*faultproxy.StreamProxy
	state   map[wayKey]faultproxy.StreamFaults // that new ways begin with
	crowds  map[int]func()                     // by router: ends its crowd
	hand    standin.Control
}

type wayKey struct {
	router int
	to     standin.Party
}

// admin is the operators' way to a router, which the stand-ins know nothing of.
const admin standin.Party = "admin"

// endedByItself begins the text of an event that tells of a process that no step and no fault has ended.
const endedByItself = "ended by itself: "

// Play plays a drill once. When ctx ends, so does every process that it started.
func Play(ctx context.Context, f *File, opt Options) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := &player{f: f, timeline: &Timeline{}, ways: map[wayKey][]*faultproxy.StreamProxy{}, state: map[wayKey]faultproxy.StreamFaults{}, crowds: map[int]func(){}}
	defer p.close()
	if err := p.files(); err != nil {
		return nil, err
	}
	p.program = opt.Router
	for i := range f.Day.Routers {
		addr, err := loopback.Leave(loopback.Admin, i)
		if err != nil {
			return nil, err
		}
		p.admins = append(p.admins, addr)
		if opt.listening != nil {
			opt.listening(p.admins[i])
		}
		if _, err := p.way(i, admin, p.admins[i]); err != nil {
			return nil, err
		}
	}
	var err error
	if p.mesh, err = faultproxy.NewMesh(f.Day.Routers, f.Day.Seed); err != nil {
		return nil, err
	}
	day := f.Day
	o := standin.Options{Router: opt.Router, Series: true, Way: p.way, Arrivals: p.arrivals,
		Logs:  func(i int) io.Writer { return &log{t: p.timeline, router: i, heard: p.heard} },
		Peers: p.peers, Self: f.self,
		Admin:   func(i int) string { return p.admins[i] },
		Variant: p.variant,
		Lost:    func(i int, text string) { p.timeline.add(time.Now(), 50*time.Millisecond, "client", i, text) },
		Ended: func(i int, how string) {
			p.timeline.add(time.Now(), 50*time.Millisecond, "watch", i, endedByItself+how)
		},
	}
	for i := range f.Steps {
		s := &f.Steps[i]
		o.Steps = append(o.Steps, standin.Step{At: day.Warm.D() + s.At.D(), Do: func() { p.begin(i, s) }})
		if s.For > 0 {
			o.Steps = append(o.Steps, standin.Step{At: day.Warm.D() + s.At.D() + s.For.D(), Do: func() { p.end(i, s) }})
		}
	}
	var watch sync.WaitGroup
	var lag time.Duration
	o.Begun = func(c standin.Control, at time.Time) {
		p.mu.Lock()
		p.hand = c
		p.mu.Unlock()
		p.timeline.begin(at.Add(day.Warm.D()))
		if opt.begun != nil {
			opt.begun()
		}
		for i := range day.Routers {
			watch.Go(func() { p.watchReady(ctx, i) })
			watch.Go(func() { p.watchView(ctx, i) })
		}
		watch.Go(func() { lag = p.watchLag(ctx) })
		watch.Go(func() { p.watchAsked(ctx, c) })
	}
	result, err := standin.Run(ctx, &day, o)
	cancel()
	watch.Wait()
	p.endDrivers()
	if err != nil {
		return nil, err
	}
	for _, v := range slices.Concat(result.Violations, result.Courses) {
		p.timeline.add(p.timeline.from.Add(v.At-day.Warm.D()), 50*time.Millisecond, "rules", v.Router, v.String())
	}
	r := &Report{Events: p.timeline.Events(), Lag: lag, Result: result}
	r.Verdicts = judge(f, r.Events, result)
	return r, nil
}

// peers is what a router is told of the others, right or wrong.
func (p *player) peers(router int) (listen string, addrs []string) {
	self := p.f.self(router)
	addrs = p.mesh.PeerAddrs(self)
	for _, l := range p.f.Lists {
		if l.Router == router && len(l.Swap) == 2 {
			addrs[l.Swap[0]], addrs[l.Swap[1]] = addrs[l.Swap[1]], addrs[l.Swap[0]]
		}
	}
	for i := range p.f.Absent { // of the host that a router would have, and nobody listens there
		host, err := loopback.Host(loopback.Peers, p.f.Day.Routers+i)
		if err != nil {
			break
		}
		addrs = append(addrs, net.JoinHostPort(host, "9"))
	}
	return p.mesh.RouterAddr(self), addrs
}

// way puts a relay before a party.
func (p *player) way(router int, to standin.Party, addr string) (string, error) {
	host, err := loopback.Host(loopback.Parties, router)
	if err != nil {
		return "", err
	}
	w, err := faultproxy.NewStreamProxy(host, addr)
	if err != nil {
		return "", err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	k := wayKey{router, to}
	w.SetFaults(p.state[k])
	p.ways[k] = append(p.ways[k], w)
	return w.Addr(), nil
}

// arrivals finds the relay whose connection to a stand-in goes from one address to another.
func (p *player) arrivals(router int, from, to string) *arrival.Log {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, ways := range p.ways {
		if key.router != router {
			continue
		}
		for _, way := range ways {
			if log := way.Arrivals(from, to); log != nil {
				return log
			}
		}
	}
	return nil
}

func (p *player) close() {
	p.endDrivers()
	if p.folder != "" {
		os.RemoveAll(p.folder)
	}
	if p.mesh != nil {
		p.mesh.Close()
	}
	for _, addr := range p.admins {
		loopback.Release(addr)
	}
	for _, list := range p.ways {
		for _, w := range list {
			w.Close()
		}
	}
}

func (p *player) say(router int, format string, args ...any) {
	p.timeline.add(time.Now(), time.Millisecond, "drill", router, fmt.Sprintf(format, args...))
}

// each calls for the routers that a step is about.
func (p *player) each(list []int, do func(router int)) {
	if len(list) == 0 {
		for i := range p.f.Day.Routers {
			do(i)
		}
		return
	}
	for _, i := range list {
		do(i)
	}
}

func (p *player) begin(n int, s *Step) {
	p.say(-1, "step %d: %s begins", n+1, s.Kind)
	p.each(s.who(), func(i int) { p.set(i, s, true) })
}

func (p *player) end(n int, s *Step) {
	p.say(-1, "step %d: %s ends", n+1, s.Kind)
	p.each(s.who(), func(i int) { p.set(i, s, false) })
}

// who are the routers that a step is about; those about none are done once.
func (s *Step) who() []int {
	if s.Kind == "release" || s.Kind == "driver" {
		return []int{0}
	}
	return s.Routers
}

// set does a step to one router, or takes it back.
func (p *player) set(i int, s *Step, on bool) {
	p.mu.Lock()
	hand := p.hand
	p.mu.Unlock()
	switch s.Kind {
	case "pause":
		p.say(i, "paused: %v", on)
		hand.Signal(i, map[bool]os.Signal{true: syscall.SIGSTOP, false: syscall.SIGCONT}[on])
	case "kill", "term":
		switch p.say(i, "%s: %v", s.Kind, on); {
		case !on:
			hand.Start(i)
		case s.Kind == "kill":
			hand.Kill(i)
		default:
			hand.Signal(i, syscall.SIGTERM)
		}
	case "restart":
		p.restart(i, s, on, hand)
	case "reload":
		if on {
			p.signals(i, s.Signals, hand)
		}
	case "interrupt":
		if on {
			p.interrupt(i, s, hand)
		}
	case "crowd":
		p.crowd(i, s, on, hand)
	case "call":
		if on {
			go p.post(i, place(s.Path, hand.Cache))
		}
	case "release":
		if on {
			p.release(s, hand)
		}
	case "driver":
		p.signalDriver(s, on)
	case "datagrams":
		p.each(s.To, func(j int) {
			if i == j {
				return
			}
			var d faultproxy.DatagramFaults
			if on {
				d = faultproxy.DatagramFaults{Loss: s.Drop, Duplicate: s.Double, Corrupt: s.Spoil, Reorder: s.Late, Delay: s.Delay.D(), Jitter: s.Jitter.D(), Blocked: s.Cut}
			}
			if p.mesh.SetFaults(i, j, d); s.Both {
				p.mesh.SetFaults(j, i, d)
			}
		})
	default:
		var x faultproxy.StreamFaults
		if on {
			x = faultproxy.StreamFaults{Stall: s.Stall, Reset: s.Refuse, ResetAfter: s.After, Delay: s.Delay.D(), BytesPerSecond: s.Rate}
		}
		p.mu.Lock()
		k := wayKey{i, standin.Party(s.Kind)}
		held, disturbed, refused := p.state[k].HoldsBack(), p.state[k].Any(), p.state[k].Reset
		p.state[k] = x
		list := p.ways[k]
		p.mu.Unlock()
		if holds := x.HoldsBack(); holds != held && (k.to == standin.Cache || k.to == standin.Origin) {
			hand.HeldBack(i, holds)
		}
		if x.Reset != refused && k.to == standin.Cache {
			hand.Unreachable(i, x.Reset)
		}
		if disturbs := x.Any(); disturbs != disturbed && (k.to == standin.Cache || k.to == standin.Origin) {
			hand.Disturbed(i, disturbs)
		}
		for _, w := range list {
			w.SetFaults(x)
		}
	}
}

// heard holds a router to what it says of slot caches that it sends nothing new.
func (p *player) heard(router int, line string) {
	p.mu.Lock()
	hand := p.hand
	p.mu.Unlock()
	if hand == nil {
		return
	}
	switch cache, what := saidOfCache(line); what {
	case "gets nothing new":
		hand.Aside(router, cache, true)
	case "drained no more":
		hand.Aside(router, cache, false)
	}
}

// cachePlace is what stands in a path for the name of a slot cache, by its number.
var cachePlace = regexp.MustCompile(`\{cache (\d{1,4})\}`)

func place(path string, cache func(n int) string) string {
	return cachePlace.ReplaceAllStringFunc(path, func(x string) string {
		n, _ := strconv.Atoi(cachePlace.FindStringSubmatch(x)[1])
		return cache(n)
	})
}

// operators is where a router takes operators' calls, by way of the relay.
func (p *player) operators(i int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ways[wayKey{i, admin}][0].Addr()
}

// post carries out an operators' call, and tells what was answered.
func (p *player) post(i int, path string) {
	addr := p.operators(i)
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Post("http://"+addr+path, "", nil)
	if err != nil {
		p.say(i, "called %s: %v", path, err)
		return
	}
	defer r.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(r.Body, 4096))
	p.say(i, "called %s: %s %s", path, r.Status, strings.TrimSpace(string(body)))
}

// watch asks a router all the time, and tells of each change of what it says. The operators' way is the drill's as well: what
// can't be asked gives no text, or one that says so.
func (p *player) watch(ctx context.Context, i int, from string, every time.Duration, ask func(addr string) (text string, ok bool)) {
	addr := p.operators(i)
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

// watchReady tells of each change of whether a router is ready: one that can't be asked is not.
func (p *player) watchReady(ctx context.Context, i int) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	p.watch(ctx, i, "watch", 100*time.Millisecond, func(addr string) (string, bool) {
		r, err := client.Get("http://" + addr + "/v1/readyz")
		if err != nil {
			return "not ready", true
		}
		r.Body.Close()
		return map[bool]string{true: "ready", false: "not ready"}[r.StatusCode == http.StatusOK], true
	})
}

// watchView tells of each change of how a router sees the fleet.
func (p *player) watchView(ctx context.Context, i int) {
	p.watch(ctx, i, "view", 200*time.Millisecond, func(addr string) (string, bool) {
		a := peers.Ask(ctx, addr)
		if a.View == nil {
			return "", false
		}
		return viewText(a.View), true
	})
}

// viewText is a view as the timeline has it: its sum, the state of each router, and what is seen of slot caches.
func viewText(v *peers.Report) string {
	var b strings.Builder
	b.WriteString(v.Sum)
	for _, m := range v.Members {
		b.WriteString(" " + m.State)
	}
	for i, c := range v.Caches {
		b.WriteString(map[bool]string{true: "; ", false: ", "}[i == 0] + c.ID + " " + c.State)
	}
	return b.String()
}

// watchLag tells the longest time for which a process that wants next to nothing was kept from running.
func (p *player) watchLag(ctx context.Context) (most time.Duration) {
	const every = 20 * time.Millisecond
	for {
		begun := time.Now()
		timer := time.NewTimer(every)
		select {
		case <-ctx.Done():
			timer.Stop()
			return most
		case <-timer.C:
		}
		most = max(most, time.Since(begun)-every)
	}
}
