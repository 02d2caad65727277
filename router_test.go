package hoptiller

import (
	"math"
	"testing"
	"time"
)

// recorder is a proxy that records what the Router requests.
type recorder struct {
	sends      []sentAttempt
	cancels    []int
	refused    map[uint32]bool
	failed     map[uint32]bool
	timers     []uint64
	watches    int
	closedIdle []uint32
	logs       []string
	retryAfter time.Duration // of the latest refusal
}

type sentAttempt struct {
	request, server uint32
	timeout         time.Duration
}

func newRecorder() *recorder {
	return &recorder{refused: map[uint32]bool{}, failed: map[uint32]bool{}}
}

func (p *recorder) Send(q, s uint32, t time.Duration) {
	p.sends = append(p.sends, sentAttempt{q, s, t})
}
func (p *recorder) Cancel(_ uint32, attempt int)         { p.cancels = append(p.cancels, attempt) }
func (p *recorder) Refuse(q uint32, d time.Duration)     { p.refused[q], p.retryAfter = true, d }
func (p *recorder) Fail(q uint32)                        { p.failed[q] = true }
func (p *recorder) SetTimer(tok uint64, _ time.Duration) { p.timers = append(p.timers, tok) }
func (p *recorder) FetchList()                           {}
func (p *recorder) CloseIdle(s uint32)                   { p.closedIdle = append(p.closedIdle, s) }
func (p *recorder) Watch(bool)                           { p.watches++ }
func (p *recorder) Log(s string)                         { p.logs = append(p.logs, s) }

func (p *recorder) last() sentAttempt { return p.sends[len(p.sends)-1] }

func testSettings() Settings {
	return Settings{
		RouterCount: 2, OriginKind: -1, MaxAttempts: 3, AllowsCancel: true, TickInterval: time.Millisecond,
		ColdCapacity: 0.2, WarmUp: 20 * time.Second, OverloadFactor: 3, CollapseWindow: time.Second,
		Classes: []Class{
			{Aim: 500 * time.Millisecond, Deadline: time.Second, Worth: 1, LateFraction: 0.5},
			{Aim: 500 * time.Millisecond, Deadline: time.Second, Worth: 1, LateFraction: 0.5, Effect: Deduplicated,
				DedupTTL: 2 * time.Second},
			{Aim: 500 * time.Millisecond, Deadline: time.Second, Worth: 1, LateFraction: 0.5, Effect: AtMostOnce},
		},
	}
}

func fleet(weights ...float64) []Server {
	var list []Server
	for i, w := range weights {
		list = append(list, Server{ID: uint32(i + 1), Phase: Ready, Weight: w})
	}
	return list
}

func newRouter(set Settings, list []Server) (*Router, *recorder) {
	p := newRecorder()
	r := New(time.Second, set, 7, p)
	r.UpdateServers(time.Second, ListFull, list)
	return r, p
}

func (r *Router) rankOf(key uint64) (ids []uint32) {
	for s := range r.ranking(&request{Request: Request{Key: key}}) {
		ids = append(ids, s.ID)
	}
	return ids
}

func (r *Router) homeOf(key uint64) uint32 {
	return r.rankOf(key)[0]
}

func TestSharesFollowWeights(t *testing.T) {
	r, _ := newRouter(testSettings(), fleet(1, 2, 3, 4))
	const n = 40000
	count := map[uint32]int{}
	for k := uint64(1); k <= n; k++ {
		count[r.homeOf(k)]++
	}
	for id := uint32(1); id <= 4; id++ {
		p := float64(id) / 10
		sigma := math.Sqrt(n * p * (1 - p))
		if d := math.Abs(float64(count[id]) - n*p); d > 4*sigma { // four sigma: 1 in 16000 by chance
			t.Errorf("server %d has %d keys, want %.0f within %.0f", id, count[id], n*p, 4*sigma)
		}
	}
}

func TestOnlyKeysOfChangedServerMove(t *testing.T) {
	before, _ := newRouter(testSettings(), fleet(1, 1, 1, 1))
	joined, _ := newRouter(testSettings(), fleet(1, 1, 1, 1, 1))
	heavier, _ := newRouter(testSettings(), fleet(1, 1, 1, 2))
	moved := 0
	for k := uint64(1); k <= 5000; k++ {
		a, b, c := before.homeOf(k), joined.homeOf(k), heavier.homeOf(k)
		if a != b {
			moved++
			if b != 5 {
				t.Fatalf("key %d moved from %d to %d, which did not join", k, a, b)
			}
		}
		if a != c && c != 4 {
			t.Fatalf("key %d moved from %d to %d, which did not grow", k, a, c)
		}
	}
	if moved < 800 || moved > 1200 {
		t.Errorf("%d of 5000 keys moved to a fifth server, want about 1000", moved)
	}
}

