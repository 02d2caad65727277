// Package standin plays a model.Day in real time on loopback sockets, with the
// router's real program in it: slot caches that speak the meta protocol, an
// origin that speaks HTTP, a directory, and the clients. What they do is the
// model's; this package only carries it over sockets.
//
// It binds to loopback addresses alone, starts no program but the router that it
// is told, and ends what it has started.
package standin

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"hoptiller/internal/lab/arrival"
	"hoptiller/internal/lab/loopback"
	"hoptiller/internal/lab/model"
	"hoptiller/internal/lab/rules"
	"hoptiller/internal/lab/sim"
	"hoptiller/internal/lab/tally"
	"hoptiller/internal/unit"
)

// Options say how a day is played.
type Options struct {
	Router string                     // the router's program; empty for none: the stand-ins wait for routers that others start
	Dir    string                     // where configurations for routers are written then, one for each
	Series bool                       // keep what happens second by second
	Log    io.Writer                  // what routers write; nil for none
	Logs   func(router int) io.Writer // the same for each router by itself; goes before Log

	// Way, if set, gives the address that a router is told in the place of a stand-in's: that of a relay before it. It is
	// called with the engine's lock held and must not wait.
	Way func(router int, to Party, addr string) (string, error)
	// Arrivals, if set, gives what a relay knows of when a router's bytes came on the connection that it has from one address to
	// that of a stand-in; nil: there is no relay.
	Arrivals func(router int, from, to string) *arrival.Log
	// Peers, if set, gives what a router is told of the others: where to listen for them, and an address for each by
	// number, its own included.
	Peers func(router int) (listen string, addrs []string)
	// Self, if set, gives the number that a router is told to have.
	Self func(router int) int
	// Admin, if set, gives the address at which a router is to take operators' calls.
	Admin func(router int) string
	// Variant, if set, gives what a router of a variant is started with beside its configuration: its environment. The settings of
	// all but the first, "", name their variant, so that routers show that they have others.
	Variant func(variant string) (env []string)
	// Ended, if set, is told of a router's process that has ended though neither a signal nor the day's end was for it.
	Ended func(router int, how string)
	// Lost, if set, is told of each request whose connection ended without its whole answer, with its id, and what is known of that.
	Lost func(router int, text string)
	// Steps are done beside the day's faults. Begun is called once all routers answer, just before the day begins.
	Steps []Step
	Begun func(c Control, at time.Time)
	// Progress, if set, is called once a second while no step is taken.
	Progress func(now time.Duration, w *model.World, t *tally.Tally)
}

// Party is whom a router speaks to.
type Party string

// The parties.
const (
	Directory Party = "directory"
	Cache     Party = "cache"
	Origin    Party = "origin"
)

// Step is something that is done at a time of the day, counted from its beginning, with the warm-up. Do is called with
// the engine's lock held and must not wait for anything.
type Step struct {
	At time.Duration
	Do func()
}

// Control has a hand on the routers' processes. Its calls return at once, and but for Aside are for steps.
type Control interface {
	Signal(router int, s os.Signal)
	Kill(router int)
	// Interrupt holds a process up for a short while, as a machine that is short of cores does. What comes late by that is allowed for, and
	// nothing else is: what it does when it goes on has to be right.
	Interrupt(router int, span time.Duration)
	// KillTerminated kills a process that was asked to end and has not: what it has not answered is lost.
	KillTerminated(router int)
	// Crowd opens connections to a router on which nothing is said, until release is called.
	Crowd(router, connections int) (release func())
	Start(router int)
	// Replace asks a router's process to end and starts another one, of a variant, once it has; done is called then, and told what
	// went wrong.
	Replace(router int, variant string, done func(error))
	// Shows is the digest of settings that routers of a variant show.
	Shows(variant string) (string, error)
	// Cache is the name of a slot cache as the directory has it, by number from 0.
	Cache(n int) string
	// HeldBack tells that a relay begins to hold back what a router sends to servers, or that it ends doing so.
	HeldBack(router int, on bool)
	// Unreachable tells that a relay begins to reset all of a router's connections to cache servers, or that it ends doing so.
	Unreachable(router int, on bool)
	// Disturbed tells that a relay begins to do anything to a router's ways to servers, or that it ends doing so.
	Disturbed(router int, on bool)
	// Aside tells that a router has said to send a slot cache nothing new, or that it does again.
	Aside(router int, cache string, yes bool)
}

