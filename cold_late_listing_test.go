package hoptiller

import (
	"testing"
	"time"
)

// Guards against overloading a restarted server whose start is listed late. Until then it gets as much as a warm one, and those
// requests count within the window over which its limit is taken: nothing more is sent to it until they have left the window.
func TestListedStartCountsEarlierRequests(t *testing.T) {
	const (
		servers      = 10
		rate         = 300 // requests per second at this router
		restarted    = 2   // the server that restarts
		listingDelay = time.Second
		interval     = time.Second / rate
	)
	set := testSettings()
	set.OverloadFactor, set.CollapseWindow, set.WarmUp, set.RouterCount = 2.5, 1500*time.Millisecond, 18*time.Second, 1
	for seed := range uint64(20) {
		p := newRecorder()
		r := New(time.Second, set, seed, p)
		weights := make([]float64, servers)
		for i := range weights {
			weights[i] = 1
		}
		list := fleet(weights...)
		r.UpdateServers(time.Second, ListFull, list)
		now, id := time.Second, uint32(0)
		var sentTo []time.Duration // when the restarted server was sent a request
		serve := func(until time.Duration) {
			for ; now < until; now += interval {
				id++
				p.sends = p.sends[:0]
				r.Timer(now, tokenSweep)
				r.Request(now, Request{ID: id, Key: mix(uint64(id)^seed) | 1, Remaining: time.Second})
				for n, s := range p.sends {
					if s.server == restarted {
						sentTo = append(sentTo, now)
					}
					r.Outcome(now, Outcome{Request: id, Attempt: n, Server: s.server, Status: OK, Latency: 5 * time.Millisecond, Closed: true})
				}
			}
		}
		started := 10 * time.Second
		serve(started + listingDelay)
		listedAt := now
		r.UpdateServers(now, ListDelta, []Server{{ID: restarted, Phase: Ready, Weight: 1, Started: started}})
		serve(listedAt + set.CollapseWindow)
		const share = rate / servers
		for i, at := range sentTo {
			if at < listedAt {
				continue
			}
			window := 0
			for _, earlier := range sentTo[:i] {
				if earlier >= started && earlier > at-set.CollapseWindow {
					window++
				}
			}
			warmth := set.ColdCapacity + (1-set.ColdCapacity)*float64(at-started)/float64(set.WarmUp)
			if limit := 1.5 * warmth * share * set.CollapseWindow.Seconds(); float64(window) > limit {
				t.Fatalf("seed %d: %v after its start was listed it gets one more request after %d in the window, want at most %.1f",
					seed, at-listedAt, window, limit)
			}
		}
	}
}
