package sim

import (
	"testing"
	"time"

	"hoptiller"
)

// cancelling is a policy that cancels each call after 60 ms and, once the call has ended, sends the request to another server.
type cancelling struct {
	faultyPolicy
	outcomes map[[2]uint32]int // number of outcomes by request and attempt
}

func (h *cancelling) Request(now time.Duration, q hoptiller.Request) {
	h.faultyPolicy.Request(now, q)
	h.act.SetTimer(uint64(q.ID)+1, 60*time.Millisecond)
}

func (h *cancelling) Timer(now time.Duration, token uint64) {
	if token == 0 {
		h.act.Watch(true)
		return
	}
	h.act.Cancel(uint32(token-1), 0)
	h.act.Cancel(uint32(token-1), 0) // a second cancellation has no effect
}

func (h *cancelling) Outcome(now time.Duration, o hoptiller.Outcome) {
	h.outcomes[[2]uint32{o.Request, uint32(o.Attempt)}]++
	if o.Attempt == 0 && o.Status == hoptiller.Cancelled && !o.Closed && h.class[o.Request] == 0 {
		h.send(o.Request, uint64(o.Request))
		return
	}
	h.faultyPolicy.Outcome(now, o)
}

// An answer may be in flight when its call is cancelled. Each call must still have exactly one outcome, and a request
// that is sent to another server must have one call in flight at a time.
func TestAnswerAfterCancel(t *testing.T) {
	var all []*cancelling
	policy := func(now time.Duration, set hoptiller.Settings, seed uint64, act hoptiller.Actions) hoptiller.Events {
		h := &cancelling{faultyPolicy: *newFaultyPolicy("")(now, set, seed, act).(*faultyPolicy), outcomes: map[[2]uint32]int{}}
		all = append(all, h)
		return h
	}
	day := shortDay()
	day.Net.Cross = seconds(0.03) // long enough that many answers are in flight when their calls are cancelled
	r := runDay(t, day, policy, Options{})
	if r.ViolationCount > 0 {
		t.Error(r.Violations[0])
	}
	calls := 0
	for _, h := range all {
		for call, n := range h.outcomes {
			if calls++; n != 1 {
				t.Fatalf("call %v has %d outcomes", call, n)
			}
		}
	}
	if calls < 1000 || r.Outcomes["cancelled"] < 100 || r.Outcomes["served"] < 100 {
		t.Errorf("%d calls, %v", calls, r.Outcomes)
	}
}
