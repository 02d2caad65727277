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
	"hoptiller/internal/lab/invariants"
	"hoptiller/internal/lab/model"
	"hoptiller/internal/lab/scoring"
	"hoptiller/internal/lab/sim"
	"hoptiller/internal/testprog"
	"hoptiller/internal/unit"
)

var routerProgram string

func TestMain(m *testing.M) {
	if fault := os.Getenv(faultyRouterEnv); fault != "" {
		runFaultyRouter(fault)
		return
	}
	testprog.Main(m, "hoptiller/cmd/hoptiller", &routerProgram)
}

func toDuration(s float64) unit.Duration { return unit.Duration(s * float64(time.Second)) }

// TestDay checks that a day on sockets is served as well as in virtual time, through a crash, a killed router,
// a stopped router, a cache that joins and one that leaves, and that no invariant is violated.
func TestDay(t *testing.T) {
	day := model.DefaultDay()
	day.WarmUp, day.Length, day.Fleet.Caches, day.Load.Level = toDuration(3), toDuration(6), 6, 0.35
	day.Discovery.NoticeDelay = [2]unit.Duration{toDuration(0.1), toDuration(0.3)}
	day.Clients.DeadRouterNotice = toDuration(0.3)
	day.Classes[0].Work, day.Classes[1].Deadline, day.Classes[0].Deadline = toDuration(0.05), toDuration(2), toDuration(2)
	for _, faults := range [][]model.Fault{
		nil,
		{{Kind: "crash", At: toDuration(1), Duration: toDuration(2), Share: 0.2},
			{Kind: "router_kill", At: toDuration(2), Duration: toDuration(1)}},
		{{Kind: "add", At: toDuration(1)}, {Kind: "drain", At: toDuration(2)}, {Kind: "router_restart", At: toDuration(1)},
			{Kind: "resets", At: toDuration(3), Duration: toDuration(1), Severity: 10}},
	} {
		t.Run(fmt.Sprint(len(faults)), func(t *testing.T) {
			t.Parallel()
			day := day
			day.Faults = faults
			if err := day.Validate(); err != nil {
				t.Fatal(err)
			}
			result, err := Run(context.Background(), &day, Options{Router: routerProgram, Series: true})
			if err != nil {
				t.Fatal(err)
			}
			want, err := sim.Run(context.Background(), &day, sim.Hoptiller, sim.Options{})
			if err != nil {
				t.Fatal(err)
			}
			if result.ViolationCount > 0 {
				t.Errorf("%d violations, first %v", result.ViolationCount, result.Violations[0])
			}
			// A machine that is busy with other tests lags, so the bound is loose. A separate measurement
			// compares the two closely.
			if result.Asked != want.Asked || result.Service < want.Service-0.25 {
				t.Errorf("service %.3f of %d, in virtual time %.3f of %d", result.Service, result.Asked, want.Service, want.Asked)
			}
		})
	}
}

// TestBadRouter checks that starting a program that is no router is an error.
func TestBadRouter(t *testing.T) {
	day := model.DefaultDay()
	for program, want := range map[string]string{"/bin/false": "has ended", "/no/such/program": "starting the router"} {
		if _, err := Run(context.Background(), &day, Options{Router: program}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", program, err)
		}
	}
}

// TestOverlappingCalls checks that two calls of a request in flight at once are detected, however soon the
// first ends after the second has started, and that a call which ended before the next one started is no
// violation. The test itself sends the calls to the stub servers.
func TestOverlappingCalls(t *testing.T) {
	const overlap = 30 * time.Millisecond
	for _, test := range []struct {
		name       string
		ends, late bool // whether the first call ends at all, and whether it ends after the second has started
	}{{"true", true, false}, {"false", false, false}, {"late", true, true}} {
		ends := test.ends && !test.late
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			day := model.DefaultDay()
			day.WarmUp, day.Length, day.Fleet.Caches, day.Routers, day.Load.Level = 0, toDuration(1), 2, 1, 0
			day.Classes[0].Work = toDuration(1.4)
			for i := range day.Classes {
				day.Classes[i].Deadline = toDuration(1.6)
			}
			day.Fleet.MissWork = 1
			dir := t.TempDir()
			played := make(chan struct{})
			go func() {
				defer close(played)
				var text []byte
				for range 500 { // until the stub servers have written their addresses
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
				time.Sleep(200 * time.Millisecond) // the call has arrived and takes over a second
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
				second.SetDeadline(time.Now().Add(testprog.WaitTimeout))
				fmt.Fprint(second, "mg 00000000000000aa v O77 Pc=slot-view,d=800\r\n")
				if test.late {
					time.Sleep(overlap)
					first.Close()
				}
				bufio.NewReader(second).ReadString('\n')
			}()
			result, err := Run(context.Background(), &day, Options{Dir: dir})
			testprog.Await(t, played, "the end of the clients' calls")
			if err != nil {
				t.Fatal(err)
			}
			detected := slices.ContainsFunc(result.Violations, func(v invariants.Violation) bool { return v.Rule == invariants.OneCall })
			if detected == ends || result.Calls == 0 {
				t.Errorf("first call ended before the second: %v; violations %v", ends, result.Violations)
			}
		})
	}
}

