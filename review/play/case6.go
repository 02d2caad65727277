package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["6"] = playCase6 }

const (
	case6Rounds    = 8
	case6Clients   = 14 // in each round
	case6Pipelined = 16 // commands that each client sends
	case6Interval  = 8 * time.Millisecond
	case6Short     = 80       // reads of short values before each round
	case6Value     = 64 << 10 // bytes, the longest value that the protocol allows
)

// playCase6 has clients send many reads of a class that must not run twice at once. No read that a slot cache has run may be
// answered as refused.
func playCase6(w *world, trouble bool) (broken []string) {
	value := strings.Repeat("v", case6Value)
	answer := func(c command) (string, time.Duration) {
		switch c.key[0] {
		case 'm': // a miss
			return "", 5 * time.Millisecond
		case 's':
			return "short", 5 * time.Millisecond
		}
		return value, time.Duration(30+rand.IntN(120)) * time.Millisecond
	}
	caches, list := w.startServers(8, answer, 700*time.Millisecond)
	r := w.newRouter(0, 1, w.startDiscovery(list), "at_most_once", 32)
	r.start()
	w.waitFor("the router", 10*time.Second, r.ready)
	time.Sleep(2 * time.Second)

	answers := &answerTable{w: w, lines: map[string]string{}}
	for round := range case6Rounds {
		var short []request
		for i := range case6Short {
			short = append(short, request{fmt.Sprintf("6%d990%02d", round, i), fmt.Sprintf("s%d", i)})
		}
		answers.readAll(r.listen, "a client", short, false)
		var clients sync.WaitGroup
		for n := range case6Clients {
			clients.Go(func() {
				time.Sleep(time.Duration(n) * case6Interval)
				// The first key is missing at its slot cache, so its answer comes last.
				requests := []request{{fmt.Sprintf("6%d%02d00", round, n), fmt.Sprintf("m%d-%d", round, n)}}
				for i := range case6Pipelined - 1 {
					requests = append(requests,
						request{fmt.Sprintf("6%d%02d%02d", round, n, i+1), fmt.Sprintf("%016x", 10000*round+100*n+i+1)})
				}
				answers.readAll(r.listen, fmt.Sprintf("client %d of round %d", n, round), requests, trouble)
			})
		}
		clients.Wait()
	}
	ran, served := map[string]string{}, 0
	for _, c := range caches {
		for _, cmd := range c.commands() {
			w.note("%s ran %s", c.id, cmd.id)
			if cmd.key[0] != 'm' {
				ran[cmd.id] = c.id
			}
		}
	}
	for id, line := range answers.lines {
		if strings.HasPrefix(line, "VA ") {
			served++
		}
		if strings.HasPrefix(line, "SERVER_ERROR busy") && ran[id] != "" {
			broken = append(broken, fmt.Sprintf("request %s has run at %s and was answered %q", id, ran[id], line))
		}
	}
	w.note("%d requests answered, %d served by slot caches or the origin, %d of %d that have run were refused", len(answers.lines),
		served, len(broken), len(ran))
	if served == 0 {
		stop("nothing was served")
	}
	return broken
}

// request is a read that a client sends.
type request struct{ id, key string }

// answerTable holds the first lines of the answers to all requests.
type answerTable struct {
	w     *world
	mu    sync.Mutex
	lines map[string]string // by id
}

// readAll sends reads on one connection, all at once or each after the answer to the one before.
func (t *answerTable) readAll(addr, client string, requests []request, atOnce bool) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.w.note("%s: %v", client, err)
		return
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	text := ""
	for i, q := range requests {
		line := fmt.Sprintf("mg %s v O%s Pc=slot-view,d=4000\r\n", q.key, q.id)
		t.w.note("%s sends %s", client, strings.TrimSpace(line))
		if text += line; atOnce && i+1 < len(requests) {
			continue
		}
		io.WriteString(conn, text)
		text = ""
		for _, waiting := range requests[map[bool]int{true: 0, false: i}[atOnce] : i+1] {
			if !t.readOne(in, waiting.id) {
				return
			}
		}
	}
}

// readOne reads the answer to a request and reports whether it came whole.
func (t *answerTable) readOne(in *bufio.Reader, id string) bool {
	line, err := in.ReadString('\n')
	if err != nil {
		t.w.note("request %s: no answer: %v", id, err)
		return false
	}
	line = strings.TrimSpace(line)
	if words := strings.Fields(line); len(words) > 1 && words[0] == "VA" {
		n, _ := strconv.Atoi(words[1])
		if _, err := in.Discard(n + 2); err != nil {
			t.w.note("request %s: value cut off: %v", id, err)
			return false
		}
	}
	t.w.note("request %s answered %s", id, line)
	t.mu.Lock()
	t.lines[id] = line
	t.mu.Unlock()
	return true
}
