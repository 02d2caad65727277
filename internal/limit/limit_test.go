package limit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "hoptiller/internal/draws"
)

func TestBucket(t *testing.T) {
	b := Bucket{Rate: 10, Burst: 3}
	for range 3 {
		if ok, _ := b.Take(0); !ok {
			t.Fatal("a token of the burst is missing")
		}
	}
	if ok, wait := b.Take(0); ok || wait != 100*time.Millisecond {
		t.Errorf("%v, wait %v", ok, wait)
	}
	if ok, _ := b.Take(101 * time.Millisecond); !ok {
		t.Error("no token after the wait")
	}
	if ok, wait := new(Bucket).Take(time.Hour); ok || wait <= 0 {
		t.Error("the zero value admits something")
	}
	rapid.Check(t, func(t *rapid.T) {
		b := Bucket{Rate: rapid.Float64Range(0.1, 1000).Draw(t, "rate"), Burst: float64(rapid.IntRange(1, 50).Draw(t, "burst"))}
		now, passed := time.Duration(0), 0
		for range rapid.IntRange(0, 500).Draw(t, "asks") {
			now += time.Duration(rapid.IntRange(-1000, 50_000).Draw(t, "us")) * time.Microsecond
			if ok, _ := b.Take(max(0, now)); ok {
				passed++
			}
		}
		if maxPassed := b.Burst + b.Rate*max(0, b.filledAt).Seconds() + 1e-6; float64(passed) > maxPassed {
			t.Fatalf("%d passed, at most %.2f may", passed, maxPassed)
		}
	})
}

// In a full outage, in which every request would be retried, the retries stay within the budget's ratio.
func TestBudgetCapsAmplification(t *testing.T) {
	b := Budget{Ratio: 0.1, MinPerSecond: 1}
	requests, retries := 0, 0
	for now := time.Duration(0); now < time.Minute; now += 2 * time.Millisecond {
		b.CountRequest(now)
		requests++
		for range 3 {
			if b.TakeRetry(now) {
				retries++
			}
		}
	}
	if ratio := float64(retries) / float64(requests); ratio > 0.1+1.0/500+0.002 || ratio < 0.095 {
		t.Errorf("%d retries of %d requests", retries, requests)
	}
	if b = (Budget{Ratio: 1}); b.TakeRetry(0) {
		t.Error("a retry without any request")
	}
	if b.CountRequest(0); !b.TakeRetry(9*time.Second) || b.TakeRetry(9*time.Second) {
		t.Error("one request must allow exactly one retry")
	}
	if b.CountRequest(0); b.TakeRetry(time.Hour) {
		t.Error("a request of an hour ago still counts")
	}
}

// gateModel is the reference model of a Gate for the property test.
type gateModel struct {
	gate     Gate
	now      time.Duration
	lastID   uint64
	admitted map[uint64]int // priorities by request id
	queued   map[uint64]int // the same
}

// admit moves a request from the queue to the admitted ones. It fails if the request did not wait or if another one of higher
// priority waits.
func (m *gateModel) admit(t *rapid.T, id uint64) {
	if _, waits := m.queued[id]; !waits {
		t.Fatalf("request %d is admitted and did not wait", id)
	}
	for other, p := range m.queued {
		if p > m.queued[id] {
			t.Fatalf("request %d of priority %d is admitted before request %d of priority %d", id, m.queued[id], other, p)
		}
	}
	m.admitted[id] = m.queued[id]
	delete(m.queued, id)
}