// TestSettings checks that the real router reads the same settings that a simulated one gets.
func TestSettings(t *testing.T) {
	day := model.DefaultDay()
	day.EventInterval, day.Invariants.AllowsHedge = toDuration(0.005), true
	text, err := json.Marshal(SettingsJSON(&day, 1))
	if err != nil {
		t.Fatal(err)
	}
	got, _, err := config.ParseSettings(text)
	if want := sim.Settings(&day, 1); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%v\n got %+v\nwant %+v", err, got, want)
	}
}

// TestValue checks that different requests get different values, and that the length of a value has bounds.
func TestValue(t *testing.T) {
	if valueFor("aa", 200, 1) == valueFor("ab", 200, 1) || len(valueFor("aa", 200, 0.001)) < 2 ||
		len(valueFor("aa", 200, 1e9)) > maxValueBytes {
		t.Error("values of two requests are equal, or a value is too short or too long")
	}
}

// playByHand plays a day without load, with one router and one slot cache. The test itself sends the cache a
// pipeline of two calls: the first belongs to an open request of the router, the second to one that has ended.
// before runs ahead of that.
func playByHand(t *testing.T, before func(c Control)) (answers [2]string, result *scoring.Result) {
	day := model.DefaultDay()
	day.WarmUp, day.Length, day.Fleet.Caches, day.Routers, day.Load.Level = 0, toDuration(2), 1, 1, 0
	for i := range day.Classes {
		day.Classes[i].Deadline = toDuration(2)
	}
	lines := make(chan string, 2)
	var cache string
	var e *Engine
	opt := Options{Router: routerProgram,
		AddressFor: func(_ int, to ServerKind, addr string) (string, error) {
			if to == Cache {
				cache = addr
			}
			return addr, nil
		},
		Started: func(c Control, _ time.Time) { e = (*Engine)(c.(*routerControl)) },
		Steps: []Step{{At: 100 * time.Millisecond, Action: func() {
			try := &model.Try{Op: &model.Operation{Key: 0xaa, Work: 0.2, Size: 1, CreatedAt: e.World.Now()}, SentAt: e.World.Now()}
			request := e.newRequest(try)
			request.incarnation = e.nodes[0].incarnation
			e.Checker.RequestTaken(e.World.Now(), 0, request.number, 0, e.World.Now()+time.Second)
			before((*routerControl)(e))
			go func() {
				defer close(lines)
				c, err := net.Dial("tcp", cache)
				if err != nil {
					t.Error(err)
					return
				}
				defer c.Close()
				c.SetDeadline(time.Now().Add(testprog.WaitTimeout))
				fmt.Fprintf(c, "mg 00000000000000aa v O%s Pc=slot-view,d=1000\r\nmg 00000000000000bb v Offff Pc=slot-view,d=1000\r\n",
					request.id)
				answers := bufio.NewReader(c)
				for range 2 {
					line, _ := answers.ReadString('\n')
					lines <- strings.Fields(line + " nothing")[0]
				}
				e.do(func() { e.Checker.ClientDisconnected(0, request.number) })
			}()
		}}}}
	result, err := Run(context.Background(), &day, opt)
	if err != nil {
		t.Fatal(err)
	}
	return [2]string{testprog.Await(t, lines, "first answer"), testprog.Await(t, lines, "second answer")}, result
}

// TestRejectionInOrder checks that a call whose request has ended is rejected in its turn, after the answers
// to the calls before it. In a drill with a paused router, an early rejection was taken for the answer to an
// earlier call.
func TestRejectionInOrder(t *testing.T) {
	if answers, _ := playByHand(t, func(Control) {}); answers != [2]string{"EN", "SERVER_ERROR"} {
		t.Errorf("answers %q", answers)
	}
}

