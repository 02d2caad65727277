package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"hoptiller/internal/config"
	"hoptiller/internal/lab/model"
	"hoptiller/internal/lab/rules"
	"hoptiller/internal/lab/sim"
	"hoptiller/internal/lab/tally"
	"hoptiller/internal/testprog"
	"hoptiller/internal/unit"
)

var router string

func TestMain(m *testing.M) {
	if fault := os.Getenv(brokenRouterEnv); fault != "" {
		runBrokenRouter(fault)
		return
	}
	testprog.Main(m, "hoptiller/cmd/hoptiller", &router)
}

func span(s float64) unit.Duration { return unit.Duration(s * float64(time.Second)) }

// A day on sockets is served as in virtual time, through a crash, a router that is killed, one that is stopped,
// a cache that joins and one that leaves; no rule is broken.
func TestDay(t *testing.T) {
	day := model.Prairie()
	day.Warm, day.Length, day.Fleet.Caches, day.Load.Level = span(3), span(6), 6, 0.35
	day.Directory.Notice = [2]unit.Duration{span(0.1), span(0.3)}
	day.Clients.Notice = span(0.3)
	day.Classes[0].Work, day.Classes[1].Deadline, day.Classes[0].Deadline = span(0.05), span(2), span(2)
	for _, faults := range [][]model.Fault{
		nil,
		{{Kind: "crash", At: span(1), For: span(2), Part: 0.2}, {Kind: "router_kill", At: span(2), For: span(1)}},
		{{Kind: "add", At: span(1)}, {Kind: "drain", At: span(2)}, {Kind: "router_restart", At: span(1)}, {Kind: "resets", At: span(3), For: span(1), Size: 10}},
	} {
		t.Run(fmt.Sprint(len(faults)), func(t *testing.T) {
			t.Parallel()
			day := day
			day.Faults = faults
			if err := day.Check(); err != nil {
				t.Fatal(err)
			}
			r, err := Run(context.Background(), &day, Options{Router: router, Series: true})
			if err != nil {
				t.Fatal(err)
			}
			want, err := sim.Run(context.Background(), &day, sim.Hoptiller, sim.Options{})
			if err != nil {
				t.Fatal(err)
			}
			if r.Broken > 0 {
				t.Errorf("%d breaches, first %v", r.Broken, r.Violations[0])
			}
			// A machine that is busy with other tests is late; how near the two come is a measurement of its own.
			if r.Asked != want.Asked || r.Service < want.Service-0.25 {
				t.Errorf("service %.3f of %d, in virtual time %.3f of %d", r.Service, r.Asked, want.Service, want.Asked)
			}
		})
	}
}

// A program that is no router is told.
func TestBadRouter(t *testing.T) {
	day := model.Prairie()
	for program, want := range map[string]string{"/bin/false": "has ended", "/no/such/program": "starting the router"} {
		if _, err := Run(context.Background(), &day, Options{Router: program}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", program, err)
		}
	}
}

// Two calls of a request that are out at once are seen, however soon the first ends after the second has begun, and one that has
// ended before the next began is not: played by hand against the stand-ins.
func TestOneCallOut(t *testing.T) {
	const together = 30 * time.Millisecond
	for _, c := range []struct {
		name       string
		ends, late bool // the first call ends at all, and after the second has begun
	}{{"true", true, false}, {"false", false, false}, {"late", true, true}} {
		ends := c.ends && !c.late
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			day := model.Prairie()
			day.Warm, day.Length, day.Fleet.Caches, day.Routers, day.Load.Level = 0, span(1), 2, 1, 0
			day.Classes[0].Work = span(1.4)
			for i := range day.Classes {
				day.Classes[i].Deadline = span(1.6)
			}
			day.Fleet.MissWork = 1
			dir := t.TempDir()
			played := make(chan struct{})
			go func() {
				defer close(played)
				var text []byte
				for range 500 { // until the stand-ins have written where they are
					if text, _ = os.ReadFile(filepath.Join(dir, "router0", "config.json")); len(text) > 0 {
						break
					}
					time.Sleep(10 * time.Millisecond)
				}
				addr := func(i int) string { return gjson.GetBytes(text, fmt.Sprintf("known.servers.%d.addr", i)).String() }
				first, err := net.Dial("tcp", addr(1))
				if err != nil {
					t.Error(err)
					return
				}
				fmt.Fprint(first, "mg 00000000000000aa v O77 Pc=slot-view,d=1500\r\n")
				time.Sleep(200 * time.Millisecond) // the call has come, and takes over a second
				if ends {
					first.Close()
				} else {
					defer first.Close()
				}
				second, err := net.Dial("tcp", addr(2))
				if err != nil {
					t.Error(err)
					return
				}
				defer second.Close()
				second.SetDeadline(time.Now().Add(testprog.Patience))
				fmt.Fprint(second, "mg 00000000000000aa v O77 Pc=slot-view,d=800\r\n")
				if c.late {
					time.Sleep(together)
					first.Close()
				}
				bufio.NewReader(second).ReadString('\n')
			}()
			r, err := Run(context.Background(), &day, Options{Dir: dir})
			testprog.Await(t, played, "end of what the clients play")
			if err != nil {
				t.Fatal(err)
			}
			seen := slices.ContainsFunc(r.Violations, func(v rules.Violation) bool { return v.Rule == rules.OneCall })
			if seen == ends || r.Calls == 0 {
				t.Errorf("first call ended before %v: %v", ends, r.Violations)
			}
		})
	}
}

