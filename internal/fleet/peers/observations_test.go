package peers

import (
	"context"
	"sync"
	"testing"
	"time"

	"hoptiller/internal/fleet/view"
	"hoptiller/internal/testprog"
)

// What one router observes of a slot cache is passed to the callbacks of all routers, its own included.
func TestObservationReachesAllRouters(t *testing.T) {
	addrs := freeAddrs(t, 2)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	var routers [2]*Peers
	var observed [2]chan view.Observation
	for i := range routers {
		observed[i] = make(chan view.Observation, 1)
		p, err := New(Settings{Self: i, Listen: addrs[i], Addrs: addrs, Seed: uint64(i),
			Phase: func() view.Phase { return view.Serving }, Details: func() view.Details { return view.Details{} },
			OnObservation: func(o view.Observation) {
				select {
				case observed[i] <- o:
				default: // the callback is called repeatedly
				}
			}})
		if err != nil {
			t.Fatal(err)
		}
		routers[i] = p
		running.Go(func() { p.Run(ctx) })
	}
	routers[0].Observe(7, view.ObservedDown)
	for i := range observed {
		if o := testprog.Await(t, observed[i], "an observation"); o.CacheID != 7 || o.State != view.ObservedDown {
			t.Errorf("router %d: %+v", i, o)
		}
	}
}

// A new observation is passed to the callback with the datagram that contains it, and not only with the next tick. Until a
// router knows that a slot cache is back, it sends that slot cache its full share of requests.
func TestObservationIsPassedOnAtOnce(t *testing.T) {
	other := view.New(view.Config{Self: 1, RouterCount: 2, Start: time.Now()})
	other.Observe(view.Observation{CacheID: 7, State: view.ObservedUp})
	other.Tick(0)
	var passed []view.Observation
	p, err := New(Settings{Self: 0, Listen: "127.0.0.1:0", Addrs: []string{"127.0.0.1:1", "127.0.0.1:2"},
		OnObservation: func(o view.Observation) { passed = append(passed, o) }})
	if err != nil {
		t.Fatal(err)
	}
	for _, datagram := range other.Outgoing() {
		p.handleDatagram(1, datagram.Body)
	}
	if len(passed) != 1 || passed[0].CacheID != 7 || passed[0].State != view.ObservedUp {
		t.Errorf("got observations %+v", passed)
	}
}
