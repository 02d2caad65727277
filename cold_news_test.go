package hoptiller

import (
	"testing"
	"time"
)

// A server that comes back cold is called as a warm one until its start is told. What was sent to it by then is in the window of what it
// stands, so nothing more goes to it until that has left the window.
func TestNewsOfAStartCountsWhatWasSentBefore(t *testing.T) {
	const (
		servers = 10
		rate    = 300 // requests a second of this router
		back    = 2   // the server that comes back
		late    = time.Second
		every   = time.Second / rate
	)
	set := testSettings()
	set.OverloadFactor, set.Fall, set.Cold, set.Balancers = 2.5, 1500*time.Millisecond, 18*time.Second, 1
	for seed := range uint64(20) {
		p := newRecorder()
		r := New(time.Second, set, seed, p)
		weights := make([]float64, servers)
		for i := range weights {
			weights[i] = 1
		}
		list := fleet(weights...)
		r.List(time.Second, ListFull, list)
		now, id := time.Second, uint32(0)
		var sentTo []time.Duration // when the server that comes back was sent something
		serve := func(until time.Duration) {
			for ; now < until; now += every {
				id++
				p.sends = p.sends[:0]
				r.Timer(now, tokSweep)
				r.Request(now, Request{ID: id, Key: mix(uint64(id)^seed) | 1, Remaining: time.Second})
				for n, s := range p.sends {
					if s.server == back {
						sentTo = append(sentTo, now)
					}
					r.Outcome(now, Outcome{Request: id, Attempt: n, Server: s.server, Status: OK, Latency: 5 * time.Millisecond, Closed: true})
				}
			}
		}
		started := 10 * time.Second
		serve(started + late)
		told := now
		r.List(now, ListDelta, []Server{{ID: back, Phase: Ready, Weight: 1, Started: started}})
		serve(told + set.Fall)
		const share = rate / servers
		for i, at := range sentTo {
			if at < told {
				continue
			}
			window := 0
			for _, earlier := range sentTo[:i] {
				if earlier >= started && earlier > at-set.Fall {
					window++
				}
			}
			warmth := set.ColdFrom + (1-set.ColdFrom)*float64(at-started)/float64(set.Cold)
			if part := 1.5 * warmth * share * set.Fall.Seconds(); float64(window) > part {
				t.Fatalf("seed %d: %v after the news it is sent one more after %d in the window, %.1f are its part", seed, at-told, window, part)
			}
		}
	}
}