func TestWarmUpProgressIsMonotone(t *testing.T) {
	r, _ := newRouter(testSettings(), nil)
	s := &server{Server: Server{Started: time.Second}}
	last := 0.0
	for age := time.Duration(0); age <= r.settings.WarmUp; age += 100 * time.Millisecond {
		r.now = s.Started + age
		f := r.warmUpProgress(s)
		if f < last || f > r.warmth(s) {
			t.Fatalf("progress %.3f at age %v: was %.3f, warmth %.3f", f, age, last, r.warmth(s))
		}
		last = f
	}
	if last != 1 {
		t.Errorf("progress ends at %.3f", last)
	}
}

// Which retries and refusals are allowed, by effect, outcome, group and time.
func TestEffects(t *testing.T) {
	home := &server{Server: Server{ID: 1, Zone: 0, Cell: 1}}
	near := &server{Server: Server{ID: 2, Zone: 0, Cell: 2}}
	far := &server{Server: Server{ID: 3, Zone: 1, Cell: 3}}
	ttl := 2 * time.Second
	cases := []struct {
		effect         Effect
		group          Group
		open, ran      bool
		second         bool
		after          time.Duration
		to             *server
		resend, refuse bool
	}{
		{Idempotent, GroupAll, false, true, false, 0, far, true, true},
		{Idempotent, GroupAll, true, true, false, 0, far, false, true},
		{Idempotent, GroupAll, true, true, true, 0, far, true, true},
		{AtMostOnce, GroupAll, false, true, false, 0, far, false, false},
		{AtMostOnce, GroupAll, true, true, true, 0, far, false, false},
		{AtMostOnce, GroupAll, false, false, false, 0, far, true, true},
		{Deduplicated, GroupAll, false, true, false, 0, far, true, true},
		{Deduplicated, GroupAll, false, true, false, ttl, far, false, true},
		{Deduplicated, GroupAll, false, false, false, ttl, far, true, true},
		{Deduplicated, GroupZone, false, true, false, 0, near, true, false},
		{Deduplicated, GroupZone, false, true, false, 0, far, false, false},
		{Deduplicated, GroupZone, false, true, false, ttl, near, false, false},
		{Deduplicated, GroupZone, false, false, false, 0, far, true, true},
		{Deduplicated, GroupCell, false, true, false, 0, near, false, false},
		{Deduplicated, GroupCell, false, true, false, 0, home, true, false},
		{Deduplicated, GroupZone, true, true, true, 0, near, true, false},
	}
	for i, c := range cases {
		set := testSettings()
		set.Hedging = c.second
		r, _ := newRouter(set, nil)
		q := &request{class: &Class{Effect: c.effect, Group: c.group, DedupTTL: ttl}}
		q.attempts = []attempt{{target: home, sentAt: r.now, open: c.open, mayHaveRun: c.ran}}
		r.now += c.after
		if got := r.mayResend(q, c.to); got != c.resend {
			t.Errorf("case %d: mayResend %v, want %v", i, got, c.resend)
		}
		if got := r.mayRefuse(q); got != c.refuse {
			t.Errorf("case %d: mayRefuse %v, want %v", i, got, c.refuse)
		}
	}
}

// If hedges are allowed, two attempts of a request may be open, but never three.
func TestAtMostTwoOpenAttempts(t *testing.T) {
	set := testSettings()
	set.Hedging = true
	r, _ := newRouter(set, fleet(1, 1, 1))
	q := &request{class: &set.Classes[0]}
	for i, want := range []bool{true, true, false} {
		if got := r.mayResend(q, r.caches[i]); got != want {
			t.Errorf("with %d attempts open: %v, want %v", i, got, want)
		}
		q.attempts = append(q.attempts, attempt{target: r.caches[i], sentAt: r.now, open: true, mayHaveRun: true})
	}
}

func TestFailureGoesToNextBest(t *testing.T) {
	r, p := newRouter(testSettings(), fleet(1, 1, 1))
	want := r.rankOf(9)
	r.Request(r.now, Request{ID: 1, Key: 9, Remaining: time.Second})
	for i, id := range want {
		if got := p.last().server; got != id {
			t.Fatalf("attempt %d went to %d, want %d", i, got, id)
		}
		r.Outcome(r.now, Outcome{Request: 1, Attempt: i, Server: id, Status: ConnectFailed})
	}
	if !p.failed[1] && !p.refused[1] {
		t.Error("no answer after the last attempt")
	}
	if len(p.sends) != 3 {
		t.Errorf("%d attempts, want 3", len(p.sends))
	}
}