// The real router reads the same settings that a simulated one is given.
func TestSettings(t *testing.T) {
	day := model.Prairie()
	day.Round, day.Rules.Copies = span(0.005), true
	text, err := json.Marshal(SettingsJSON(&day, 1))
	if err != nil {
		t.Fatal(err)
	}
	got, _, err := config.ParseSettings(text)
	if want := sim.Settings(&day, 1); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%v\n got %+v\nwant %+v", err, got, want)
	}
}

// A value is its request's own.
func TestValue(t *testing.T) {
	if value("aa", 200, 1) == value("ab", 200, 1) || len(value("aa", 200, 0.001)) < 2 || len(value("aa", 200, 1e9)) > mostValue {
		t.Error("values are alike, too short or too long")
	}
}

// byHand plays an empty day with a router and a slot cache. Before the test itself sends the cache the two calls of a pipeline, the
// first for a request that the router has and the second for one that is over, something else may happen.
func byHand(t *testing.T, before func(c Control)) (answers [2]string, result *tally.Result) {
	day := model.Prairie()
	day.Warm, day.Length, day.Fleet.Caches, day.Routers, day.Load.Level = 0, span(2), 1, 1, 0
	for i := range day.Classes {
		day.Classes[i].Deadline = span(2)
	}
	lines := make(chan string, 2)
	var cache string
	var e *Engine
	opt := Options{Router: router,
		Way: func(_ int, to Party, addr string) (string, error) {
			if to == Cache {
				cache = addr
			}
			return addr, nil
		},
		Begun: func(c Control, _ time.Time) { e = (*Engine)(c.(*steward)) },
		Steps: []Step{{At: 100 * time.Millisecond, Do: func() {
			try := &model.Try{Op: &model.Operation{Key: 0xaa, Work: 0.2, Size: 1, CreatedAt: e.World.Now()}, At: e.World.Now()}
			r := e.newRequest(try)
			r.life = e.nodes[0].life
			e.Check.Taken(e.World.Now(), 0, r.number, 0, e.World.Now()+time.Second)
			before((*steward)(e))
			go func() {
				defer close(lines)
				c, err := net.Dial("tcp", cache)
				if err != nil {
					t.Error(err)
					return
				}
				defer c.Close()
				c.SetDeadline(time.Now().Add(testprog.Patience))
				fmt.Fprintf(c, "mg 00000000000000aa v O%s Pc=slot-view,d=1000\r\nmg 00000000000000bb v Offff Pc=slot-view,d=1000\r\n", r.id)
				answers := bufio.NewReader(c)
				for range 2 {
					line, _ := answers.ReadString('\n')
					lines <- strings.Fields(line + " nothing")[0]
				}
				e.do(func() { e.Check.Left(0, r.number) })
			}()
		}}}}
	result, err := Run(context.Background(), &day, opt)
	if err != nil {
		t.Fatal(err)
	}
	return [2]string{testprog.Await(t, lines, "first answer"), testprog.Await(t, lines, "second answer")}, result
}

