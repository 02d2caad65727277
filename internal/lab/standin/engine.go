// Package standin plays a model.Day in real time on loopback sockets, with the real router program: slot
// caches that speak the meta protocol, an origin that speaks HTTP, server discovery, and the clients. Their
// behaviour is that of the model; this package only transports it over sockets.
//
// It binds to loopback addresses only, starts no program but the given router, and stops what it has started.
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
	"hoptiller/internal/lab/invariants"
	"hoptiller/internal/lab/loopback"
	"hoptiller/internal/lab/model"
	"hoptiller/internal/lab/scoring"
	"hoptiller/internal/lab/sim"
	"hoptiller/internal/unit"
)

// Options configures how a day is played.
type Options struct {
	Router    string                     // the router program; empty to wait for routers that others start
	Dir       string                     // directory for the configuration of each router, if Router is empty
	Series    bool                       // keep values for each second
	Log       io.Writer                  // output of the routers; nil discards it
	RouterLog func(router int) io.Writer // output of each router; takes precedence over Log

	// AddressFor, if set, returns the address of a relay in front of a stub server. A router uses this address
	// instead of the server's own. AddressFor is called with the engine's lock held and must not block.
	AddressFor func(router int, to ServerKind, addr string) (string, error)
	// Arrivals, if set, returns a relay's log of when a router's bytes arrived. It is called with the
	// addresses of a connection to a stub server and returns nil if there is no relay.
	Arrivals func(router int, from, to string) *arrival.Log
	// Peers, if set, returns the addresses at which a router communicates with the others: the one to listen
	// at, and a list with the address of each router, its own included.
	Peers func(router int) (listen string, addrs []string)
	// Self, if set, returns the router number that a router's configuration states.
	Self func(router int) int
	// Admin, if set, returns the address at which a router accepts operators' calls.
	Admin func(router int) string
	// Variant, if set, returns the environment for a router of a variant, in addition to its configuration.
	// The settings of every variant but "" contain its name, so that the routers report different settings.
	Variant func(variant string) (env []string)
	// ProcessEnded, if set, is called when a router's process ends without a signal and before the end of the day.
	ProcessEnded func(router int, how string)
	// RequestLost, if set, is called for each request whose connection ended without a complete answer, with a
	// description that contains the request's ID.
	RequestLost func(router int, text string)
	// Steps are run in addition to the day's faults. Started is called when all routers answer, just before
	// the day starts.
	Steps   []Step
	Started func(c Control, at time.Time)
	// Progress, if set, is called once a second while no step runs.
	Progress func(now time.Duration, w *model.World, t *scoring.Scorer)
}

// ServerKind is a kind of server that a router talks to.
type ServerKind string

// The kinds of servers.
const (
	Discovery ServerKind = "directory"
	Cache     ServerKind = "cache"
	Origin    ServerKind = "origin"
)

// Step is an action at a time of the day, measured from its start with the warm-up included. Action is called
// with the engine's lock held and must not block.
type Step struct {
	At     time.Duration
	Action func()
}

// Control controls the routers' processes. Its methods return at once. All but ServerDrained and Interrupt
// must be called from a Step.
type Control interface {
	Signal(router int, s os.Signal)
	Kill(router int)
	// Interrupt pauses a process for a short while, as a machine that lacks cores does. Delays that the pause
	// causes are tolerated; what the process does when it resumes is checked as usual.
	Interrupt(router int, span time.Duration)
	// KillTerminated kills a process that has not ended after SIGTERM. The requests that it has not answered
	// are lost.
	KillTerminated(router int)
	// OpenIdleConns opens idle connections to a router and closes them when release is called.
	OpenIdleConns(router, connections int) (release func())
	// OpenSlowWrites lets clients send a write of the longest value each to a router, over a time. They never send its last byte
	// and disconnect when release is called.
	OpenSlowWrites(router, writers int, over time.Duration) (release func())
	// OpenFloods lets clients send no-ops to a router at full speed until release is called.
	OpenFloods(router, clients int) (release func())
	Start(router int)
	// Replace terminates a router's process and starts another one of the given variant when it has ended.
	// Then it calls done with the error, if any.
	Replace(router int, variant string, done func(error))
	// SettingsDigest returns the digest of settings that routers of a variant report.
	SettingsDigest(variant string) (string, error)
	// CacheName returns the name of the nth slot cache in discovery, counted from 0.
	CacheName(n int) string
	// RelayDelaying records that a relay starts or stops delaying what a router sends to servers.
	RelayDelaying(router int, on bool)
	// RouterUnreachable records that a relay starts or stops resetting all connections of a router to cache servers.
	RouterUnreachable(router int, on bool)
	// RelayFaultChanged records that a relay starts or stops any fault on a router's paths to servers.
	RelayFaultChanged(router int, on bool)
	// ServerDrained records that a router declares to send a slot cache nothing new, or that it revokes this.
	ServerDrained(router int, cache string, yes bool)
}

