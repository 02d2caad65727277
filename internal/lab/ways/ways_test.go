package ways

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

// routers are what listens at the homes of a mesh.
func routers(t *testing.T, m *Mesh, n int) (socks []*net.UDPConn, heard []chan string) {
	for i := range n {
		addr, err := net.ResolveUDPAddr("udp4", m.Home(i))
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
			b := make([]byte, most)
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

// untilTaken waits until the fate of so many datagrams from the first router is decided: by what is set then.
func untilTaken(t *testing.T, m *Mesh, to, n int) {
	t.Helper()
	testprog.Until(t, "the datagram is taken", func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.taken[0][to] == n
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

// A datagram reaches the one for whom it is, from the address that this one has for the sender. A way that is cut in one
// direction passes the other, and when it is healed passes both.
func TestMesh(t *testing.T) {
	m := mesh(t, 3)
	socks, heard := routers(t, m, 3)
	send(t, socks[0], m.Peers(0)[2], "hello")
	if got, want := testprog.Await(t, heard[2], "datagram"), m.Peers(2)[0]+" hello"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	m.Set(0, 2, Datagrams{Cut: true})
	send(t, socks[0], m.Peers(0)[2], "lost")
	send(t, socks[2], m.Peers(2)[0], "back")
	if got, want := testprog.Await(t, heard[0], "datagram against a cut"), m.Peers(0)[2]+" back"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	untilTaken(t, m, 2, 2)
	m.Set(0, 2, Datagrams{Delay: 300 * time.Millisecond})
	begun := time.Now()
	send(t, socks[0], m.Peers(0)[2], "late")
	if got := testprog.Await(t, heard[2], "late datagram"); !strings.HasSuffix(got, " late") || time.Since(begun) < 300*time.Millisecond {
		t.Errorf("got %q after %v", got, time.Since(begun))
	}
	if n, bytes := m.Passed(0, 2); n != 2 || bytes != 9 {
		t.Errorf("%d datagrams of %d bytes are counted", n, bytes)
	}
	if slices.Contains(m.Peers(1), m.Peers(2)[1]) || m.Peers(1)[1] != m.Home(1) {
		t.Errorf("addresses %v", m.Peers(1))
	}
}

// Datagrams are lost, doubled, spoilt and put out of order in the parts that are asked for, the same with the same seed.
func TestMeshParts(t *testing.T) {
	play := func(f Datagrams, n int) (all []string) {
		m := mesh(t, 2)
		socks, heard := routers(t, m, 2)
		m.Set(0, 1, f)
		for i := range n {
			send(t, socks[0], m.Peers(0)[1], fmt.Sprintf("%04d", i))
			untilTaken(t, m, 1, i+1)
		}
		m.Set(0, 1, Datagrams{})
		send(t, socks[0], m.Peers(0)[1], "end")
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
	if got := play(Datagrams{Drop: 0.3}, n); len(got) < 240 || len(got) > 320 || !slices.Equal(got, play(Datagrams{Drop: 0.3}, n)) {
		t.Errorf("%d of %d pass with 0.3 lost, or not the same ones twice", len(got), n)
	}
	if got := play(Datagrams{Double: 0.5}, n); len(got) < 540 || len(got) > 660 {
		t.Errorf("%d of %d pass with half of them doubled", len(got), n)
	}
	spoilt := 0
	for i, text := range play(Datagrams{Spoil: 0.5}, n) {
		if text != fmt.Sprintf("%04d", i) {
			spoilt++
		}
	}
	if spoilt < 140 || spoilt > 260 {
		t.Errorf("%d of %d are spoilt, asked for half", spoilt, n)
	}
	if got := play(Datagrams{Late: 0.5}, 20); slices.IsSorted(got) {
		t.Errorf("all come in order: %v", got)
	}
}

// echo answers what comes, in capitals.
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

// A way passes all, stalls without a word and goes on, cuts in the middle, refuses, and is well again.
func TestWay(t *testing.T) {
	w, err := NewWay("127.0.9.1", echo(t))
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
		c.SetDeadline(time.Now().Add(testprog.Patience))
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
	w.Set(Streams{Stall: true})
	other := connect() // comes up, and nothing more
	io.WriteString(other, "x")
	io.WriteString(c, "again")
	other.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := other.Read(make([]byte, 1)); err == nil {
		t.Error("a stalled way passes something")
	}
	w.Set(Streams{})
	if got, err := ask(c, ""); got != "" || err != nil {
		t.Error(got, err)
	}
	b := make([]byte, 5)
	if _, err := io.ReadFull(c, b); err != nil || string(b) != "AGAIN" {
		t.Errorf("after the stall: %q, %v", b, err)
	}
	w.Set(Streams{Cut: 7})
	if got, err := ask(c, "hello"); got != "HE" || err == nil {
		t.Errorf("cut after 7 bytes of 10: %q, %v", got, err)
	}
	w.Set(Streams{Refuse: true})
	if c, err := net.Dial("tcp", w.Addr()); err == nil { // it may be reset before it is up, or just after
		c.SetDeadline(time.Now().Add(testprog.Patience))
		if got, err := ask(c, "x"); err == nil {
			t.Errorf("refused: %q", got)
		}
		c.Close()
	}
	w.Set(Streams{Rate: 20})
	begun := time.Now()
	if got, err := ask(connect(), "slow"); got != "SLOW" || time.Since(begun) < 400*time.Millisecond {
		t.Errorf("8 bytes at 20 a second: %q, %v, %v", got, err, time.Since(begun))
	}
}

// Nothing is bound to or sent anywhere but to this machine.
func TestLoopbackAlone(t *testing.T) {
	if _, err := NewWay("0.0.0.0", "127.0.0.1:80"); err == nil {
		t.Error("a way from elsewhere")
	}
	if _, err := NewWay("127.0.0.1", "10.0.0.1:80"); err == nil {
		t.Error("a way elsewhere")
	}
}
