package admission

import (
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hoptiller"
	_ "hoptiller/internal/draws"
	"hoptiller/internal/limit"
	"hoptiller/internal/plan"
)

func load(t interface{ Fatal(...any) }, text string) *plan.Plan {
	platform := &plan.Platform{
		Settings: hoptiller.Settings{MaxAttempts: 5, OriginKind: 2, SendsRetryAfter: true, MaxRetryAfter: 2 * time.Second, Classes: []hoptiller.Class{
			{Aim: time.Second, Deadline: 4 * time.Second}, {Aim: time.Second, Deadline: 4 * time.Second, Effect: hoptiller.AtMostOnce}}},
		Classes: []string{"view", "book"}, Zones: []string{"a", "b"}, Kinds: []string{"x", "y", "origin"},
	}
	p, report := plan.Load("f", func(name string) ([]byte, error) {
		if name != "f" {
			return nil, os.ErrNotExist
		}
		return []byte(text), nil
	}, platform)
	if p == nil {
		t.Fatal(report)
	}
	return p
}

func constraintsFor(c *Controller, class int, key string) *Constraints {
	return c.Lookup(class, []byte(key), nil, netip.Addr{})
}

func TestRateAndQueue(t *testing.T) {
	c := New(load(t, "policy p {\n\tconcurrency 1\n\tqueue 1 for 50ms\n\trate 10/s burst 4\n}\nroute r {\n\tpolicy p\n}\n"))
	constraints := constraintsFor(c, 0, "k")
	for id, want := range []limit.Verdict{limit.Admitted, limit.Queued, limit.Rejected, limit.Rejected, limit.Rejected} {
		decision, _ := c.Admit(0, uint64(id+1), constraints)
		if decision.Verdict != want || want == limit.Queued && decision.WaitUntil != 50*time.Millisecond ||
			want == limit.Rejected && (decision.RetryAfter <= 0 || decision.Limit == "") {
			t.Errorf("%d: %+v", id+1, decision)
		}
		if id == 4 && decision.Limit != "rate of route r" {
			t.Errorf("%+v", decision)
		}
	}
	if others := c.Finish(time.Millisecond, 1, limit.Succeeded); len(others) != 1 || others[0].RequestID != 2 || others[0].Verdict != limit.Admitted {
		t.Errorf("%+v", others)
	}
	if waited, _, _ := c.CancelWait(2*time.Millisecond, 2); waited {
		t.Error("an admitted request leaves the queue")
	}
}

// A request of high priority sheds a queued one of the lowest priority. A request that is shed from the shared queue frees its
// slot at its route's limit.
func TestPriorities(t *testing.T) {
	c := New(load(t, "limits {\n\tconcurrency 1\n\tqueue 1 for 50ms\n}\npolicy low {\n\tconcurrency 2\n}\npolicy high {\n\tpriority 9\n}\n"+
		"route view {\n\tclass view\n\tpolicy low\n}\nroute book {\n\tclass book\n\tpolicy high\n}\n"))
	view, book := constraintsFor(c, 0, "k"), constraintsFor(c, 1, "k")
	c.Admit(0, 1, view)
	if decision, _ := c.Admit(0, 2, view); decision.Verdict != limit.Queued {
		t.Fatalf("%+v", decision)
	}
	if decision, _ := c.Admit(0, 3, view); decision.Verdict != limit.Rejected || decision.Limit != "concurrency of route view" {
		t.Errorf("%+v", decision)
	}
	decision, others := c.Admit(0, 4, book)
	if decision.Verdict != limit.Queued || len(others) != 1 || others[0].RequestID != 2 || others[0].Verdict != limit.Rejected ||
		others[0].Limit != sharedConcurrencyName {
		t.Fatalf("%+v, %+v", decision, others)
	}
	if decision, _ := c.Admit(0, 5, view); decision.Limit != sharedConcurrencyName {
		t.Errorf("the shed request still has its slot at the route's limit: %+v", decision)
	}
	if others := c.Finish(0, 1, limit.Succeeded); len(others) != 1 || others[0].RequestID != 4 {
		t.Errorf("%+v", others)
	}
}

// A pool with too few servers uses its fallback. A pool without a fallback is empty then; it doesn't get all servers.
func TestPools(t *testing.T) {
	c := New(load(t, "pool a {\n\tzone a\n\tat-least 2\n\tfallback y\n}\npool y {\n\tkind y\n\taddress 10.0.0.1:1\n}\nroute r {\n\tpool a\n}\n"))
	constraints := constraintsFor(c, 0, "k")
	allowed := func(servers ...Server) (ids []uint32) {
		c.SetServers(servers)
		for id := uint32(1); id <= 4; id++ {
			if constraints.ForModule().Allows(id) {
				ids = append(ids, id)
			}
		}
		return ids
	}
	one, two := Server{ID: 1, Addr: "10.0.0.9:1", Ready: true}, Server{ID: 2, Addr: "10.0.0.8:1", Ready: true}
	other := Server{ID: 3, Zone: 1, Kind: 1, Addr: "10.0.0.1:1", Ready: true}
	if got := allowed(one, two, other); !slices.Equal(got, []uint32{1, 2}) {
		t.Error(got)
	}
	two.Ready = false
	if got := allowed(one, two, other); !slices.Equal(got, []uint32{3}) {
		t.Error(got)
	}
	other.Addr = "10.0.0.1:2"
	if got := allowed(one, two, other); got != nil {
		t.Error(got)
	}
	if got := constraintsFor(New(load(t, "")), 0, "k").ForModule(); got != nil {
		t.Errorf("%+v", got)
	}
}

