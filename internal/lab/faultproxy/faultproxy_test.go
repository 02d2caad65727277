package faultproxy

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"hoptiller/internal/testprog"
)

// routers opens the sockets of a mesh's routers, and a channel for each with the datagrams that it receives.
func routers(t *testing.T, m *Mesh, n int) (socks []*net.UDPConn, heard []chan string) {
	for i := range n {
		addr, err := net.ResolveUDPAddr("udp4", m.RouterAddr(i))
		if err != nil {
			t.Fatal(err)
		}
		c, err := net.ListenUDP("udp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		lines := make(chan string, 1000)
		go func() {
			b := make([]byte, maxDatagram)
			for {
				n, from, err := c.ReadFrom(b)
				if err != nil {
					return
				}
				lines <- fmt.Sprintf("%s %s", from, b[:n])
			}
		}()
		socks, heard = append(socks, c), append(heard, lines)
	}
	return socks, heard
}

func send(t *testing.T, c *net.UDPConn, to, text string) {
	t.Helper()
	addr, err := net.ResolveUDPAddr("udp4", to)
	if err == nil {
		_, err = c.WriteTo([]byte(text), addr)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// untilProcessed waits until the fate of n datagrams from the first router has been decided, by the faults set then.
func untilProcessed(t *testing.T, m *Mesh, to, n int) {
	t.Helper()
	testprog.Eventually(t, "the datagram is taken", func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.pairs[0][to].processed == n
	})
}

func mesh(t *testing.T, n int) *Mesh {
	m, err := NewMesh(n, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	return m
}

// A datagram reaches its receiver from the address that the receiver has for the sender. A pair that is blocked in one
// direction passes the other, and both once it is healed.
func TestMesh(t *testing.T) {
	m := mesh(t, 3)
	socks, heard := routers(t, m, 3)
	send(t, socks[0], m.PeerAddrs(0)[2], "hello")
	if got, want := testprog.Await(t, heard[2], "datagram"), m.PeerAddrs(2)[0]+" hello"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	m.SetFaults(0, 2, DatagramFaults{Blocked: true})
	send(t, socks[0], m.PeerAddrs(0)[2], "lost")
	send(t, socks[2], m.PeerAddrs(2)[0], "back")
	if got, want := testprog.Await(t, heard[0], "datagram against a cut"), m.PeerAddrs(0)[2]+" back"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	untilProcessed(t, m, 2, 2)
	m.SetFaults(0, 2, DatagramFaults{Delay: 300 * time.Millisecond})
	begun := time.Now()
	send(t, socks[0], m.PeerAddrs(0)[2], "late")
	if got := testprog.Await(t, heard[2], "late datagram"); !strings.HasSuffix(got, " late") || time.Since(begun) < 300*time.Millisecond {
		t.Errorf("got %q after %v", got, time.Since(begun))
	}
	if n, bytes := m.Forwarded(0, 2); n != 2 || bytes != 9 {
		t.Errorf("%d datagrams of %d bytes are counted", n, bytes)
	}
	if slices.Contains(m.PeerAddrs(1), m.PeerAddrs(2)[1]) || m.PeerAddrs(1)[1] != m.RouterAddr(1) {
		t.Errorf("addresses %v", m.PeerAddrs(1))
	}
}

// Datagrams are lost, duplicated, corrupted and reordered with the stated probabilities, alike with the same seed.
func TestMeshFaultProbabilities(t *testing.T) {
	play := func(f DatagramFaults, n int) (all []string) {
		m := mesh(t, 2)
		socks, heard := routers(t, m, 2)
		m.SetFaults(0, 1, f)
		for i := range n {
			send(t, socks[0], m.PeerAddrs(0)[1], fmt.Sprintf("%04d", i))
			untilProcessed(t, m, 1, i+1)
		}
		m.SetFaults(0, 1, DatagramFaults{})
		send(t, socks[0], m.PeerAddrs(0)[1], "end")
		for {
			got := testprog.Await(t, heard[1], "datagram")
			text := got[strings.Index(got, " ")+1:]
			if text == "end" {
				m.Close()
				socks[0].Close()
				socks[1].Close()
				return all
			}
			all = append(all, text)
		}
	}
	const n = 400
	if got := play(DatagramFaults{Loss: 0.3}, n); len(got) < 240 || len(got) > 320 || !slices.Equal(got, play(DatagramFaults{Loss: 0.3}, n)) {
		t.Errorf("%d of %d pass with 0.3 lost, or not the same ones twice", len(got), n)
	}
	if got := play(DatagramFaults{Duplicate: 0.5}, n); len(got) < 540 || len(got) > 660 {
		t.Errorf("%d of %d pass with half of them doubled", len(got), n)
	}
	corrupted := 0
	for i, text := range play(DatagramFaults{Corrupt: 0.5}, n) {
		if text != fmt.Sprintf("%04d", i) {
			corrupted++
		}
	}
	if corrupted < 140 || corrupted > 260 {
		t.Errorf("%d of %d are corrupted, asked for half", corrupted, n)
	}
	if got := play(DatagramFaults{Reorder: 0.5}, 20); slices.IsSorted(got) {
		t.Errorf("all come in order: %v", got)
	}
}

// echo starts a server that answers everything it receives in capitals, and returns its address.
func echo(t *testing.T) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				b := make([]byte, 100)
				for {
					n, err := c.Read(b)
					if err != nil {
						return
					}
					io.WriteString(c, strings.ToUpper(string(b[:n])))
				}
			}()
		}
	}()
	return l.Addr().String()
}

