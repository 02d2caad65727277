package main

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["8"] = playCase8 }

// case8Overlap is how long after the start of a router's new process the old one gets SIGTERM: the platform sends it when the new
// one says yes, within 6 s.
const case8Overlap = 5500 * time.Millisecond

// case8Cut is how long the third router is cut off.
const case8Cut = 6 * time.Second

// mesh carries the datagrams between routers, and can cut one router off.
type mesh struct {
	listens []string         // peer_listen of each router
	sockets [][]*net.UDPConn // by receiver's peer as the first index sees it: at sockets[i][j] router i reaches router j
	cut     atomic.Int64     // the router that is cut off; -1: none
	dropped atomic.Int64
}

// newMesh opens the sockets of a mesh between routers.
func (w *world) newMesh(count int) *mesh {
	m := &mesh{}
	m.cut.Store(-1)
	for range count {
		m.listens = append(m.listens, freeAddr("udp"))
		m.sockets = append(m.sockets, make([]*net.UDPConn, count))
	}
	for i := range count {
		for j := range count {
			if i == j {
				continue
			}
			c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			must(err)
			m.sockets[i][j] = c
			w.onClose(func() { c.Close() })
		}
	}
	for i := range count {
		for j := range count {
			if i != j {
				go m.carry(i, j)
			}
		}
	}
	return m
}

// carry passes the datagrams of router i on to router j.
func (m *mesh) carry(i, j int) {
	to, err := net.ResolveUDPAddr("udp4", m.listens[j])
	if err != nil {
		return
	}
	b := make([]byte, 512)
	for {
		n, _, err := m.sockets[i][j].ReadFromUDP(b)
		if err != nil {
			return
		}
		if cut := int(m.cut.Load()); cut == i || cut == j {
			m.dropped.Add(1)
			continue
		}
		m.sockets[j][i].WriteToUDP(b[:n], to)
	}
}

// peers returns the addresses at which router i finds all routers.
func (m *mesh) peers(i int) (list []string) {
	for j := range m.listens {
		if i == j {
			list = append(list, m.listens[i])
		} else {
			list = append(list, m.sockets[i][j].LocalAddr().String())
		}
	}
	return list
}

// drainedAt returns the slot caches that a router says are out.
func (w *world) drainedAt(admin string) (out map[string]bool, text string) {
	status, body := w.call("GET", admin, "/v1/fleet")
	var report struct {
		Drains []struct{ Cache, State, Why string }
	}
	out = map[string]bool{}
	if status != 200 || json.Unmarshal([]byte(body), &report) != nil {
		return out, "no answer"
	}
	for _, d := range report.Drains {
		out[d.Cache] = d.State == "out"
		text += fmt.Sprintf(" %s %s %s", d.Cache, d.State, d.Why)
	}
	return out, strings.TrimSpace(text)
}

// playCase8 replaces the processes of two of three routers while the third one, which keeps a slot cache drained, is cut off. Of
// the slot caches, one may be out at a time.
func playCase8(w *world, trouble bool) (broken []string) {
	_, list := w.startServers(4, plainAnswer, 100*time.Millisecond)
	fleet := w.newFleet(3, w.startDiscovery(list), "fleet {\n\tview on\n\tcaches 1\n}\n")
	m := w.newMesh(len(fleet))
	for i, r := range fleet {
		r.holdListener()
		r.config["peer_listen"], r.config["peers"] = m.listens[i], m.peers(i)
		r.start()
	}
	for _, r := range fleet {
		w.waitFor("router "+fmt.Sprint(r.number), 10*time.Second, r.ready)
	}
	time.Sleep(11 * time.Second) // electors grant nothing in the first 10 s
	const first, second = "s-00000100", "s-00000101"
	status, body := w.call("POST", fleet[2].admin, "/v1/fleet/caches/drain?cache="+first+"&for=1h")
	w.note("router 2 asked to drain %s: %d %s", first, status, body)
	w.waitFor("the drain of the first slot cache", 10*time.Second, func() bool {
		for _, r := range fleet {
			if out, _ := w.drainedAt(r.admin); !out[first] {
				return false
			}
		}
		return true
	})
	time.Sleep(5 * time.Second)
	began := time.Now()
	if trouble {
		w.replaceProcesses(fleet[:2], m, began)
	}
	time.Sleep(time.Until(began.Add(10200 * time.Millisecond)))
	status, body = w.call("POST", fleet[0].admin, "/v1/fleet/caches/drain?cache="+second+"&for=1h")
	w.note("router 0 asked to drain %s: %d %s", second, status, body)
	last := [3]string{}
	for time.Since(began) < 20*time.Second {
		before, _ := w.drainedAt(fleet[2].admin)
		for i, r := range fleet[:2] {
			if out, text := w.drainedAt(r.admin); out[second] {
				if after, _ := w.drainedAt(fleet[2].admin); before[first] && after[first] {
					broken = append(broken, fmt.Sprintf("%.1f s after the new processes' start router 2 has %s out and router %d has %s out",
						time.Since(began).Seconds(), first, i, second))
				}
			} else if text != last[i] {
				last[i] = text
				w.note("router %d: %s", i, text)
			}
		}
		if _, text := w.drainedAt(fleet[2].admin); text != last[2] {
			last[2] = text
			w.note("router 2: %s", text)
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.note("%d datagrams of the cut-off router were dropped", m.dropped.Load())
	return broken
}

// replaceProcesses starts new processes of routers beside the old ones, ends the old ones, and cuts router 2 off as they end.
func (w *world) replaceProcesses(fleet []*router, m *mesh, began time.Time) {
	var old []*process
	for _, r := range fleet {
		old = append(old, r.current)
		r.admin = freeAddr("tcp")
		r.start()
	}
	for _, r := range fleet {
		w.waitFor("the new process's yes", 6*time.Second, func() bool {
			status, _ := w.call("GET", r.admin, "/v1/readyz")
			return status == 200
		})
		w.note("the new process of router %d says yes", r.number)
	}
	time.Sleep(time.Until(began.Add(case8Overlap)))
	m.cut.Store(2)
	w.note("router 2 is cut off from the others")
	time.AfterFunc(case8Cut, func() {
		m.cut.Store(-1)
		w.note("router 2 reaches the others again")
	})
	for _, p := range old {
		p.signal(syscall.SIGTERM)
		w.note("SIGTERM to %s", p.name)
	}
	var ends sync.WaitGroup
	for _, p := range old {
		ends.Go(func() {
			if !p.waitEnded(3700 * time.Millisecond) {
				p.kill()
			}
		})
	}
	ends.Wait()
}
