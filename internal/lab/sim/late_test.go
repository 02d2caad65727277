package sim

import (
	"testing"
	"time"

	"hoptiller"
)

// hasty withdraws each call after a while, and sends it on elsewhere when that is told.
type hasty struct {
	broken
	seen map[[2]uint32]int // outcomes by call
}

func (h *hasty) Request(now time.Duration, q hoptiller.Request) {
	h.broken.Request(now, q)
	h.act.SetTimer(uint64(q.ID)+1, 60*time.Millisecond)
}

func (h *hasty) Timer(now time.Duration, token uint64) {
	if token == 0 {
		h.act.Watch(true)
		return
	}
	h.act.Cancel(uint32(token-1), 0)
	h.act.Cancel(uint32(token-1), 0) // twice does no harm
}

func (h *hasty) Outcome(now time.Duration, o hoptiller.Outcome) {
	h.seen[[2]uint32{o.Request, uint32(o.Attempt)}]++
	if o.Attempt == 0 && o.Status == hoptiller.Cancelled && !o.Closed && h.class[o.Request] == 0 {
		h.send(o.Request, uint64(o.Request))
		return
	}
	h.broken.Outcome(now, o)
}

// An answer that is on its way when its call is cancelled is not heard, or is the only one: each call has one
// outcome, and a request that goes on elsewhere still has one call out at a time.
func TestAnswerAfterCancel(t *testing.T) {
	var all []*hasty
	policy := func(now time.Duration, set hoptiller.Settings, seed uint64, act hoptiller.Actions) hoptiller.Events {
		h := &hasty{broken: *breaking("")(now, set, seed, act).(*broken), seen: map[[2]uint32]int{}}
		all = append(all, h)
		return h
	}
	day := shortDay()
	day.Net.Cross = span(0.03) // so that many answers cross the cancel
	r := play(t, day, policy, Options{})
	if r.Broken > 0 {
		t.Error(r.Violations[0])
	}
	calls := 0
	for _, h := range all {
		for call, n := range h.seen {
			if calls++; n != 1 {
				t.Fatalf("call %v has %d outcomes", call, n)
			}
		}
	}
	if calls < 1000 || r.Outcomes["cancelled"] < 100 || r.Outcomes["served"] < 100 {
		t.Errorf("%d calls, %v", calls, r.Outcomes)
	}
}