// slack is what a rule's time limits are longer on sockets: what is seen here is later than what was done. For the time that
// an attempt tells it covers both ways: a router counts from when it has read the request, which is later than its client
// wrote it, and a server gets the attempt later than the router wrote it. Each takes under a millisecond on loopback
// unless a process waits for a core; for that the lag that is measured at the time is allowed beside it.
const slack = 50 * time.Millisecond

// Engine is one day that is played. The world is guarded by mu: whoever has it
// may take steps up to the present.
type Engine struct {
	opt   Options
	day   *model.Day
	ctx   context.Context
	wake  chan struct{}
	done  sync.WaitGroup
	begun time.Time

	mu sync.Mutex
	tally.Judge
	nodes   []*node
	tries   map[string]*request     // by id, of requests that are open
	ended   map[string]endedRequest // by id, of those that are over
	byTry   map[*model.Try]*request // and by what they are for
	nextID  uint64
	closing bool
	closers map[io.Closer]bool
	lag     lagMeter
	asked   load
}

// request is one try of a client on its way through a router.
type request struct {
	try     *model.Try
	end     time.Duration // when its client's time is up
	id      string
	number  uint32 // at its router, for the rules
	calls   int
	life    int                           // of its router, when it was sent there
	out     *outCall                      // the latest
	sent    map[*model.Call]time.Duration // when each came
	ended   map[*model.Call]time.Time     // when each was answered or lost
	conn    *client                       // that carries it
	answer  *link                         // on which a server gave its value last; nil: none did
	calling callTimes
}

// Run plays a day, which must have passed Check, and then ends all that it has started.
func Run(ctx context.Context, day *model.Day, opt Options) (*tally.Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	e := &Engine{opt: opt, day: day, ctx: ctx, wake: make(chan struct{}, 1), tries: map[string]*request{}, ended: map[string]endedRequest{}, byTry: map[*model.Try]*request{},
		closers: map[io.Closer]bool{}, begun: time.Now()}
	judged := *day
	judged.Rules.Drain += unit.Duration(slack)
	judged.Rules.Grace += unit.Duration(slack)
	judged.Rules.TimeSlack += unit.Duration(slack)
	judged.Rules.Copies = true // link.alone looks whether two calls are out at once
	e.Check = rules.New(&judged)
	e.Tally = tally.New(day, opt.Series)
	defer e.done.Wait()
	defer e.close()
	defer cancel()
	e.World = model.New(day, (*tier)(e), (*steward)(e), watcher{e})
	if day.Fill {
		e.World.Fill(sim.ZoneHomes(day, sim.Hoptiller, e.World.Directory.Present()))
	}
	if err := e.listen(); err != nil {
		return nil, err
	}
	for _, s := range opt.Steps {
		e.World.At(s.At, s.Do)
	}
	for _, n := range e.nodes {
		if opt.Router == "" {
			if err := n.place(); err != nil {
				return nil, err
			}
			continue
		}
		if err := n.start(); err != nil {
			return nil, err
		}
		defer os.RemoveAll(n.dir)
	}
	for _, n := range e.nodes {
		if opt.Router == "" {
			continue
		}
		if err := n.ready(ctx); err != nil {
			return nil, err
		}
	}
	return e.play(ctx)
}

// play takes the world's steps as they fall due. The day begins now, not when its parts were started.
func (e *Engine) play(ctx context.Context) (*tally.Result, error) {
	e.goes(func() { e.watchLag(ctx) })
	if e.opt.Router != "" {
		for _, n := range e.nodes {
			e.goes(func() { n.watchLag(ctx) })
		}
	}
	e.mu.Lock()
	e.begun = time.Now()
	e.mu.Unlock()
	if e.opt.Begun != nil {
		e.opt.Begun((*steward)(e), e.begun)
	}
	longest := time.Duration(0)
	for _, c := range e.day.Classes {
		longest = max(longest, c.Deadline.D())
	}
	end := e.World.End() + longest + time.Second
	timer := time.NewTimer(0)
	defer timer.Stop()
	second := time.Second
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timer.C:
		case <-e.wake:
		}
		e.mu.Lock()
		e.step()
		now := e.World.Now()
		if now >= second && now < e.World.End()+time.Second {
			second += time.Second
			e.Tally.Sample(e.World)
			if e.opt.Progress != nil {
				e.opt.Progress(now, e.World, e.Tally)
			}
		}
		due, ok := e.World.Due()
		if now >= end {
			e.Check.Finish(now)
			r := e.Tally.Result(e.World, e.Check)
			e.closing = true
			e.mu.Unlock()
			return r, nil
		}
		e.mu.Unlock()
		if due = min(due, second); !ok {
			due = second
		}
		timer.Reset(max(0, due-time.Since(e.begun)))
	}
}

