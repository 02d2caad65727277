package hoptiller

import (
	"testing"
	"time"
)

// observedFleet is a router with ten servers, one of which, server 2, is observed to go down and come back.
type observedFleet struct {
	router       *Router
	recorder     *recorder
	now          time.Duration
	requestID    uint32
	coldCache    bool // server 2 answers with misses
	allCold      bool // all servers answer with misses
	halfCold     bool // the other servers answer half of their reads with misses
	sentToServer int  // reads sent to server 2
}

const (
	observedServers = 10
	observedRate    = 300 // reads per second
	observedServer  = 2
	observedShare   = observedRate / observedServers // reads per second for each server
)

func newObservedFleet() *observedFleet {
	set := testSettings()
	set.OverloadFactor, set.CollapseWindow, set.WarmUp, set.RouterCount = 2.5, 1500*time.Millisecond, 18*time.Second, 1
	p := &observedFleet{recorder: newRecorder(), now: 10 * time.Second}
	p.router = New(p.now, set, 7, p.recorder)
	weights := make([]float64, observedServers)
	for i := range weights {
		weights[i] = 1
	}
	p.router.UpdateServers(p.now, ListFull, fleet(weights...))
	return p
}

// serve lets a time pass and returns how many reads were sent to server 2 meanwhile.
func (p *observedFleet) serve(span time.Duration) int {
	p.sentToServer = 0
	for end := p.now + span; p.now < end; p.now += time.Second / observedRate {
		p.requestID++
		p.recorder.sends = p.recorder.sends[:0]
		p.router.Timer(p.now, tokenSweep)
		p.router.Request(p.now, Request{ID: p.requestID, Key: mix(uint64(p.requestID)) | 1, Remaining: time.Second})
		for n := 0; n < len(p.recorder.sends); n++ {
			p.router.Outcome(p.now, p.answer(n))
		}
		p.router.ClientDisconnected(p.now, p.requestID)
	}
	return p.sentToServer
}

// answer returns the outcome of the n-th attempt of the latest request.
func (p *observedFleet) answer(n int) Outcome {
	server := p.recorder.sends[n].server
	o := Outcome{Request: p.requestID, Attempt: n, Server: server, Status: OK, Latency: 5 * time.Millisecond, Closed: true}
	if p.allCold || p.halfCold && p.requestID%2 == 0 {
		o.Status = Miss
	}
	if server != observedServer {
		return o
	}
	p.sentToServer++
	if p.coldCache {
		o.Status = Miss
	}
	return o
}

func (p *observedFleet) observe(server uint32, up bool, age time.Duration) {
	p.router.Observe(p.now, Observation{Server: server, Up: up, Age: age})
}

// Guards against overloading a cold server whose restart is not listed yet. If routers observed that a server refused connections
// and accepts them again, while this router sent it nothing, it counts as cold and gets no more than a cold server sustains. That
// ends once the start is listed, once the server answers with hits, or after some time without a listed start. A downtime that
// network paths may have caused is not taken for a restart.
func TestObservations(t *testing.T) {
	const (
		before    = 5 * time.Second
		downtime  = 4 * time.Second
		window    = 1500 * time.Millisecond // the settings' CollapseWindow
		warmReads = observedShare * 1.5     // reads of a warm server in the window
		cold      = warmReads*0.2*2.5 + 4   // limit right after a start: ColdCapacity, OverloadFactor, and 4 more by chance
	)
	for _, c := range []struct {
		name string
		play func(p *observedFleet) (sent int)
		cold bool
	}{
		{"no observation", func(p *observedFleet) int {
			return p.serve(window)
		}, false},
		{"restart observed by the router itself", func(p *observedFleet) int {
			p.coldCache = true
			p.observe(observedServer, false, 0)
			p.now += downtime
			return p.serve(window)
		}, true},
		{"restart observed by others", func(p *observedFleet) int {
			p.coldCache = true
			p.now += downtime
			p.observe(observedServer, false, downtime-time.Millisecond)
			p.observe(observedServer, true, 0)
			return p.serve(window)
		}, true},
		{"reported up to a router that has just started", func(p *observedFleet) int {
			*p = *newObservedFleet()
			p.coldCache = true
			p.observe(observedServer, true, 250*time.Millisecond)
			return p.serve(window)
		}, true},
		{"down for a moment", func(p *observedFleet) int {
			p.coldCache = true
			p.observe(observedServer, false, 300*time.Millisecond)
			p.observe(observedServer, true, 0)
			return p.serve(window)
		}, false},
		{"reported down while it answers", func(p *observedFleet) int {
			p.coldCache = true
			p.observe(observedServer, false, 100*time.Millisecond)
			return p.serve(window)
		}, false},
		{"most servers reported by a router with broken network paths", func(p *observedFleet) int {
			*p = *newObservedFleet()
			p.allCold = true
			for server := range uint32(observedServers - 2) {
				p.observe(server+1, false, downtime)
				p.observe(server+1, true, 0)
			}
			return p.serve(window)
		}, false},
		{"restart reported to a router that has just started, after most servers were down together", func(p *observedFleet) int {
			*p = *newObservedFleet()
			p.coldCache, p.halfCold = true, true
			p.observe(observedServer, true, 250*time.Millisecond)
			for server := uint32(observedServer + 1); server <= observedServers; server++ {
				p.observe(server, true, 4*time.Second)
			}
			return p.serve(window)
		}, true},
		{"restarted, then down for a moment", func(p *observedFleet) int {
			p.coldCache = true
			p.observe(observedServer, false, 0)
			p.now += downtime
			p.observe(observedServer, true, 0)
			p.serve(100 * time.Millisecond)
			p.observe(observedServer, false, 0)
			p.now += 100 * time.Millisecond
			p.observe(observedServer, true, 0)
			return p.serve(window)
		}, true},
		{"restarted, but no start is listed", func(p *observedFleet) int {
			p.coldCache = true
			p.observe(observedServer, false, 0)
			p.now += downtime
			p.serve(maxDiscoveryLag + time.Second)
			return p.serve(window)
		}, false},
		{"restarted, but its cache is warm", func(p *observedFleet) int {
			p.observe(observedServer, false, 0)
			p.now += downtime
			p.serve(3 * time.Second)
			return p.serve(window)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newObservedFleet()
			p.serve(before)
			sent := c.play(p)
			if c.cold && float64(sent) > cold || !c.cold && float64(sent) < 0.7*warmReads {
				t.Errorf("%d reads within %v; a warm server gets %.0f, a cold one %.0f", sent, window, float64(warmReads), float64(cold))
			}
		})
	}
}

// A listed start replaces the one that observations indicate.
func TestListedStartReplacesInferredStart(t *testing.T) {
	p := newObservedFleet()
	p.serve(5 * time.Second)
	p.observe(observedServer, false, 0)
	p.now += 4 * time.Second
	started := p.now
	p.serve(time.Second)
	p.router.UpdateServers(p.now, ListDelta, []Server{{ID: observedServer, Phase: Ready, Weight: 1, Started: started}})
	s := p.router.servers[observedServer]
	if at, notified, known := p.router.knownStart(s); at != started || notified != p.now || !known {
		t.Errorf("started at %v, notified at %v, %v; want %v, %v", at, notified, known, started, p.now)
	}
}