func TestGate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &gateModel{admitted: map[uint64]int{}, queued: map[uint64]int{}}
		maxLimit := rapid.IntRange(1, 12).Draw(t, "most")
		model.gate = Gate{Concurrency: Concurrency{Adaptive: rapid.Bool().Draw(t, "adaptive"), Min: 1, Max: maxLimit},
			MaxQueue: rapid.IntRange(0, 5).Draw(t, "queue")}
		pick := func(from map[uint64]int) uint64 {
			var ids []uint64
			for id := range from {
				ids = append(ids, id)
			}
			slices.Sort(ids)
			if len(ids) == 0 {
				t.Skip()
			}
			return rapid.SampledFrom(ids).Draw(t, "which")
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				model.lastID++
				p := rapid.IntRange(0, Priorities-1).Draw(t, "priority")
				switch v, shed := model.gate.Acquire(model.now, model.lastID, p); {
				case v == Admitted:
					model.admitted[model.lastID] = p
				case v == Queued:
					model.queued[model.lastID] = p
					if shed != 0 {
						if at, was := model.queued[shed]; !was || at >= p {
							t.Fatalf("request %d of priority %d is shed for one of priority %d", shed, at, p)
						}
						delete(model.queued, shed)
					}
				case shed != 0:
					t.Fatal("a request is shed for one that is rejected")
				}
			},
			"done": func(t *rapid.T) {
				id := pick(model.admitted)
				p := model.admitted[id]
				delete(model.admitted, id)
				outcome := Outcome(rapid.IntRange(0, 2).Draw(t, "how"))
				for _, id := range model.gate.Release(
					model.now, p, time.Duration(rapid.IntRange(1, 500).Draw(t, "ms"))*time.Millisecond, outcome) {
					model.admit(t, id)
				}
			},
			"leave": func(t *rapid.T) {
				id := pick(model.queued)
				delete(model.queued, id)
				if !model.gate.Remove(id) || model.gate.Remove(id) {
					t.Fatal("a queued request was not removed exactly once")
				}
			},
			"time": func(t *rapid.T) { model.now += time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond },
			"reload": func(t *rapid.T) {
				maxLimit = rapid.IntRange(1, 12).Draw(t, "most")
				model.gate.Reconfigure(Concurrency{Adaptive: model.gate.Adaptive, Min: 1, Max: maxLimit}, model.gate.MaxQueue, time.Second)
			},
			"": func(t *rapid.T) {
				if model.gate.InFlight() != len(model.admitted) || model.gate.Waiting() != len(model.queued) ||
					len(model.admitted) == 0 && len(model.queued) > 0 || model.gate.RetryAfter() <= 0 {
					t.Fatalf("%d admitted and %d waiting, want %d and %d",
						model.gate.InFlight(), model.gate.Waiting(), len(model.admitted), len(model.queued))
				}
				if len(model.admitted) > 12 || model.gate.Limit() > maxLimit {
					t.Fatalf("%d are admitted, the limit is %d of at most %d", len(model.admitted), model.gate.Limit(), maxLimit)
				}
			},
		})
	})
}

// simulateServer simulates a server with some workers and a queue behind a gate. It returns, by priority, how many requests
// arrived and how many of them were answered within aim.
func simulateServer(
	gate *Gate, workers int, meanDuration, aim time.Duration, rates [Priorities]float64, length time.Duration,
) (requests, inTime [Priorities]int) {
	type job struct {
		priority int
		since    time.Duration
	}
	rnd := rand.New(rand.NewPCG(1, 2))
	waiting, doneAt, id := []job{}, []time.Duration{}, uint64(0)
	byID := map[uint64]job{}
	running := []job{}
	const step = time.Millisecond
	for now := time.Duration(0); now < length; now += step {
		for i := 0; i < len(doneAt); i++ {
			if doneAt[i] > now {
				continue
			}
			j := running[i]
			doneAt, running = slices.Delete(doneAt, i, i+1), slices.Delete(running, i, i+1)
			i--
			outcome := Succeeded
			if now-j.since > aim {
				outcome = Failed
			} else {
				inTime[j.priority]++
			}
			if gate != nil {
				for _, next := range gate.Release(now, j.priority, now-j.since, outcome) {
					waiting = append(waiting, byID[next])
				}
			}
		}
		for p, rate := range rates {
			if rnd.Float64() >= rate*step.Seconds() {
				continue
			}
			requests[p]++
			id++
			j := job{p, now}
			verdict := Admitted
			if gate != nil {
				verdict, _ = gate.Acquire(now, id, p)
			}
			if verdict == Admitted {
				waiting = append(waiting, j)
			}
			byID[id] = j
		}
		for len(doneAt) < workers && len(waiting) > 0 {
			doneAt = append(doneAt, now+time.Duration(rnd.ExpFloat64()*float64(meanDuration)))
			running = append(running, waiting[0])
			waiting = waiting[1:]
		}
	}
	return requests, inTime
}

// At twice the load that a server can carry, an adaptive limit finds about its capacity, and the requests of the highest
// priority lose next to nothing. Without a limit hardly any answer is in time.
func TestOverload(t *testing.T) {
	var rates [Priorities]float64
	rates[1], rates[5], rates[9] = 180, 15, 10 // requests a second; the server can answer 100
	simulate := func(gate *Gate) (low, high float64) {
		requests, inTime := simulateServer(gate, 10, 100*time.Millisecond, 500*time.Millisecond, rates, 30*time.Second)
		return float64(inTime[1]) / float64(requests[1]), float64(inTime[9]) / float64(requests[9])
	}
	low, high := simulate(&Gate{Concurrency: Concurrency{Adaptive: true, Min: 2, Max: 200}})
	lowWithout, highWithout := simulate(nil)
	if high < 0.95 || low < 0.3 || lowWithout > 0.2 || highWithout > 0.2 {
		t.Errorf("answered in time with a limit: %.2f of priority 1, %.2f of priority 9; without one: %.2f and %.2f",
			low, high, lowWithout, highWithout)
	}
}
