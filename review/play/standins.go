package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is one server of discovery's list.
type entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// discovery is a stand-in for the platform's discovery. Its list stays as it is.
type discovery struct {
	addr    string
	servers []entry
}

// startDiscovery starts discovery with a list of servers.
func (w *world) startDiscovery(servers []entry) *discovery {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	d := &discovery{addr: l.Addr().String(), servers: servers}
	server := &http.Server{Handler: http.HandlerFunc(d.serve)}
	go server.Serve(l)
	w.onClose(func() { server.Close() })
	return d
}

// list returns the whole list in discovery's form.
func (d *discovery) list() map[string]any {
	return map[string]any{"version": 1, "full": true, "servers": d.servers}
}

// serve answers one call: with the list, or with a watch on which nothing changes.
func (d *discovery) serve(response http.ResponseWriter, request *http.Request) {
	out := json.NewEncoder(response)
	if request.URL.Query().Get("watch") == "" || request.URL.Query().Get("after") != "1" {
		out.Encode(d.list())
	} else {
		out.Encode(map[string]any{"version": 1, "full": false, "servers": []entry{}})
	}
	for request.URL.Query().Get("watch") != "" {
		response.(http.Flusher).Flush()
		select {
		case <-request.Context().Done():
			return
		case <-time.After(2 * time.Second):
		}
		if _, err := io.WriteString(response, "\n"); err != nil {
			return
		}
	}
}

// command is one command that a slot cache has got.
type command struct {
	key, id, facts string
	value          []byte
	write          bool
	arrived        time.Time
}

// answerFunc answers a command of a slot cache or a request to the origin.
type answerFunc func(c command) (value string, delay time.Duration)

// cache is a stand-in for a slot cache. It answers in the order of the commands, and begins each at once.
type cache struct {
	w    *world
	id   string
	addr string
	mu   sync.Mutex
	ran  []command
}

// startCache starts a slot cache. An empty value is a miss.
func (w *world) startCache(id string, answer answerFunc) *cache {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	c := &cache{w: w, id: id, addr: l.Addr().String()}
	w.onClose(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			w.onClose(func() { conn.Close() })
			go c.serve(conn, answer)
		}
	}()
	return c
}

// commands returns the commands that the slot cache has got so far.
func (c *cache) commands() []command {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]command{}, c.ran...)
}

// serve answers the commands of one connection.
func (c *cache) serve(conn net.Conn, answer answerFunc) {
	defer conn.Close()
	answers := make(chan chan string, 100)
	defer close(answers)
	go func() {
		for a := range answers {
			if _, err := io.WriteString(conn, <-a); err != nil {
				conn.Close()
			}
		}
	}()
	in := bufio.NewReader(conn)
	for {
		cmd, verb, err := readCommand(in)
		if err != nil {
			return
		}
		reply := make(chan string, 1)
		answers <- reply
		switch verb {
		case "mg":
			c.mu.Lock()
			c.ran = append(c.ran, cmd)
			c.mu.Unlock()
			go func() {
				value, delay := answer(cmd)
				time.Sleep(delay)
				if value == "" {
					reply <- fmt.Sprintf("EN O%s\r\n", cmd.id)
					return
				}
				reply <- fmt.Sprintf("VA %d O%s\r\n%s\r\n", len(value), cmd.id, value)
			}()
		case "mn":
			reply <- "MN\r\n"
		default:
			reply <- "CLIENT_ERROR unexpected\r\n"
		}
	}
}

// readCommand reads one command.
func readCommand(in *bufio.Reader) (c command, verb string, err error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return c, "", err
	}
	words := strings.Fields(line)
	if len(words) == 0 {
		return c, "", nil
	}
	for _, word := range words[1:] {
		switch word[0] {
		case 'O':
			c.id = word[1:]
		case 'P':
			c.facts = word[1:]
		}
	}
	if verb = words[0]; len(words) > 1 {
		c.key = words[1]
	}
	if verb == "ms" && len(words) > 2 {
		n, _ := strconv.Atoi(words[2])
		c.value, c.write = make([]byte, n+2), true
		if _, err := io.ReadFull(in, c.value); err != nil {
			return c, "", err
		}
	}
	c.arrived = time.Now()
	return c, verb, nil
}

// startOrigin starts an origin that answers each request with a value of its own. It returns its address.
func (w *world) startOrigin(delay time.Duration) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	server := &http.Server{Handler: http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		io.Copy(io.Discard, request.Body)
		time.Sleep(delay)
		fmt.Fprintf(response, "r%s", request.Header.Get("X-Correlation-Id"))
	})}
	go server.Serve(l)
	w.onClose(func() { server.Close() })
	return l.Addr().String()
}