// slack extends the time limits of the invariants on sockets, because events are observed here later than they
// happen. For the remaining time that an attempt states, it covers both directions: a router counts from when
// it has read the request, which is later than its client wrote it, and a server receives the attempt later
// than the router wrote it. Each delay is under a millisecond on loopback unless a process waits for a core;
// for that case the measured lag is tolerated in addition.
const slack = 50 * time.Millisecond

// Engine plays one day. mu guards the world: its holder may run the world's steps up to the current time.
type Engine struct {
	options   Options
	day       *model.Day
	ctx       context.Context
	wake      chan struct{}
	running   sync.WaitGroup
	startedAt time.Time

	mu sync.Mutex
	scoring.Recorder
	nodes         []*routerNode
	requests      map[string]*clientRequest     // by ID, open requests
	endedRequests map[string]endedRequest       // by ID, requests that have ended
	requestByTry  map[*model.Try]*clientRequest // open requests by their try
	nextID        uint64
	closing       bool
	closers       map[io.Closer]bool
	lag           lagMeter
	requestedLoad recentLoad
}

// clientRequest is one try of a client at a router.
type clientRequest struct {
	try           *model.Try
	deadline      time.Duration // when the time of its client runs out
	id            string
	number        uint32 // identifies the request at its router in the checker's reports
	callCount     int
	incarnation   int // incarnation of its router when the request was sent
	latestCall    *tracedCall
	callArrivedAt map[*model.Call]time.Duration // arrival time of each call
	callEndedAt   map[*model.Call]time.Time     // when each call was answered or lost
	client        *clientConn                   // connection that carries the request
	valueLink     *link                         // connection on which a server last returned its value; nil if none did
	callSummary   callSummary
}

