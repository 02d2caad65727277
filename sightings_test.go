package hoptiller

import (
	"testing"
	"time"
)

// sightedPlay is a router with ten servers, of which number 2 is what is told of.
type sightedPlay struct {
	router   *Router
	recorder *recorder
	now      time.Duration
	id       uint32
	misses   bool // server 2 has nothing
	allMiss  bool // and no other has
	halfMiss bool // and the others have half of what they are asked for
	sentTo   int  // reads sent to server 2
}

const (
	sightedServers = 10
	sightedRate    = 300 // reads a second
	sightedServer  = 2
	sightedShare   = sightedRate / sightedServers // of each server, a second
)

func newSightedPlay() *sightedPlay {
	set := testSettings()
	set.OverloadFactor, set.Fall, set.Cold, set.Balancers = 2.5, 1500*time.Millisecond, 18*time.Second, 1
	p := &sightedPlay{recorder: newRecorder(), now: 10 * time.Second}
	p.router = New(p.now, set, 7, p.recorder)
	weights := make([]float64, sightedServers)
	for i := range weights {
		weights[i] = 1
	}
	p.router.List(p.now, ListFull, fleet(weights...))
	return p
}

// serve goes on for a time and tells how many reads were sent to server 2 meanwhile.
func (p *sightedPlay) serve(span time.Duration) int {
	p.sentTo = 0
	for end := p.now + span; p.now < end; p.now += time.Second / sightedRate {
		p.id++
		p.recorder.sends = p.recorder.sends[:0]
		p.router.Timer(p.now, tokSweep)
		p.router.Request(p.now, Request{ID: p.id, Key: mix(uint64(p.id)) | 1, Remaining: time.Second})
		for n := 0; n < len(p.recorder.sends); n++ {
			p.router.Outcome(p.now, p.answer(n))
		}
		p.router.ClientGone(p.now, p.id)
	}
	return p.sentTo
}

// answer is how the n-th attempt of the latest request ends.
func (p *sightedPlay) answer(n int) Outcome {
	server := p.recorder.sends[n].server
	o := Outcome{Request: p.id, Attempt: n, Server: server, Status: OK, Latency: 5 * time.Millisecond, Closed: true}
	if p.allMiss || p.halfMiss && p.id%2 == 0 {
		o.Status = Miss
	}
	if server != sightedServer {
		return o
	}
	p.sentTo++
	if p.misses {
		o.Status = Miss
	}
	return o
}

func (p *sightedPlay) sighted(server uint32, up bool, age time.Duration) {
	p.router.Sighted(p.now, Sighting{Server: server, Up: up, Age: age})
}

// A server that routers saw refuse connections, and take them again, while this one sent it nothing, is taken for a cold one before its start is listed: it gets no
// more than a cold one stands. That ends with the news, with hits, or where no news comes; and nothing is taken for a restart that may be
// the fault of ways.
func TestSightings(t *testing.T) {
	const (
		before = 5 * time.Second
		away   = 4 * time.Second
		window = 1500 * time.Millisecond // the settings' Fall
		whole  = sightedShare * 1.5      // of a warm server in the window
		cold   = whole*0.2*2.5 + 4       // of one that has just started: ColdFrom, OverloadFactor, and some by chance
	)
	for _, c := range []struct {
		name string
		play func(p *sightedPlay) (sent int)
		cold bool
	}{
		{"not told", func(p *sightedPlay) int {
			return p.serve(window)
		}, false},
		{"restarted, seen by itself", func(p *sightedPlay) int {
			p.misses = true
			p.sighted(sightedServer, false, 0)
			p.now += away
			return p.serve(window)
		}, true},
		{"restarted, told by others", func(p *sightedPlay) int {
			p.misses = true
			p.now += away
			p.sighted(sightedServer, false, away-time.Millisecond)
			p.sighted(sightedServer, true, 0)
			return p.serve(window)
		}, true},
		{"told as back to a router that has just begun", func(p *sightedPlay) int {
			*p = *newSightedPlay()
			p.misses = true
			p.sighted(sightedServer, true, 250*time.Millisecond)
			return p.serve(window)
		}, true},
		{"down for a moment", func(p *sightedPlay) int {
			p.misses = true
			p.sighted(sightedServer, false, 300*time.Millisecond)
			p.sighted(sightedServer, true, 0)
			return p.serve(window)
		}, false},
		{"told as down while it answers", func(p *sightedPlay) int {
			p.misses = true
			p.sighted(sightedServer, false, 100*time.Millisecond)
			return p.serve(window)
		}, false},
		{"most of them, by a router whose ways are broken", func(p *sightedPlay) int {
			*p = *newSightedPlay()
			p.allMiss = true
			for server := range uint32(sightedServers - 2) {
				p.sighted(server+1, false, away)
				p.sighted(server+1, true, 0)
			}
			return p.serve(window)
		}, false},
		{"restarted, told to a router that has just begun, after most were away together", func(p *sightedPlay) int {
			*p = *newSightedPlay()
			p.misses, p.halfMiss = true, true
			p.sighted(sightedServer, true, 250*time.Millisecond)
			for server := uint32(sightedServer + 1); server <= sightedServers; server++ {
				p.sighted(server, true, 4*time.Second)
			}
			return p.serve(window)
		}, true},
		{"restarted, and down for a moment after that", func(p *sightedPlay) int {
			p.misses = true
			p.sighted(sightedServer, false, 0)
			p.now += away
			p.sighted(sightedServer, true, 0)
			p.serve(100 * time.Millisecond)
			p.sighted(sightedServer, false, 0)
			p.now += 100 * time.Millisecond
			p.sighted(sightedServer, true, 0)
			return p.serve(window)
		}, true},
		{"and no start is listed", func(p *sightedPlay) int {
			p.misses = true
			p.sighted(sightedServer, false, 0)
			p.now += away
			p.serve(mostDiscoveryLag + time.Second)
			return p.serve(window)
		}, false},
		{"and has its values", func(p *sightedPlay) int {
			p.sighted(sightedServer, false, 0)
			p.now += away
			p.serve(3 * time.Second)
			return p.serve(window)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newSightedPlay()
			p.serve(before)
			sent := c.play(p)
			if c.cold && float64(sent) > cold || !c.cold && float64(sent) < 0.7*whole {
				t.Errorf("%d reads within %v; a warm server gets %.0f, a cold one %.0f", sent, window, float64(whole), float64(cold))
			}
		})
	}
}

// Once the start is listed, that is what counts.
func TestSightedStartIsListed(t *testing.T) {
	p := newSightedPlay()
	p.serve(5 * time.Second)
	p.sighted(sightedServer, false, 0)
	p.now += 4 * time.Second
	started := p.now
	p.serve(time.Second)
	p.router.List(p.now, ListDelta, []Server{{ID: sightedServer, Phase: Ready, Weight: 1, Started: started}})
	s := p.router.known[sightedServer]
	if at, told, known := p.router.startKnown(s); at != started || told != p.now || !known {
		t.Errorf("started at %v, told at %v, %v; want %v, %v", at, told, known, started, p.now)
	}
}