// A call whose request is over is turned away in its turn, not before the answers to those ahead of it: a router would
// take it for theirs, and a drill with a paused router did.
func TestGoneInTurn(t *testing.T) {
	if answers, _ := byHand(t, func(Control) {}); answers != [2]string{"EN", "SERVER_ERROR"} {
		t.Errorf("answers %q", answers)
	}
}

// What a router sent before it was killed may come afterwards, through a relay above all, and breaks no rule.
func TestCallOfAKilledRouter(t *testing.T) {
	answers, r := byHand(t, func(c Control) { c.Kill(0) })
	if answers[0] != "EN" || r.Broken > 0 {
		t.Errorf("answers %q, broken %v", answers, r.Violations)
	}
}

// A process that is killed has got its signal before what the rules know of it is forgotten: what it would send in between would
// be held against a life that was told of no server. It did under load.
func TestKilledBeforeForgotten(t *testing.T) {
	byHand(t, func(c Control) {
		n := (*Engine)(c.(*steward)).nodes[0]
		n.mu.Lock() // whoever starts processes has this and waits for the world: to wait for it here never ends
		defer n.mu.Unlock()
		if c.Kill(0); !n.bidden.Load() {
			t.Error("killed later")
		}
	})
}

// A connection whose handshake the day's end has overtaken ends too.
func TestHandshakeAtTheEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	near, far := net.Pipe()
	defer far.Close()
	go far.Write([]byte("mn\r\n"))
	e := &Engine{ctx: ctx}
	l := &link{n: &node{e: e}, c: near, opened: make(chan struct{}), arrived: newArrivals(near, make(chan struct{}), e.goes)}
	done := make(chan bool)
	go func() {
		l.read()
		close(done)
	}()
	testprog.Await(t, done, "end of the connection")
}

// What was sent to a router that is killed is lost, and not without a route: it may have run.
func TestLostWithARouter(t *testing.T) {
	got := make(chan error, 1)
	byHand(t, func(c Control) {
		e := (*Engine)(c.(*steward))
		r := e.newRequest(&model.Try{Op: &model.Operation{Key: 0xab, CreatedAt: e.World.Now()}, At: e.World.Now()})
		r.life = e.nodes[0].life
		near, far := net.Pipe()
		far.Close()
		c.Kill(0)
		go func() {
			<-e.nodes[0].ended
			_, _, err := e.nodes[0].carry(r, &client{near, bufio.NewReader(near)})
			got <- err
		}()
	})
	if err := testprog.Await(t, got, "the request's end"); err == nil || errors.Is(err, errNoRoute) {
		t.Errorf("it ends with %v", err)
	}
}

// Whatever ends a router's process, the next one is held to nothing of it: what it was told, and what it said.
func TestNextLife(t *testing.T) {
	for name, next := range map[string]func(c Control, n *node){
		"ended by itself": func(c Control, n *node) {
			process := n.process.Load()
			n.bidden.Store(true) // the test ends it
			process.Kill()
			<-n.ended
			c.Start(0)
		},
		"ended by a signal": func(c Control, n *node) { c.Signal(0, syscall.SIGTERM); <-n.ended; c.Start(0) },
		"killed":            func(c Control, n *node) { c.Kill(0); <-n.ended; c.Start(0) },
		"replaced":          func(c Control, n *node) { c.Replace(0, "", func(error) {}) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			byHand(t, func(c Control) {
				e := (*Engine)(c.(*steward))
				n, now := e.nodes[0], e.World.Now()
				e.Check.Told(now, 0, model.Update{Members: []model.Member{{Index: 7, Phase: model.Ready}}})
				life := n.life
				began := make(chan struct{})
				go func() {
					defer close(began)
					next(c, n)
					testprog.Until(t, "the next process", func() bool {
						e.mu.Lock()
						defer e.mu.Unlock()
						return n.life > life && n.process.Load() != nil
					})
					e.do(func() {
						before := e.Check.ViolationCount
						e.Check.Taken(e.World.Now(), 0, 99, 0, e.World.Now()+time.Second)
						e.Check.Sent(e.World.Now(), 0, 99, 7)
						if e.Check.ViolationCount != before+1 || e.Check.Violations[len(e.Check.Violations)-1].Rule != rules.Listed {
							t.Errorf("what only the former process was told counts for the next one: %v", e.Check.Violations)
						}
					})
				}()
				t.Cleanup(func() { testprog.Await(t, began, "the next process") })
			})
		})
	}
}
