package middleware

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hoptiller"
	"hoptiller/internal/plan"
	"hoptiller/internal/relay"
	"hoptiller/internal/testprog"
)

func load(t testing.TB, text string) *plan.Plan {
	p, report := plan.Load("f", func(name string) ([]byte, error) {
		if name != "f" {
			return nil, os.ErrNotExist
		}
		return []byte(text), nil
	}, &plan.Platform{Classes: []string{"view"}, Zones: []string{"a", "b"},
		Settings: hoptiller.Settings{MaxAttempts: 5, OriginKind: 2, RetryAfter: true, MaxRetryAfter: time.Second,
			Classes: []hoptiller.Class{{Aim: time.Minute, Deadline: time.Minute}}}})
	if p == nil {
		t.Fatal(report)
	}
	return p
}

// fakeRelay stands in for the relay: it reports each request that arrives and answers when the test says so.
type fakeRelay struct {
	arrived chan *relay.Request
	proceed chan bool
	running atomic.Int64
	peak    atomic.Int64
	updates []relay.Server
}

func (b *fakeRelay) Serve(ctx context.Context, req *relay.Request) relay.Answer {
	n := b.running.Add(1)
	for m := b.peak.Load(); n > m && !b.peak.CompareAndSwap(m, n); m = b.peak.Load() {
	}
	defer b.running.Add(-1)
	b.arrived <- req
	select {
	case <-b.proceed:
	case <-ctx.Done():
	}
	return relay.Answer{Kind: hoptiller.StepServed}
}
func (b *fakeRelay) Told(_ hoptiller.ListKind, s []relay.Server) { b.updates = s }
func (b *fakeRelay) Knows(uint32) bool                           { return true }

func newHandler(t testing.TB, text string) (*Handler, *fakeRelay, chan string) {
	b := &fakeRelay{arrived: make(chan *relay.Request, 1000), proceed: make(chan bool, 1000)}
	rejections := make(chan string, 10000)
	return New(b, b, load(t, text), func(limit string) { rejections <- limit }), b, rejections
}

const onePlaceFor = "policy p {\n\tconcurrency 1\n\tqueue 1 for %s\n}\nroute r {\n\tpolicy p\n}\n"

// await waits until so many wait in a queue.
func await(t *testing.T, g *Handler, n int) {
	testprog.Until(t, fmt.Sprint(n, " wait"), func() bool { _, waiting := g.Counts(); return waiting == n })
}

// One request is admitted, the next waits until the first is answered, the third is rejected at once.
func TestQueue(t *testing.T) {
	g, b, rejections := newHandler(t, fmt.Sprintf(onePlaceFor, "50s"))
	answers := make(chan relay.Answer, 2)
	serve := func(ctx context.Context) {
		answers <- g.Serve(ctx, &relay.Request{Key: []byte("k"), Arrived: time.Now(), Wait: time.Minute})
	}
	go serve(context.Background())
	testprog.Await(t, b.arrived, "request at the relay")
	go serve(context.Background())
	await(t, g, 1)
	if a := g.Serve(context.Background(), &relay.Request{}); a.Kind != hoptiller.StepReject || a.RetryAfter <= 0 || testprog.Await(t, rejections, "limit that was met") != "concurrency of route r" {
		t.Errorf("%+v", a)
	}
	b.proceed <- true
	if req := testprog.Await(t, b.arrived, "the next request at the relay"); time.Until(req.Deadline()) >= time.Minute || req.Narrow == nil {
		t.Errorf("what was waited is not taken off: %+v", req)
	}
	b.proceed <- true
	for range 2 {
		if a := testprog.Await(t, answers, "answer"); a.Kind != hoptiller.StepServed {
			t.Errorf("%+v", a)
		}
	}
	// A request whose client disconnects, and one whose time in the queue is up, give their places back.
	go serve(context.Background())
	testprog.Await(t, b.arrived, "request at the relay")
	ctx, cancel := context.WithCancel(context.Background())
	go serve(ctx)
	await(t, g, 1)
	cancel()
	testprog.Await(t, answers, "answer")
	g.SetPlan(load(t, fmt.Sprintf(onePlaceFor, "2ms")))
	if a := g.Serve(context.Background(), &relay.Request{}); a.Kind != hoptiller.StepReject || testprog.Await(t, rejections, "limit that was met") != "queue of route r" {
		t.Errorf("%+v", a)
	}
	b.proceed <- true
	testprog.Await(t, answers, "answer")
	if in, waiting := g.Counts(); in+waiting > 0 {
		t.Errorf("%d in and %d waiting are left", in, waiting)
	}
}

