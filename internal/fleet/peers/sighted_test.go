package peers

import (
	"context"
	"sync"
	"testing"
	"time"

	"hoptiller/internal/fleet/view"
	"hoptiller/internal/testprog"
)

// What one router saw of a slot cache is told to the others, and to itself.
func TestSighted(t *testing.T) {
	addrs := sockets(t, 2)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	var routers [2]*Peers
	var heard [2]chan view.Sight
	for i := range routers {
		heard[i] = make(chan view.Sight, 1)
		p, err := New(Settings{Self: i, Listen: addrs[i], Addrs: addrs, Seed: uint64(i),
			Phase: func() view.Phase { return view.Serving }, Tell: func() view.Details { return view.Details{} },
			Sighted: func(s view.Sight) {
				select {
				case heard[i] <- s:
				default: // it is told again and again
				}
			}})
		if err != nil {
			t.Fatal(err)
		}
		routers[i] = p
		running.Go(func() { p.Run(ctx) })
	}
	routers[0].Saw(7, view.SeenDown)
	for i := range heard {
		if s := testprog.Await(t, heard[i], "what was seen"); s.Cache != 7 || s.State != view.SeenDown {
			t.Errorf("router %d: %+v", i, s)
		}
	}
}

// What another router saw is told with the datagram that brings it, and not only in time: a server that is back gets a router's whole part
// until it is known.
func TestSightedAtOnce(t *testing.T) {
	other := view.New(view.Config{Self: 1, Of: 2, Start: time.Now()})
	other.Saw(view.Sight{Cache: 7, State: view.SeenBack})
	other.Tick(0)
	var told []view.Sight
	p, err := New(Settings{Self: 0, Listen: "127.0.0.1:0", Addrs: []string{"127.0.0.1:1", "127.0.0.1:2"},
		Sighted: func(s view.Sight) { told = append(told, s) }})
	if err != nil {
		t.Fatal(err)
	}
	for _, datagram := range other.Out() {
		p.take(1, datagram.Body)
	}
	if len(told) != 1 || told[0].Cache != 7 || told[0].State != view.SeenBack {
		t.Errorf("told %+v", told)
	}
}