func TestConstraints(t *testing.T) {
	c := New(load(t, "policy p {\n\tattempts 2\n\trepeat on full timeout\n\ttimeout 30ms\n\tbudget 0% least 0.1/s\n}\nroute r {\n\tclass view\n\tpolicy p\n}\n"))
	constraints := constraintsFor(c, 0, "k")
	narrowing := constraints.ForModule()
	if narrowing.Timeout() != 30*time.Millisecond || !narrowing.AllowsRetry(1, hoptiller.TurnedAway) ||
		!narrowing.AllowsRetry(1, hoptiller.Cancelled) || narrowing.AllowsRetry(1, hoptiller.Reset) ||
		narrowing.AllowsRetry(2, hoptiller.TurnedAway) || narrowing.AllowsHedge() {
		t.Error("the constraints differ from the policy")
	}
	if !narrowing.TakeRetry(0) || narrowing.TakeRetry(0) {
		t.Error("the retry budget does not allow exactly one retry")
	}
	c.SetPlan(load(t, "route r {\n\tclass view\n}\n"))
	if narrowing.Timeout() != 30*time.Millisecond || !narrowing.AllowsRetry(1, hoptiller.TurnedAway) {
		t.Error("the constraints of a running request change at a reload")
	}
	if constraintsFor(c, 0, "k").ForModule() != nil {
		t.Error("a request after a reload has the old constraints")
	}
}

// Another plan may be loaded in any state of a request. Each request still gets exactly one final verdict, and no state
// remains when all requests have ended.
func TestEachRequestHasOneVerdict(t *testing.T) {
	texts := []string{"",
		"limits {\n\tconcurrency 3\n\tqueue 2 for 20ms\n}\npolicy p {\n\tconcurrency 2\n\tqueue 2 for 10ms\n}\npolicy q {\n\tpriority 5\n}\nroute v {\n\tclass view\n\tpolicy p\n}\nroute b {\n\tclass book\n\tpolicy q\n}\n",
		"limits {\n\tconcurrency adaptive 1 2\n}\npolicy p {\n\trate 100/s burst 2\n\tbudget 10%\n}\nroute v {\n\tclass view\n\tpolicy p\n}\n",
		"policy p {\n\tconcurrency 1\n\tqueue 3 for 10ms\n}\nroute v {\n\tpolicy p\n}\n",
	}
	rapid.Check(t, func(t *rapid.T) {
		c := New(load(t, texts[1]))
		now, lastID := time.Duration(0), uint64(0)
		waiting, running := []uint64{}, []uint64{}
		remove := func(list []uint64, id uint64) []uint64 {
			i := slices.Index(list, id)
			if i < 0 {
				t.Fatalf("a second final verdict on request %d", id)
			}
			return slices.Delete(list, i, i+1)
		}
		apply := func(decisions ...Decision) {
			for _, decision := range decisions {
				if waiting = remove(waiting, decision.RequestID); decision.Verdict == limit.Admitted {
					running = append(running, decision.RequestID)
				} else if decision.Verdict == limit.Queued {
					waiting = append(waiting, decision.RequestID)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				lastID++
				waiting = append(waiting, lastID)
				decision, others := c.Admit(now, lastID, constraintsFor(c, rapid.IntRange(0, 1).Draw(t, "class"), "k"))
				apply(decision)
				apply(others...)
			},
			"done": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip()
				}
				id := rapid.SampledFrom(running).Draw(t, "which")
				running = remove(running, id)
				apply(c.Finish(now, id, limit.Outcome(rapid.IntRange(0, 2).Draw(t, "how")))...)
			},
			"leave": func(t *rapid.T) {
				if len(waiting) == 0 {
					t.Skip()
				}
				id := rapid.SampledFrom(waiting).Draw(t, "which")
				waited, decision, others := c.CancelWait(now, id)
				if !waited || decision.Verdict != limit.Rejected {
					t.Fatalf("request %d did not wait: %+v", id, decision)
				}
				apply(append([]Decision{decision}, others...)...)
			},
			"reload": func(t *rapid.T) { c.SetPlan(load(t, rapid.SampledFrom(texts).Draw(t, "plan"))) },
			"time":   func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond },
		})
		for len(running) > 0 {
			id := running[0]
			running = running[1:]
			apply(c.Finish(now, id, limit.Succeeded)...)
		}
		if a, b := c.Counts(); a+b > 0 || len(waiting) > 0 {
			t.Fatalf("%d admitted and %d waiting requests remain, %v", a, b, waiting)
		}
	})
}