// TestCallOfKilledRouter checks that a call which a router sent before it was killed may arrive afterwards, as
// happens through a relay, and is no violation.
func TestCallOfKilledRouter(t *testing.T) {
	answers, result := playByHand(t, func(c Control) { c.Kill(0) })
	if answers[0] != "EN" || result.ViolationCount > 0 {
		t.Errorf("answers %q, violations %v", answers, result.Violations)
	}
}

// TestKillBeforeReset checks that a killed process gets its signal before the checker resets its state. In the
// opposite order, which occurred under load, a call that it sent in between was checked against a process
// without any listed server.
func TestKillBeforeReset(t *testing.T) {
	playByHand(t, func(c Control) {
		n := (*Engine)(c.(*routerControl)).nodes[0]
		// The code that starts processes holds this lock and waits for the world, so waiting for it here would deadlock.
		n.mu.Lock()
		defer n.mu.Unlock()
		if c.Kill(0); !n.expectedToEnd.Load() {
			t.Error("the process was signalled only after the reset")
		}
	})
}

// TestHandshakeAtEnd checks that a connection ends if the day ends during its handshake.
func TestHandshakeAtEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	near, far := net.Pipe()
	defer far.Close()
	go far.Write([]byte("mn\r\n"))
	e := &Engine{ctx: ctx}
	l := &link{node: &routerNode{engine: e}, socket: near, opened: make(chan struct{}),
		reader: newTimedReader(near, make(chan struct{}), e.runUntilEnd)}
	done := make(chan bool)
	go func() {
		l.read()
		close(done)
	}()
	testprog.Await(t, done, "end of the connection")
}

// TestLostWithRouter checks that a request sent to a router that is then killed counts as lost, and not as
// unroutable, because it may have been executed.
func TestLostWithRouter(t *testing.T) {
	got := make(chan error, 1)
	playByHand(t, func(c Control) {
		e := (*Engine)(c.(*routerControl))
		request := e.newRequest(&model.Try{Op: &model.Operation{Key: 0xab, CreatedAt: e.World.Now()}, SentAt: e.World.Now()})
		request.incarnation = e.nodes[0].incarnation
		near, far := net.Pipe()
		far.Close()
		c.Kill(0)
		go func() {
			<-e.nodes[0].ended
			_, _, err := e.nodes[0].exchangeWithRetry(request, &clientConn{near, bufio.NewReader(near)})
			got <- err
		}()
	})
	if err := testprog.Await(t, got, "the end of the request"); err == nil || errors.Is(err, errNoRouter) {
		t.Errorf("the request ended with %v", err)
	}
}

// TestNextProcess checks that a new process of a router is not checked against what the previous one received
// and declared, whatever ended the previous one.
func TestNextProcess(t *testing.T) {
	for name, next := range map[string]func(c Control, n *routerNode){
		"ended by itself": func(c Control, n *routerNode) {
			process := n.process.Load()
			n.expectedToEnd.Store(true) // this end is on purpose
			process.Kill()
			<-n.ended
			c.Start(0)
		},
		"ended by a signal": func(c Control, n *routerNode) { c.Signal(0, syscall.SIGTERM); <-n.ended; c.Start(0) },
		"killed":            func(c Control, n *routerNode) { c.Kill(0); <-n.ended; c.Start(0) },
		"replaced":          func(c Control, n *routerNode) { c.Replace(0, "", func(error) {}) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playByHand(t, func(c Control) {
				e := (*Engine)(c.(*routerControl))
				n, now := e.nodes[0], e.World.Now()
				e.Checker.UpdateReceived(now, 0, model.ListUpdate{Members: []model.Member{{ServerIndex: 7, Phase: model.Ready}}})
				incarnation := n.incarnation
				restarted := make(chan struct{})
				go func() {
					defer close(restarted)
					next(c, n)
					testprog.Eventually(t, "the next process", func() bool {
						e.mu.Lock()
						defer e.mu.Unlock()
						return n.incarnation > incarnation && n.process.Load() != nil
					})
					e.do(func() {
						before := e.Checker.ViolationCount
						e.Checker.RequestTaken(e.World.Now(), 0, 99, 0, e.World.Now()+time.Second)
						e.Checker.CallSent(e.World.Now(), 0, 99, 7)
						if e.Checker.ViolationCount != before+1 || e.Checker.Violations[len(e.Checker.Violations)-1].Rule != invariants.Listed {
							t.Errorf("a list that only the previous process received counts for the next one: %v", e.Checker.Violations)
						}
					})
				}()
				t.Cleanup(func() { testprog.Await(t, restarted, "the next process") })
			})
		})
	}
}
