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
		Settings: hoptiller.Settings{MaxAttempts: 5, OriginKind: 2, SendsRetryAfter: true, MaxRetryAfter: time.Second,
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

func (r *fakeRelay) Serve(ctx context.Context, req *relay.Request) relay.Answer {
	running := r.running.Add(1)
	for peak := r.peak.Load(); running > peak && !r.peak.CompareAndSwap(peak, running); peak = r.peak.Load() {
	}
	defer r.running.Add(-1)
	r.arrived <- req
	select {
	case <-r.proceed:
	case <-ctx.Done():
	}
	return relay.Answer{Kind: hoptiller.StepServed}
}
func (r *fakeRelay) UpdateServers(_ hoptiller.ListKind, s []relay.Server) { r.updates = s }
func (r *fakeRelay) Knows(uint32) bool                                    { return true }

func newHandler(t testing.TB, text string) (*Handler, *fakeRelay, chan string) {
	fake := &fakeRelay{arrived: make(chan *relay.Request, 1000), proceed: make(chan bool, 1000)}
	rejections := make(chan string, 10000)
	return New(fake, fake, load(t, text), func(_ *relay.Request, limit string) { rejections <- limit }), fake, rejections
}

const oneSlotPlan = "policy p {\n\tconcurrency 1\n\tqueue 1 for %s\n}\nroute r {\n\tpolicy p\n}\n"

// awaitWaiting waits until n requests wait in a queue.
func awaitWaiting(t *testing.T, h *Handler, n int) {
	testprog.Eventually(t, fmt.Sprint(n, " wait"), func() bool { _, waiting := h.Counts(); return waiting == n })
}

const twoQueuesPlan = `limits {
	concurrency 1
	queue 9 for 50s
}
policy p {
	concurrency 1
	queue 9 for 50s
}
policy other {
	concurrency 1
	queue 9 for 50s
}
route r {
	policy p
}
route s {
	key "s*"
	policy other
}
`

// Guards against a request that waits in its route's queue and then in that of all routes until after its client's time, since
// each queue has a maximum wait of its own.
func TestQueuesTogetherEndWithinRequestTime(t *testing.T) {
	t.Parallel()
	h, fake, rejections := newHandler(t, twoQueuesPlan)
	answers := make(chan relay.Answer, 3)
	serve := func(key string, timeout time.Duration) {
		answers <- h.Serve(context.Background(), &relay.Request{Key: []byte(key), Arrived: time.Now(), Timeout: timeout})
	}
	go serve("s1", time.Minute) // holds the only slot of all routes
	testprog.Await(t, fake.arrived, "request at the relay")
	go serve("k1", time.Minute) // waits for that slot, and holds the only one of its route
	awaitWaiting(t, h, 1)
	const timeout = 200 * time.Millisecond
	started := time.Now()
	go serve("k2", timeout)
	if answer := testprog.Await(t, answers, "answer to the request with little time"); answer.Kind != hoptiller.StepReject {
		t.Errorf("%+v", answer)
	}
	if waited := time.Since(started); waited > timeout+500*time.Millisecond {
		t.Errorf("rejected after %v, with a time of %v", waited, timeout)
	}
	testprog.Await(t, rejections, "limit that rejects")
	for range 2 {
		fake.proceed <- true
	}
	for range 2 {
		testprog.Await(t, answers, "answer")
	}
}

// One request is admitted, the next waits until the first is answered, the third is rejected at once.
func TestQueue(t *testing.T) {
	h, fake, rejections := newHandler(t, fmt.Sprintf(oneSlotPlan, "50s"))
	answers := make(chan relay.Answer, 2)
	serve := func(ctx context.Context) {
		answers <- h.Serve(ctx, &relay.Request{Key: []byte("k"), Arrived: time.Now(), Timeout: time.Minute})
	}
	go serve(context.Background())
	testprog.Await(t, fake.arrived, "request at the relay")
	go serve(context.Background())
	awaitWaiting(t, h, 1)
	if a := h.Serve(context.Background(), &relay.Request{Arrived: time.Now(), Timeout: time.Minute}); a.Kind != hoptiller.StepReject || a.RetryAfter <= 0 ||
		testprog.Await(t, rejections, "limit that rejects") != "concurrency of route r" {
		t.Errorf("%+v", a)
	}
	fake.proceed <- true
	if req := testprog.Await(t, fake.arrived, "the next request at the relay"); time.Until(req.Deadline()) >= time.Minute ||
		req.Constraints == nil {
		t.Errorf("the time in the queue is not subtracted from the deadline: %+v", req)
	}
	fake.proceed <- true
	for range 2 {
		if a := testprog.Await(t, answers, "answer"); a.Kind != hoptiller.StepServed {
			t.Errorf("%+v", a)
		}
	}
	// A request whose client disconnects, and one whose time in the queue is up, free their places in the queue.
	go serve(context.Background())
	testprog.Await(t, fake.arrived, "request at the relay")
	ctx, cancel := context.WithCancel(context.Background())
	go serve(ctx)
	awaitWaiting(t, h, 1)
	cancel()
	testprog.Await(t, answers, "answer")
	h.SetPlan(load(t, fmt.Sprintf(oneSlotPlan, "2ms")))
	if a := h.Serve(context.Background(), &relay.Request{Arrived: time.Now(), Timeout: time.Minute}); a.Kind != hoptiller.StepReject ||
		testprog.Await(t, rejections, "limit that rejects") != "queue of route r" {
		t.Errorf("%+v", a)
	}
	fake.proceed <- true
	testprog.Await(t, answers, "answer")
	if in, waiting := h.Counts(); in+waiting > 0 {
		t.Errorf("%d admitted and %d waiting requests remain", in, waiting)
	}
}

// Forty clients send fifty requests each, and some disconnect, while plans change. Each request gets one answer in every state
// (waiting, admitted, disconnecting), and no state remains afterwards.
func TestReloadUnderLoad(t *testing.T) {
	h, fake, rejections := newHandler(t, fmt.Sprintf(oneSlotPlan, "1ms"))
	texts := []string{"", fmt.Sprintf(oneSlotPlan, "3ms"), strings.Replace(fmt.Sprintf(oneSlotPlan, "1ms"), "concurrency 1", "concurrency adaptive 2 9", 1),
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
			case <-fake.arrived:
				fake.proceed <- true
				if i%10 == 0 {
					h.SetPlan(plans[i/10%len(plans)])
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
				h.Serve(ctx, &relay.Request{Key: []byte("k"), Arrived: time.Now(), Timeout: time.Minute})
				cancel()
				count.Add(1)
			}
		})
	}
	all.Wait()
	close(done)
	if in, waiting := h.Counts(); count.Load() != 2000 || in+waiting > 0 || len(h.waiting) > 0 {
		t.Errorf("%d answers; %d admitted and %d waiting requests remain", count.Load(), in, waiting)
	}
}

