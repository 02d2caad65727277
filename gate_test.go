package hoptiller

import (
	"testing"
	"time"
)

// If the servers fetch, a key that was not answered here lately may need the origin. If such reads fail and reads of cached keys
// do not, most of them are refused. Broken connections, and failures that cached keys share, say nothing about the origin.
func TestGateDistinguishesOriginFromServers(t *testing.T) {
	for _, c := range []struct {
		uncached, cached Status
		shut             bool
	}{{ServerError, OK, true}, {Reset, OK, false}, {ServerError, ServerError, false}} {
		r, p := newRouter(testSettings(), fleet(1, 1, 1))
		id := uint32(0)
		read := func(key uint64, st Status) {
			id++
			r.pressure = 0
			r.Request(r.now, Request{ID: id, Key: key, Remaining: time.Second})
			for n := 0; n < 3 && r.requests[id] != nil; n++ {
				answer(r, p, id, st, 10*time.Millisecond)
			}
		}
		read(1, OK)
		for i := uint64(0); i < 100; i++ {
			r.cachedAt[1] = r.now
			read(1, c.cached)
			read(1000+i, c.uncached)
		}
		if shut := r.gate < 0.3; shut != c.shut {
			t.Errorf("uncached reads end with %v, cached ones with %v: gate at %.2f", c.uncached, c.cached, r.gate)
		}
	}
}
