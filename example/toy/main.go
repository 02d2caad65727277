// Command toy plays everything round a router in one process: a directory,
// two slot caches and an origin, on the addresses of config.json. Its values
// are made up from their keys, and its stores hold whatever fits in memory.
package main

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	directory = "127.0.0.1:8500"
	origin    = "127.0.0.1:8080"
)

// cache is a slot cache: it answers what it keeps and else says that it missed.
type cache struct {
	addr string

	mu     sync.Mutex
	values map[string]string
	missed map[string]bool // ids of reads that found nothing here
}

var caches = []*cache{newCache("127.0.0.1:11311"), newCache("127.0.0.1:11312")}

func newCache(addr string) *cache {
	return &cache{addr: addr, values: map[string]string{}, missed: map[string]bool{}}
}

func main() {
	for _, c := range caches {
		l, err := net.Listen("tcp", c.addr)
		if err != nil {
			log.Fatal(err)
		}
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					log.Fatal(err)
				}
				go c.serve(conn)
			}
		}()
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", list)
	go func() { log.Fatal(http.ListenAndServe(directory, mux)) }()
	log.Printf("directory on %s, origin on %s", directory, origin)
	log.Fatal(http.ListenAndServe(origin, http.HandlerFunc(answer)))
}

func (c *cache) serve(conn net.Conn) {
	defer conn.Close()
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		word := strings.Fields(lines.Text())
		if len(word) < 4 || word[0] != "mg" {
			fmt.Fprint(conn, "CLIENT_ERROR only mg is known\r\n")
			continue
		}
		key, id := word[1], strings.TrimPrefix(word[3], "O")
		c.mu.Lock()
		value, held := c.values[key]
		c.missed[id] = !held
		c.mu.Unlock()
		if held {
			log.Printf("%s has %s", c.addr, key)
			fmt.Fprintf(conn, "VA %d O%s h1\r\n%s\r\n", len(value), id, value)
		} else {
			log.Printf("%s misses %s", c.addr, key)
			fmt.Fprintf(conn, "EN O%s h0\r\n", id)
		}
	}
}

// answer is the origin: it makes values up, takes writes, and has the caches that missed store a value.
func answer(w http.ResponseWriter, r *http.Request) {
	key, id := strings.TrimPrefix(r.URL.Path, "/"), r.Header.Get("X-Correlation-Id")
	log.Printf("origin: %s %s", r.Method, key)
	text := "slots of " + key
	if r.Method == http.MethodPut {
		io.Copy(io.Discard, r.Body)
		text = fmt.Sprintf("receipt%d", time.Now().UnixMilli())
	}
	for _, c := range caches {
		c.mu.Lock()
		if r.Method == http.MethodPut {
			delete(c.values, key)
		} else if c.missed[id] {
			c.values[key] = text
		}
		delete(c.missed, id)
		c.mu.Unlock()
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	io.WriteString(w, text)
}

// list answers the whole list; a watch stays open, and nothing ever changes.
func list(w http.ResponseWriter, r *http.Request) {
	entry := `{"id":"s-0000000%d","addr":"%s","zone":"hall","kind":"%s","cell":0,"state":"active","weight":1,"started_ms":0}`
	entries := []string{fmt.Sprintf(entry, 0, origin, "origin")}
	for i, c := range caches {
		entries = append(entries, fmt.Sprintf(entry, i+1, c.addr, "cache"))
	}
	fmt.Fprintf(w, "{\"version\":1,\"full\":true,\"servers\":[%s]}\n", strings.Join(entries, ","))
	for r.URL.Query().Get("watch") == "1" {
		if w.(http.Flusher).Flush(); r.Context().Err() != nil {
			return
		}
		time.Sleep(2 * time.Second)
		fmt.Fprintln(w)
	}
}
