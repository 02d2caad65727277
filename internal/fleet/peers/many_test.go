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

// newDatagram returns the shortest datagram of package view, built from the description of its layout there. The sender
// claims that it is alive and serving.
func newDatagram(from, to, routerCount int) []byte {
	const version, kind, serving = 1, 4, 1 << 2
	b := []byte{version, kind}
	for _, x := range []int{from, to, routerCount, 0, 0, 0} { // the last three are seq, which has four bytes, and subject
		b = binary.BigEndian.AppendUint16(b, uint16(x))
	}
	start := binary.BigEndian.AppendUint64(nil, uint64(1e12+from))[2:] // ms, 6 bytes
	b = append(append(b, start...), 0, 0, serving)
	b = append(b, 0, 0, 0, 0) // checksum of the view
	return binary.BigEndian.AppendUint32(b, uint32(xxhash.Sum64(b)))
}

// simulatedRouters are the sockets of routers that send datagrams to one other router.
type simulatedRouters struct {
	conns []*net.UDPConn // by number; nil for router 0, the receiver
	to    netip.AddrPort
}

// send sends one datagram from each selected router.
func (m *simulatedRouters) send(t *testing.T, selected func(router int) bool) {
	for from, conn := range m.conns {
		if conn == nil || !selected(from) {
			continue
		}
		if _, err := conn.WriteToUDPAddrPort(newDatagram(from, 0, len(m.conns)), m.to); err != nil {
			t.Fatal(err)
		}
	}
}

// heapBytes returns the size of the heap objects in use after a garbage collection.
func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Datagrams of 1,024 routers reach one view over a socket, and all of these routers become members. Further datagrams of
// the same routers don't increase the memory in use.
func TestManyRouters(t *testing.T) {
	const routers, rounds = 1024, 20
	const maxViewBytes, maxGrowth = 4 << 20, 1 << 20                                // bytes
	reserved, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}) // keeps the port until all others are bound
	if err != nil {
		t.Fatal(err)
	}
	addrs := []string{reserved.LocalAddr().String()}
	senders := &simulatedRouters{conns: make([]*net.UDPConn, 1), to: netip.MustParseAddrPort(addrs[0])}
	for range routers - 1 {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		senders.conns = append(senders.conns, conn)
		addrs = append(addrs, conn.LocalAddr().String())
	}
	reserved.Close()
	heapBefore := heapBytes()
	p, _ := run(t, 0, addrs)
	unknown := map[int]bool{}
	updateUnknown := func() {
		clear(unknown)
		for _, member := range p.Report().Members {
			unknown[member.Number] = member.State == "unknown"
		}
	}
	testprog.Eventually(t, "all routers are known", func() bool {
		updateUnknown()
		senders.send(t, func(router int) bool { return unknown[router] }) // again, because a full socket buffer loses datagrams
		return p.Summary().Unknown == 0
	})
	heapWhenKnown := heapBytes()
	if heapWhenKnown > heapBefore+maxViewBytes {
		t.Errorf("the view takes %d bytes, want at most %d", heapWhenKnown-heapBefore, maxViewBytes)
	}
	for range rounds {
		received := p.Summary().Received
		senders.send(t, func(int) bool { return true })
		testprog.Eventually(t, "datagrams are received", func() bool { return p.Summary().Received > received })
	}
	s := p.Summary()
	if heapAfter := heapBytes(); heapAfter > heapWhenKnown+maxGrowth {
		t.Errorf("%d bytes more in use after %d datagrams", heapAfter-heapWhenKnown, s.Received)
	}
	t.Logf("%d bytes for the view, %+d after %d datagrams",
		int(heapWhenKnown-heapBefore), int(heapBytes()-heapWhenKnown), s.Received)
	if s.Undecodable+s.Misaddressed > 0 || s.Unknown > 0 || s.Alive+s.Suspect+s.Dead != routers {
		t.Errorf("%+v", s)
	}
	if s.SentBytes > view.MaxDatagramBytes*s.Sent {
		t.Errorf("%d datagrams have %d bytes in all", s.Sent, s.SentBytes)
	}
}

// Observations wait for the next tick: the latest one of each slot cache, and no more of them than a view keeps.
func TestManyPendingObservations(t *testing.T) {
	p := newOnlyVoter(t)
	for range 3 {
		for i := range uint32(view.MaxObservations + 10) {
			p.Observe(i, view.ObservedDown)
		}
	}
	p.Observe(5, view.ObservedUp)
	if len(p.pendingObservations) != view.MaxObservations ||
		p.pendingObservations[5] != view.ObservedUp || p.pendingObservations[6] != view.ObservedDown {
		t.Errorf("%d observations are pending, that of slot cache 5 is %v", len(p.pendingObservations), p.pendingObservations[5])
	}
}

// Operators can drain 1,024 slot caches at once. The report lists all of them, and all can be activated again.
func TestManyDrains(t *testing.T) {
	const caches = 1024
	logger := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	t.Cleanup(func() { slog.SetDefault(logger) })
	p := newOnlyVoter(t)
	p.settings.Agent.MaxCaches = permit.Bound{Number: caches}
	var list []relay.Server
	for i := range uint32(caches) {
		list = append(list, relay.Server{Server: hoptiller.Server{ID: i + 1, Phase: hoptiller.Ready}, Name: fmt.Sprintf("s-%08x", i+1)})
	}
	p.settings.Drains.UpdateServers(hoptiller.ListFull, list)
	for i := range list {
		if err := p.DrainCache(list[i].Name, time.Hour, 0); err != nil {
			t.Fatal(err)
		}
	}
	p.tickOnce()
	p.tickOnce()
	drained := 0
	for _, d := range p.Report().Drains {
		if d.State == "out" {
			drained++
		}
	}
	if drained != caches || !p.settings.Drains.IsDrained(1) || !p.settings.Drains.IsDrained(caches) {
		t.Errorf("%d slot caches are drained, want %d", drained, caches)
	}
	for i := range list {
		if err := p.ActivateCache(list[i].Name); err != nil {
			t.Fatal(err)
		}
	}
	if p.tickOnce(); len(p.Report().Drains) > 0 || p.settings.Drains.IsDrained(1) {
		t.Errorf("%d slot caches are still drained", len(p.Report().Drains))
	}
}