// step takes all steps up to the present; e.mu is held.
func (e *Engine) step() { e.World.RunUntil(time.Since(e.begun)) }

// do has something happen in the world now.
func (e *Engine) do(run func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closing {
		return
	}
	e.step()
	run()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// listen opens a listener for each pair of router and server, and for the directory of each router: a
// router reaches every party at addresses of its own, by which it is known.
func (e *Engine) listen() error {
	for i := range e.day.Routers {
		n := &node{e: e, index: i, servers: map[int]net.Listener{}, told: map[int]string{}}
		e.nodes = append(e.nodes, n)
		if err := n.listenDirectory(); err != nil {
			return err
		}
		for s := range e.World.ServerCount() {
			if err := n.listenServer(s); err != nil {
				return err
			}
		}
	}
	return nil
}

// keep has something closed at the end, unless forget says that it is.
func (e *Engine) keep(c io.Closer) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closing {
		c.Close()
		return false
	}
	e.closers[c] = true
	return true
}

func (e *Engine) forget(c io.Closer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.closers, c)
}

func (e *Engine) close() {
	e.mu.Lock()
	e.closing = true
	for c := range e.closers {
		c.Close()
	}
	nodes := e.nodes
	e.mu.Unlock()
	for _, n := range nodes {
		n.kill()
		loopback.Release(n.addr)
	}
}

// goes runs something until the engine has ended.
func (e *Engine) goes(run func()) {
	e.done.Add(1)
	go func() {
		defer e.done.Done()
		run()
	}()
}

// newRequest gives a try its id.
func (e *Engine) newRequest(t *model.Try) *request {
	e.nextID++
	r := &request{sent: map[*model.Call]time.Duration{}, ended: map[*model.Call]time.Time{}, try: t, id: fmt.Sprintf("%016x", e.nextID), number: uint32(e.nextID)}
	e.tries[r.id], e.byTry[t] = r, r
	return r
}

// over forgets a request; e.mu is held.
func (e *Engine) over(r *request) {
	delete(e.tries, r.id)
	delete(e.byTry, r.try)
}

// stranger makes a request of a client that is not the model's: it came to a router that someone else
// started. e.mu is held.
func (e *Engine) stranger(id, name string, k uint64, write bool) *request {
	class := 0
	for i := range e.day.Classes {
		if e.day.Classes[i].Name == name {
			class = i
		}
	}
	work := e.day.Classes[class].Work.Seconds()
	e.nextID++
	op := &model.Operation{ID: e.nextID, Class: class, Key: k, Work: work, Size: 1, Write: write, CreatedAt: e.World.Now()}
	r := &request{sent: map[*model.Call]time.Duration{}, ended: map[*model.Call]time.Time{}, try: &model.Try{Op: op, At: e.World.Now()}, id: id, number: uint32(e.nextID)}
	e.tries[id] = r
	e.World.After(e.day.Classes[class].Deadline.D(), func() { delete(e.tries, id) })
	return r
}

// mostValue bounds the bytes of a value: a few times what routers hold whole.
const mostValue = 256 << 10

// value is what is answered to one request, and to no other, for an object of a size where the mean value has so many bytes.
func value(id string, bytes int, size float64) string {
	n := max(len(id), min(mostValue, int(float64(bytes)*size)))
	b := make([]byte, n)
	for i := range b {
		b[i] = id[i%len(id)]
	}
	return string(b)
}

func key(k uint64) string {
	s := strconv.FormatUint(k, 16)
	return "0000000000000000"[len(s):] + s
}
