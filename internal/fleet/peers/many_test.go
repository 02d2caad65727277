package peers

import (
	"encoding/binary"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"hoptiller"
	"hoptiller/internal/fleet/permit"
	"hoptiller/internal/fleet/view"
	"hoptiller/internal/relay"
	"hoptiller/internal/testprog"
)

// news is the shortest datagram of a view, by its description in package view: a serving router says that it is there.
func news(from, to, of int) []byte {
	const version, kind, serving = 1, 4, 1 << 2
	b := []byte{version, kind}
	for _, x := range []int{from, to, of, 0, 0, 0} { // the last three: seq and about
		b = binary.BigEndian.AppendUint16(b, uint16(x))
	}
	start := binary.BigEndian.AppendUint64(nil, uint64(1e12+from))[2:] // ms, 6 bytes
	b = append(append(b, start...), 0, 0, serving)
	b = append(b, 0, 0, 0, 0) // sum
	return binary.BigEndian.AppendUint32(b, uint32(xxhash.Sum64(b)))
}

// manyRouters are sockets of routers that speak to one other.
type manyRouters struct {
	conns []*net.UDPConn // by number; none for the first
	to    netip.AddrPort
}

// speak has all routers that a test names send one datagram.
func (m *manyRouters) speak(t *testing.T, wanted func(router int) bool) {
	for from, conn := range m.conns {
		if conn == nil || !wanted(from) {
			continue
		}
		if _, err := conn.WriteToUDPAddrPort(news(from, 0, len(m.conns)), m.to); err != nil {
			t.Fatal(err)
		}
	}
}

// heap is how much memory is in use.
func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// The datagrams of 1,024 routers come into one view over a socket, and all are members in the end. However often they come, the
// router holds no more memory.
func TestManyRouters(t *testing.T) {
	const routers, rounds = 1024, 20
	const mostView, mostGrowth = 4 << 20, 1 << 20                              // bytes
	own, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}) // until all others are bound, or one may get its port
	if err != nil {
		t.Fatal(err)
	}
	addrs := []string{own.LocalAddr().String()}
	m := &manyRouters{conns: make([]*net.UDPConn, 1), to: netip.MustParseAddrPort(addrs[0])}
	for range routers - 1 {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		m.conns = append(m.conns, conn)
		addrs = append(addrs, conn.LocalAddr().String())
	}
	own.Close()
	before := heap()
	p, _ := run(t, 0, addrs)
	unknown := map[int]bool{}
	look := func() {
		clear(unknown)
		for _, x := range p.Report().Members {
			unknown[x.Number] = x.State == "unknown"
		}
	}
	testprog.Until(t, "all routers are known", func() bool {
		look()
		m.speak(t, func(router int) bool { return unknown[router] }) // a full socket loses datagrams
		return p.Summary().Unknown == 0
	})
	known := heap()
	if known > before+mostView {
		t.Errorf("%d bytes more than before", known-before)
	}
	for range rounds {
		received := p.Summary().Received
		m.speak(t, func(int) bool { return true })
		testprog.Until(t, "datagrams are read", func() bool { return p.Summary().Received > received })
	}
	s := p.Summary()
	if after := heap(); after > known+mostGrowth {
		t.Errorf("%d bytes more after %d datagrams", after-known, s.Received)
	}
	t.Logf("%d bytes for the view, %+d after %d datagrams", int(known-before), int(heap()-known), s.Received)
	if s.Bad+s.Strange > 0 || s.Unknown > 0 || s.Alive+s.Suspect+s.Dead != routers {
		t.Errorf("%+v", s)
	}
	if s.SentBytes > view.MostBytes*s.Sent {
		t.Errorf("%d datagrams have %d bytes", s.Sent, s.SentBytes)
	}
}

// What this router sees of slot caches waits for the view's turn, the last of each, and no more than the view keeps.
func TestManySaw(t *testing.T) {
	p := alone(t)
	for range 3 {
		for i := range uint32(view.MostSights + 10) {
			p.Saw(i, view.SeenDown)
		}
	}
	p.Saw(5, view.SeenBack)
	if len(p.saw) != view.MostSights || p.saw[5] != view.SeenBack || p.saw[6] != view.SeenDown {
		t.Errorf("%d wait, of 5 %v", len(p.saw), p.saw[5])
	}
}

// Operators may have 1,024 slot caches drained at once, which the report names; all serve again when they say so.
func TestManyDrains(t *testing.T) {
	const caches = 1024
	was := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	t.Cleanup(func() { slog.SetDefault(was) })
	p := alone(t)
	p.set.Agent.Caches = permit.Bound{Number: caches}
	var list []relay.Server
	for i := range uint32(caches) {
		list = append(list, relay.Server{Server: hoptiller.Server{ID: i + 1, Phase: hoptiller.Ready}, Name: fmt.Sprintf("s-%08x", i+1)})
	}
	p.set.Aside.Told(hoptiller.ListFull, list)
	for i := range list {
		if err := p.DrainCache(list[i].Name, time.Hour, 0); err != nil {
			t.Fatal(err)
		}
	}
	p.step()
	p.step()
	out := 0
	for _, d := range p.Report().Drains {
		if d.State == "out" {
			out++
		}
	}
	if out != caches || !p.set.Aside.Whole(1) || !p.set.Aside.Whole(caches) {
		t.Errorf("%d are out", out)
	}
	for i := range list {
		if err := p.ActivateCache(list[i].Name); err != nil {
			t.Fatal(err)
		}
	}
	if p.step(); len(p.Report().Drains) > 0 || p.set.Aside.Whole(1) {
		t.Errorf("%d are drained still", len(p.Report().Drains))
	}
}