// Run plays a day, which must have passed Validate, and then stops everything that it has started.
func Run(ctx context.Context, day *model.Day, opt Options) (*scoring.Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	e := &Engine{options: opt, day: day, ctx: ctx, wake: make(chan struct{}, 1), requests: map[string]*clientRequest{},
		endedRequests: map[string]endedRequest{}, requestByTry: map[*model.Try]*clientRequest{},
		closers: map[io.Closer]bool{}, startedAt: time.Now()}
	checkedDay := *day
	checkedDay.Invariants.Drain += unit.Duration(slack)
	checkedDay.Invariants.Grace += unit.Duration(slack)
	checkedDay.Invariants.TimeSlack += unit.Duration(slack)
	checkedDay.Invariants.AllowsHedge = true // link.checkOverlap checks overlapping calls instead
	e.Checker = invariants.New(&checkedDay)
	e.Scorer = scoring.New(day, opt.Series)
	defer e.running.Wait()
	defer e.close()
	defer cancel()
	e.World = model.New(day, (*routerTier)(e), (*routerControl)(e), observer{e})
	if day.FillCaches {
		e.World.FillCaches(sim.ZoneHomes(day, sim.Hoptiller, e.World.Discovery.Members()))
	}
	if err := e.listen(); err != nil {
		return nil, err
	}
	for _, s := range opt.Steps {
		e.World.At(s.At, s.Action)
	}
	for _, n := range e.nodes {
		if opt.Router == "" {
			if err := n.writeConfig(); err != nil {
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
		if err := n.waitReady(ctx); err != nil {
			return nil, err
		}
	}
	return e.play(ctx)
}

// play runs the world's steps as they become due. The day starts now, not when its processes were started.
func (e *Engine) play(ctx context.Context) (*scoring.Result, error) {
	e.runUntilEnd(func() { e.measureLag(ctx) })
	if e.options.Router != "" {
		for _, n := range e.nodes {
			e.runUntilEnd(func() { n.measureLag(ctx) })
		}
	}
	e.mu.Lock()
	e.startedAt = time.Now()
	e.mu.Unlock()
	if e.options.Started != nil {
		e.options.Started((*routerControl)(e), e.startedAt)
	}
	longestDeadline := time.Duration(0)
	for _, c := range e.day.Classes {
		longestDeadline = max(longestDeadline, c.Deadline.Std())
	}
	end := e.World.End() + longestDeadline + time.Second
	timer := time.NewTimer(0)
	defer timer.Stop()
	nextSecond := time.Second
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
		if now >= nextSecond && now < e.World.End()+time.Second {
			nextSecond += time.Second
			e.Scorer.Sample(e.World)
			if e.options.Progress != nil {
				e.options.Progress(now, e.World, e.Scorer)
			}
		}
		next, scheduled := e.World.Due()
		if now >= end {
			e.Checker.Finish(now)
			result := e.Scorer.Result(e.World, e.Checker)
			e.closing = true
			e.mu.Unlock()
			return result, nil
		}
		e.mu.Unlock()
		if next = min(next, nextSecond); !scheduled {
			next = nextSecond
		}
		timer.Reset(max(0, next-time.Since(e.startedAt)))
	}
}

// step runs all steps up to the current time. Engine.mu must be held.
func (e *Engine) step() { e.World.RunUntil(time.Since(e.startedAt)) }

// do runs a function on the world at the current time.
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

// listen opens a listener for each pair of router and server, and for the discovery of each router. Each
// router thus has its own address for every server, by which the engine recognises it.
func (e *Engine) listen() error {
	for i := range e.day.Routers {
		n := &routerNode{engine: e, index: i, servers: map[int]net.Listener{}, advertised: map[int]string{}}
		e.nodes = append(e.nodes, n)
		if err := n.listenDiscovery(); err != nil {
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

// closeAtEnd registers a closer that is closed at the end unless unregister is called. It returns false, and
// closes it, if the engine is already closing.
func (e *Engine) closeAtEnd(c io.Closer) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closing {
		c.Close()
		return false
	}
	e.closers[c] = true
	return true
}

func (e *Engine) unregister(c io.Closer) {
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

// runUntilEnd starts a goroutine for which the engine waits at its end.
func (e *Engine) runUntilEnd(run func()) {
	e.running.Add(1)
	go func() {
		defer e.running.Done()
		run()
	}()
}

// newRequest creates the request of a try and gives it an ID.
func (e *Engine) newRequest(t *model.Try) *clientRequest {
	e.nextID++
	request := &clientRequest{callArrivedAt: map[*model.Call]time.Duration{}, callEndedAt: map[*model.Call]time.Time{}, try: t,
		id: fmt.Sprintf("%016x", e.nextID), number: uint32(e.nextID)}
	e.requests[request.id], e.requestByTry[t] = request, request
	return request
}

// forgetRequest removes a request. Engine.mu must be held.
func (e *Engine) forgetRequest(request *clientRequest) {
	delete(e.requests, request.id)
	delete(e.requestByTry, request.try)
}

// newForeignRequest creates a request of a client outside the model, which sent it to a router that someone
// else started. Engine.mu must be held.
func (e *Engine) newForeignRequest(id, name string, keyNumber uint64, write bool) *clientRequest {
	class := 0
	for i := range e.day.Classes {
		if e.day.Classes[i].Name == name {
			class = i
		}
	}
	work := e.day.Classes[class].Work.Seconds()
	e.nextID++
	op := &model.Operation{ID: e.nextID, Class: class, Key: keyNumber, Work: work, Size: 1, Write: write, CreatedAt: e.World.Now()}
	request := &clientRequest{callArrivedAt: map[*model.Call]time.Duration{}, callEndedAt: map[*model.Call]time.Time{},
		try: &model.Try{Op: op, SentAt: e.World.Now()}, id: id, number: uint32(e.nextID)}
	e.requests[id] = request
	e.World.After(e.day.Classes[class].Deadline.Std(), func() { delete(e.requests, id) })
	return request
}

// maxValueBytes limits the size of a value to a few times the size that routers buffer completely.
const maxValueBytes = 256 << 10

// valueFor returns the value for one request, which differs from that for any other request. bytes is the mean
// length of values, and size is the relative size of the object.
func valueFor(id string, bytes int, size float64) string {
	length := max(len(id), min(maxValueBytes, int(float64(bytes)*size)))
	data := make([]byte, length)
	for i := range data {
		data[i] = id[i%len(id)]
	}
	return string(data)
}

func formatKey(number uint64) string {
	text := strconv.FormatUint(number, 16)
	return "0000000000000000"[len(text):] + text
}