// Pools follow discovery: they apply a complete list and the changes of one, and ignore a call to discovery that failed.
func TestPools(t *testing.T) {
	h, fake, _ := newHandler(t, "pool a {\n\tzone a\n}\nroute r {\n\tpool a\n}\n")
	server := func(id uint32, zone int, phase hoptiller.Phase) relay.Server {
		return relay.Server{Server: hoptiller.Server{ID: id, Zone: zone, Phase: phase}}
	}
	allowed := func(id uint32) bool {
		return h.controller.Lookup(0, nil, nil, (&relay.Request{}).ClientAddr).ForModule().Allows(id)
	}
	h.UpdateServers(hoptiller.ListFull, []relay.Server{server(1, 0, hoptiller.Ready), server(2, 1, hoptiller.Ready)})
	h.UpdateServers(hoptiller.ListFailed, nil)
	if !allowed(1) || allowed(2) || len(fake.updates) != 0 {
		t.Error("the pool doesn't match the complete list")
	}
	h.UpdateServers(hoptiller.ListDelta, []relay.Server{server(1, 0, hoptiller.Draining), server(3, 0, hoptiller.Ready)})
	if allowed(1) || !allowed(3) {
		t.Error("the pool doesn't follow the changes of the list")
	}
	if h.UpdateServers(hoptiller.ListFull, nil); allowed(3) || !h.Knows(1) {
		t.Error("a server that is not in the list is in the pool")
	}
}

// emptyServer answers each request at once.
type emptyServer struct{}

func (emptyServer) Serve(context.Context, *relay.Request) relay.Answer {
	return relay.Answer{Kind: hoptiller.StepServed}
}

// BenchmarkHandler measures what a Handler adds to a request: without a route, with a policy that constrains the module, with
// all limits, and with 1000 routes.
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
			h := New(emptyServer{}, &fakeRelay{}, load(b, c.text), func(*relay.Request, string) {})
			req := &relay.Request{Key: []byte("k500:x"), Arrived: time.Now(), Timeout: time.Minute}
			b.ReportAllocs()
			for b.Loop() {
				h.Serve(context.Background(), req)
			}
		})
	}
}
