package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["10"] = playCase10 }

const (
	case10Routers = 20
	case10Wait    = 2950 * time.Millisecond // that each call of discovery waits; it gives up a call after 3 s
	case10Told    = 6 * time.Second         // after a watch fell silent, what it misses counts as told
	case10Grace   = 550 * time.Millisecond  // drain_grace_ms and the 50 ms by which time limits on sockets are longer
)

// playCase10 has all watches fall silent, a slot cache begin to drain, and discovery answer slowly. Nothing new may reach the slot
// cache once its drain counts as told and the grace is over.
func playCase10(w *world, trouble bool) (broken []string) {
	caches, list := w.startServers(4, plainAnswer, 100*time.Millisecond)
	d := w.startDiscovery(list)
	var fleet []*router
	for i := range case10Routers {
		r := w.newRouter(i, case10Routers, d, "idempotent", 192)
		r.start()
		fleet = append(fleet, r)
	}
	for _, r := range fleet {
		w.waitFor("router "+fmt.Sprint(r.number), 10*time.Second, r.ready)
	}
	w.startLoad(fleet, 5*time.Millisecond)
	time.Sleep(5 * time.Second)
	d.setState(caches[3].id, "active") // a message on all watches, after which none is due for 2 s
	time.Sleep(50 * time.Millisecond)
	told := time.Now()
	if trouble {
		d.silence()
		d.setDelay(case10Wait)
		told = told.Add(case10Told)
		w.note("all watches are silent from now on; each call waits %v", case10Wait)
	}
	time.Sleep(50 * time.Millisecond)
	drained := caches[0]
	d.setState(drained.id, "leaving")
	w.note("%s drains", drained.id)
	time.Sleep(9 * time.Second)
	late := map[string]float64{}
	for _, c := range drained.commands() {
		w.note("%s got %s at %.3f", drained.id, c.id, c.arrived.Sub(w.start).Seconds())
		if after := c.arrived.Sub(told); after > case10Grace {
			router := "router " + strings.TrimPrefix(c.id[1:3], "0")
			late[router] = max(late[router], after.Seconds())
		}
	}
	for router, after := range late {
		broken = append(broken, fmt.Sprintf("%s sent to %s up to %.2f s after its drain counts as told", router, drained.id, after))
	}
	if len(drained.commands()) == 0 {
		stop("%s got nothing at all", drained.id)
	}
	return broken
}
