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
	heartbeatInterval = 2 * time.Second // between two lines on an open watch
	standinHost       = 0               // the router number whose loopback addresses the stand-ins for discovery and caches use
)

// discoveryServer is a stand-in for the discovery service. It answers every request with the same list and keeps watches open.
type discoveryServer struct {
	addr        string
	server      *http.Server
	list        []byte // the server list as a line of JSON
	calls       atomic.Int64
	openWatches atomic.Int64 // open watch connections
	sentBytes   atomic.Int64 // total bytes of answers
}

// serverEntry is one server in the platform's format.
type serverEntry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	State     string  `json:"state"`
	Cell      int     `json:"cell"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// serverList is the list of servers in the platform's format.
type serverList struct {
	Version int           `json:"version"`
	Full    bool          `json:"full"`
	Servers []serverEntry `json:"servers"`
}

// startDiscovery starts a server that serves the list until close is called.
func startDiscovery(servers []serverEntry) (*discoveryServer, error) {
	text, err := json.Marshal(serverList{Version: 1, Full: true, Servers: servers})
	if err != nil {
		return nil, err
	}
	listener, err := loopback.Listen(loopback.StandIns, standinHost)
	if err != nil {
		return nil, err
	}
	d := &discoveryServer{addr: listener.Addr().String(), list: append(text, '\n')}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", d.serve)
	d.server = &http.Server{Handler: mux}
	go d.server.Serve(listener)
	return d, nil
}

func (d *discoveryServer) close() { d.server.Close() }

// serve sends the list. If the request asks for a watch it keeps the connection open with a heartbeat.
func (d *discoveryServer) serve(w http.ResponseWriter, r *http.Request) {
	d.calls.Add(1)
	if d.write(w, d.list) != nil || r.URL.Query().Get("watch") != "1" {
		return
	}
	d.openWatches.Add(1)
	defer d.openWatches.Add(-1)
	tick := time.NewTicker(heartbeatInterval)
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
	d.sentBytes.Add(int64(n))
	if err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

// cacheListeners are the listeners of cache servers and of the origin. They accept connections and answer nothing.
type cacheListeners struct{ listeners []net.Listener }

// listenCaches opens a listener for each cache server and for an origin, and returns their list with the origin at the end.
func listenCaches(count, zones int, kinds []string, originKind string) (*cacheListeners, []serverEntry, error) {
	c := &cacheListeners{}
	var servers []serverEntry
	for i := range count + 1 {
		listener, err := loopback.Listen(loopback.StandIns, standinHost)
		if err != nil {
			c.close()
			return nil, nil, err
		}
		c.listeners = append(c.listeners, listener)
		go holdConnections(listener)
		kind := kinds[i%len(kinds)]
		if i == count {
			kind = originKind
		}
		servers = append(servers, serverEntry{ID: fmt.Sprintf("s-%08x", i+1), Addr: listener.Addr().String(), Zone: zoneName(i % zones),
			Kind: kind, State: "active", Weight: 1})
	}
	return c, servers, nil
}

func zoneName(zone int) string { return fmt.Sprintf("z%d", zone) }

// holdConnections accepts connections and keeps them open until the listener is closed.
func holdConnections(listener net.Listener) {
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

func (c *cacheListeners) close() {
	for _, listener := range c.listeners {
		listener.Close()
	}
}