// A proxy forwards all, stalls without a sign and goes on, resets in the middle of a stream, resets all, and recovers.
func TestStreamProxy(t *testing.T) {
	w, err := NewStreamProxy("127.0.9.1", echo(t))
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	connect := func() net.Conn {
		c, err := net.Dial("tcp", w.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(testprog.WaitTimeout))
		return c
	}
	ask := func(c net.Conn, text string) (string, error) {
		io.WriteString(c, text)
		b := make([]byte, len(text))
		n, err := io.ReadFull(c, b)
		return string(b[:n]), err
	}
	c := connect()
	if got, err := ask(c, "hello"); got != "HELLO" {
		t.Fatalf("%q, %v", got, err)
	}
	w.SetFaults(StreamFaults{Stall: true})
	other := connect() // the connection opens, but nothing passes
	io.WriteString(other, "x")
	io.WriteString(c, "again")
	other.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := other.Read(make([]byte, 1)); err == nil {
		t.Error("a stalled proxy forwards something")
	}
	w.SetFaults(StreamFaults{})
	if got, err := ask(c, ""); got != "" || err != nil {
		t.Error(got, err)
	}
	b := make([]byte, 5)
	if _, err := io.ReadFull(c, b); err != nil || string(b) != "AGAIN" {
		t.Errorf("after the stall: %q, %v", b, err)
	}
	w.SetFaults(StreamFaults{ResetAfter: 7})
	if got, err := ask(c, "hello"); got != "HE" || err == nil {
		t.Errorf("cut after 7 bytes of 10: %q, %v", got, err)
	}
	w.SetFaults(StreamFaults{Reset: true})
	if c, err := net.Dial("tcp", w.Addr()); err == nil { // the connection may be reset before or just after it opens
		c.SetDeadline(time.Now().Add(testprog.WaitTimeout))
		if got, err := ask(c, "x"); err == nil {
			t.Errorf("refused: %q", got)
		}
		c.Close()
	}
	w.SetFaults(StreamFaults{BytesPerSecond: 20})
	begun := time.Now()
	if got, err := ask(connect(), "slow"); got != "SLOW" || time.Since(begun) < 400*time.Millisecond {
		t.Errorf("8 bytes at 20 a second: %q, %v, %v", got, err, time.Since(begun))
	}
}

// A proxy neither listens on nor forwards to an address outside this machine.
func TestLoopbackOnly(t *testing.T) {
	if _, err := NewStreamProxy("0.0.0.0", "127.0.0.1:80"); err == nil {
		t.Error("a proxy listens elsewhere")
	}
	if _, err := NewStreamProxy("127.0.0.1", "10.0.0.1:80"); err == nil {
		t.Error("a proxy forwards elsewhere")
	}
}
