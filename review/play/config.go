package main

import (
	"fmt"
	"net"
	"path/filepath"
	"time"
)

// classes returns the classes of the deployment prairie-booking. effect is that of slot-view.
func classes(effect string) []map[string]any {
	return []map[string]any{
		{"deadline": 4000000, "effect": effect, "group": "all", "keyTtl": 5000000, "lateValue": 0.0, "name": "slot-view",
			"onTime": 1200000, "stream": false, "worth": 1.0},
		{"deadline": 5000000, "effect": "at_most_once", "group": "all", "keyTtl": 5000000, "lateValue": 0.0, "name": "book",
			"onTime": 1500000, "stream": false, "worth": 3.0},
		{"deadline": 2000000, "effect": "deduplicated", "group": "all", "keyTtl": 1500000, "lateValue": 0.0, "name": "cancel",
			"onTime": 1000000, "stream": false, "worth": 2.0},
	}
}

// settings returns the settings of one router of a number of them, as those of the deployment prairie-booking.
func settings(self, routers int, effect string) map[string]any {
	return map[string]any{
		"accounts": []any{}, "balancers": routers,
		"bounds": map[string]any{"connIdle": 60000000, "connectTimeout": 250000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 15000,
			"maxRetryAfter": 2000000, "mayCancel": true, "mayTell": true, "mostTries": 5, "openCap": 20000, "probing": true,
			"retryAfter": true, "secondCopies": false, "streamsPerConn": 100},
		"classes": classes(effect), "clients": map[string]any{"marksRetry": false},
		"failureDomains": []string{"regina", "saskatoon", "winnipeg"},
		"familyInfo": map[string]any{"mode": "aside", "ordered": true, "originFall": 3000000, "originFallMultiple": 3.0,
			"originKind": 2},
		"fees": map[string]any{"connection": 0.04, "crossZone": 0.03, "handshake": 0.04, "lateFail": 0.11, "peer": 0.01,
			"probe": 0.01, "waste": 0.3},
		"kinds": []string{"std-6c", "small-5c", "origin"}, "membershipMode": "on_request", "overShareWorth": 0.1, "period": 5000,
		"rules": map[string]any{"askWithin": 10000000, "cold": 24000000, "coldFrom": 0.12, "fall": 1500000,
			"graceToAnswer": 20000, "overloadFactor": 2.5, "stopSendingWithin": 500000},
		"scoringMix":  map[string]any{"whole": 0.45, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.35},
		"selfIndex":   self,
		"serviceType": "cache", "stages": []string{"slot-cache"}, "stats": map[string]any{"columns": []string{}, "how": "silent"},
		"tier": 0, "weightSource": "nominal", "worthBy": "work", "zone": 0,
	}
}

// cacheEntry returns the list entry of a slot cache that has run for long.
func cacheEntry(c *cache) entry {
	return entry{ID: c.id, Addr: c.addr, Zone: "regina", Kind: "std-6c", State: "active", Weight: 6}
}

// originEntry returns the list entry of the origin.
func originEntry(addr string) entry {
	return entry{ID: "s-00000001", Addr: addr, Zone: "regina", Kind: "origin", State: "active", Weight: 1}
}

// newRouter returns a router that is not started yet.
func (w *world) newRouter(number, routers int, d *discovery, effect string, memoryMB int) *router {
	r := &router{w: w, number: number, listen: freeAddr("tcp")}
	r.config = map[string]any{
		"name": fmt.Sprintf("n%d", number), "listen": r.listen, "discovery": d.addr, "seed": fmt.Sprintf("%016x", 77+number),
		"limits": map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": 1024},
		"known":  d.list(), "settings": settings(number, routers, effect),
	}
	return r
}

// newFleet returns routers with operators' addresses that see one another, by an operator's file. They are not started yet.
func (w *world) newFleet(count int, d *discovery, operatorFile string) (fleet []*router) {
	path := filepath.Join(w.dir, "operator.hop")
	must(writeFile(path, operatorFile))
	var peers []string
	for range count {
		peers = append(peers, freeAddr("udp"))
	}
	for i := range count {
		r := w.newRouter(i, count, d, "idempotent", 192)
		r.admin, r.env = freeAddr("tcp"), []string{"HOPTILLER_FILE=" + path}
		r.config["peer_listen"], r.config["peers"] = peers[i], peers
		fleet = append(fleet, r)
	}
	return fleet
}

// plainAnswer is the answer of a slot cache that has all values.
func plainAnswer(command) (value string, delay time.Duration) { return "value", 5 * time.Millisecond }

// startServers starts slot caches and an origin, and returns them with discovery's list.
func (w *world) startServers(count int, answer answerFunc, originDelay time.Duration) (caches []*cache, list []entry) {
	for i := range count {
		c := w.startCache(fmt.Sprintf("s-%08x", 0x100+i), answer)
		caches, list = append(caches, c), append(list, cacheEntry(c))
	}
	return caches, append(list, originEntry(w.startOrigin(originDelay)))
}

// holdListener opens the router's socket for clients, which the platform then holds and each process inherits.
func (r *router) holdListener() {
	l, err := net.Listen("tcp4", r.listen)
	must(err)
	r.listener, err = l.(*net.TCPListener).File()
	must(err)
	l.Close()
	r.w.onClose(func() { r.listener.Close() })
}
