package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Platform plays discovery, the slot caches and the origin. The slot caches have every key: each read is a hit.
type Platform struct {
	DiscoveryAddr string

	world      *World
	cacheAddrs []string
	originAddr string
	readTime   time.Duration // mean time of a read at a slot cache
	writeTime  time.Duration // mean time of a write at the origin

	mu   sync.Mutex
	runs map[string]int // how often the origin has run a write, by request id
}

// Servers describes the servers of a case.
type Servers struct {
	Caches, SlotsPerCache, OriginSlots int
	ReadTime, WriteTime                time.Duration
}

// NewPlatform starts discovery, the slot caches and the origin.
func NewPlatform(w *World, s Servers) (*Platform, error) {
	p := &Platform{world: w, readTime: s.ReadTime, writeTime: s.WriteTime, runs: map[string]int{}}
	for range s.Caches {
		l, err := Listen()
		if err != nil {
			return nil, err
		}
		w.OnStop(func() { l.Close() })
		p.cacheAddrs = append(p.cacheAddrs, l.Addr().String())
		go p.serveCache(l, make(chan struct{}, s.SlotsPerCache))
	}
	var err error
	if p.originAddr, err = serveHTTP(w, p.originHandler(make(chan struct{}, s.OriginSlots))); err != nil {
		return nil, err
	}
	p.DiscoveryAddr, err = serveHTTP(w, http.HandlerFunc(p.serveDiscovery))
	return p, err
}

// AddCache adds a slot cache that the case plays itself.
func (p *Platform) AddCache(addr string) { p.cacheAddrs = append(p.cacheAddrs, addr) }

// serveHTTP serves a handler on a free loopback address.
func serveHTTP(w *World, handler http.Handler) (addr string, err error) {
	l, err := Listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	w.OnStop(func() { server.Close() })
	go server.Serve(l)
	return l.Addr().String(), nil
}

// list returns the list of servers in discovery's form.
func (p *Platform) list() string {
	type entry struct {
		ID        string  `json:"id"`
		Addr      string  `json:"addr"`
		Zone      string  `json:"zone"`
		Kind      string  `json:"kind"`
		Cell      int     `json:"cell"`
		State     string  `json:"state"`
		Weight    float64 `json:"weight"`
		StartedMS int64   `json:"started_ms"`
	}
	servers := []entry{{ID: "s-0000000f", Addr: p.originAddr, Zone: "z0", Kind: "origin", State: "active", Weight: 1}}
	for i, addr := range p.cacheAddrs {
		servers = append(servers, entry{ID: fmt.Sprintf("s-%08x", 0x5be20000+i), Addr: addr, Zone: "z0", Kind: "std-6c", State: "active", Weight: 1})
	}
	text, _ := json.Marshal(map[string]any{"version": 1, "full": true, "servers": servers})
	return string(text)
}

// serveDiscovery answers with the whole list, and keeps a watch open with an empty line every 2 s.
func (p *Platform) serveDiscovery(w http.ResponseWriter, r *http.Request) {
	fmt.Fprintln(w, p.list())
	if r.URL.Query().Get("watch") == "" {
		return
	}
	tick := time.NewTicker(2 * time.Second)
	defer tick.Stop()
	for {
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-tick.C:
			fmt.Fprintln(w)
		}
	}
}

// work occupies one of a server's slots for a drawn time.
func work(slots chan struct{}, mean time.Duration) {
	slots <- struct{}{}
	time.Sleep(time.Duration(min(3, rand.ExpFloat64()) * float64(mean)))
	<-slots
}

// originHandler serves reads and writes as the origin does.
func (p *Platform) originHandler(slots chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("X-Correlation-Id")
		work(slots, p.writeTime)
		if r.Method == http.MethodGet {
			fmt.Fprint(w, "value")
			return
		}
		p.mu.Lock()
		p.runs[id]++
		p.mu.Unlock()
		p.world.Log("origin ran write %s", id)
		fmt.Fprint(w, "r"+id)
	})
}

// serveCache serves a slot cache. It begins each command as it arrives and answers in their order.
func (p *Platform) serveCache(l net.Listener, slots chan struct{}) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go p.serveCacheConn(conn, slots)
	}
}

func (p *Platform) serveCacheConn(conn net.Conn, slots chan struct{}) {
	defer conn.Close()
	answers := make(chan chan string, 256)
	defer close(answers)
	go func() {
		for answer := range answers {
			if _, err := io.WriteString(conn, <-answer); err != nil {
				conn.Close()
			}
		}
	}()
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		answer := make(chan string, 1)
		answers <- answer
		switch {
		case len(words) > 0 && words[0] == "mn":
			answer <- "MN\r\n"
		case len(words) > 2 && words[0] == "mg":
			go func() {
				work(slots, p.readTime)
				value := "value of " + words[1]
				answer <- fmt.Sprintf("VA %d %s h1\r\n%s\r\n", len(value), flag(words, 'O'), value)
			}()
		case len(words) > 3 && words[0] == "ms":
			length, _ := strconv.Atoi(words[2])
			if _, err := reader.Discard(length + 2); err != nil {
				return
			}
			answer <- "SERVER_ERROR failed\r\n" // writes go to the origin
		default:
			answer <- "ERROR\r\n"
		}
	}
}

// flag returns the word that begins with a letter.
func flag(words []string, letter byte) string {
	for _, word := range words[2:] {
		if word[0] == letter {
			return word
		}
	}
	return ""
}
