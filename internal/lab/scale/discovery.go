package scale

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"hoptiller/internal/lab/loopback"
)

const (
	heartbeatEvery = 2 * time.Second // between two lines of a watch
	discoveryHost  = 0               // the number whose loopback addresses the stand-ins of discovery and caches have
)

// discoveryServer is a stand-in for the discovery service: it has one list, tells it to whoever asks and keeps watches open.
type discoveryServer struct {
	addr    string
	server  *http.Server
	text    []byte // the list as a line of JSON
	calls   atomic.Int64
	watches atomic.Int64 // that are open
	bytes   atomic.Int64 // of answers
}

// entry is one server in the platform's form.
type entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	State     string  `json:"state"`
	Cell      int     `json:"cell"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// listing is the list in the platform's form.
type listing struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// startDiscovery serves a list until close is called.
func startDiscovery(servers []entry) (*discoveryServer, error) {
	text, err := json.Marshal(listing{Version: 1, Full: true, Servers: servers})
	if err != nil {
		return nil, err
	}
	listener, err := loopback.Listen(loopback.Parties, discoveryHost)
	if err != nil {
		return nil, err
	}
	d := &discoveryServer{addr: listener.Addr().String(), text: append(text, '\n')}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", d.serve)
	d.server = &http.Server{Handler: mux}
	go d.server.Serve(listener)
	return d, nil
}

func (d *discoveryServer) close() { d.server.Close() }

// serve tells the list, and keeps the connection open where a watch is asked for.
func (d *discoveryServer) serve(w http.ResponseWriter, r *http.Request) {
	d.calls.Add(1)
	if d.write(w, d.text) != nil || r.URL.Query().Get("watch") != "1" {
		return
	}
	d.watches.Add(1)
	defer d.watches.Add(-1)
	tick := time.NewTicker(heartbeatEvery)
	defer tick.Stop()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-tick.C:
			if d.write(w, []byte{'\n'}) != nil {
				return
			}
		}
	}
}

func (d *discoveryServer) write(w http.ResponseWriter, text []byte) error {
	n, err := w.Write(text)
	d.bytes.Add(int64(n))
	if err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

// caches are the addresses of cache servers and of the origin. They accept connections and answer nothing.
type caches struct{ listeners []net.Listener }

// listenCaches opens an address for each cache server and lists them, with an origin at the end.
func listenCaches(count, zones int, kinds []string, originKind string) (*caches, []entry, error) {
	c := &caches{}
	var servers []entry
	for i := range count + 1 {
		listener, err := loopback.Listen(loopback.Parties, discoveryHost)
		if err != nil {
			c.close()
			return nil, nil, err
		}
		c.listeners = append(c.listeners, listener)
		go accept(listener)
		kind := kinds[i%len(kinds)]
		if i == count {
			kind = originKind
		}
		servers = append(servers, entry{ID: fmt.Sprintf("s-%08x", i+1), Addr: listener.Addr().String(), Zone: zoneName(i % zones),
			Kind: kind, State: "active", Weight: 1})
	}
	return c, servers, nil
}

func zoneName(zone int) string { return fmt.Sprintf("z%d", zone) }

// accept keeps the connections of a listener open until it is closed.
func accept(listener net.Listener) {
	var open []net.Conn
	for {
		c, err := listener.Accept()
		if err != nil {
			break
		}
		open = append(open, c)
	}
	for _, c := range open {
		c.Close()
	}
}

func (c *caches) close() {
	for _, listener := range c.listeners {
		listener.Close()
	}
}