// A thousand requests in every state (waiting, admitted, disconnecting) while plans change: each gets one answer, no more
// are out than the widest plan allows, and nothing is left behind.
func TestReloadUnderLoad(t *testing.T) {
	g, b, rejections := newHandler(t, fmt.Sprintf(onePlaceFor, "1ms"))
	texts := []string{"", fmt.Sprintf(onePlaceFor, "3ms"), strings.Replace(fmt.Sprintf(onePlaceFor, "1ms"), "concurrency 1", "concurrency adaptive 2 9", 1),
		"limits {\n\tconcurrency 3\n\tqueue 4 for 2ms\n}\nroute r {\n\tclass view\n}\n", "policy p {\n\trate 100/s burst 9\n}\nroute r {\n\tpolicy p\n}\n"}
	var plans []*plan.Plan
	for _, text := range texts {
		plans = append(plans, load(t, text))
	}
	done := make(chan bool)
	go func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-rejections:
			case <-b.arrived:
				b.proceed <- true
				if i%10 == 0 {
					g.SetPlan(plans[i/10%len(plans)])
				}
			}
		}
	}()
	var all sync.WaitGroup
	var count atomic.Int64
	for i := range 40 {
		all.Go(func() {
			for j := range 50 {
				ctx, cancel := context.WithCancel(context.Background())
				if (i+j)%7 == 0 {
					cancel()
				}
				g.Serve(ctx, &relay.Request{Key: []byte("k"), Arrived: time.Now(), Wait: time.Minute})
				cancel()
				count.Add(1)
			}
		})
	}
	all.Wait()
	close(done)
	if in, waiting := g.Counts(); count.Load() != 2000 || in+waiting > 0 || len(g.waiting) > 0 {
		t.Errorf("%d answers; %d in, %d waiting are left", count.Load(), in, waiting)
	}
}

// Pools follow discovery: the whole list, the changes of one, and not a call that failed.
func TestPools(t *testing.T) {
	g, b, _ := newHandler(t, "pool a {\n\tzone a\n}\nroute r {\n\tpool a\n}\n")
	server := func(id uint32, zone int, phase hoptiller.Phase) relay.Server {
		return relay.Server{Server: hoptiller.Server{ID: id, Zone: zone, Phase: phase}}
	}
	allowed := func(id uint32) bool {
		return g.controller.Lookup(0, nil, nil, (&relay.Request{}).Client).Narrowing().Allows(id)
	}
	g.Told(hoptiller.ListFull, []relay.Server{server(1, 0, hoptiller.Ready), server(2, 1, hoptiller.Ready)})
	g.Told(hoptiller.ListFailed, nil)
	if !allowed(1) || allowed(2) || len(b.updates) != 0 {
		t.Error("the list does not make the pool")
	}
	g.Told(hoptiller.ListDelta, []relay.Server{server(1, 0, hoptiller.Draining), server(3, 0, hoptiller.Ready)})
	if allowed(1) || !allowed(3) {
		t.Error("what has changed does not change the pool")
	}
	if g.Told(hoptiller.ListFull, nil); allowed(3) || !g.Knows(1) {
		t.Error("who is not in the list is in the pool")
	}
}

type emptyServer struct{}

func (emptyServer) Serve(context.Context, *relay.Request) relay.Answer {
	return relay.Answer{Kind: hoptiller.StepServed}
}

// What a Handler adds to a request: without a route, with a policy that narrows, and with all limits.
func BenchmarkHandler(b *testing.B) {
	var many strings.Builder
	for i := range 1000 {
		fmt.Fprintf(&many, "route r%d {\n\tkey \"k%d:\"\n\tpolicy p\n}\n", i, i)
	}
	for _, c := range []struct{ name, text string }{
		{"none", ""},
		{"narrowed", "policy p {\n\tattempts 2\n}\nroute r {\n\tpolicy p\n}\n"},
		{"limited", "limits {\n\tconcurrency adaptive 4 200\n}\npolicy p {\n\tconcurrency 100\n\trate 1000000/s burst 100000\n\tbudget 10%\n}\nroute r {\n\tpolicy p\n}\n"},
		{"1000 routes", "policy p {\n\tattempts 2\n}\n" + many.String()},
	} {
		b.Run(c.name, func(b *testing.B) {
			g := New(emptyServer{}, &fakeRelay{}, load(b, c.text), func(string) {})
			req := &relay.Request{Key: []byte("k500:x"), Arrived: time.Now(), Wait: time.Minute}
			b.ReportAllocs()
			for b.Loop() {
				g.Serve(context.Background(), req)
			}
		})
	}
}
