// Package ways puts relays of our own between processes, and faults on them: a datagram relay for each ordered pair of
// routers, and a relay for each TCP way that a router goes. It binds to loopback addresses alone and decides nothing:
// what goes wrong, where and when is its caller's.
package ways

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"hoptiller/internal/lab/loopback"
)

// Datagrams is what goes wrong on the way of datagrams from one router to another. Parts are of 1; zero is a good way.
type Datagrams struct {
	Drop   float64       // part that is lost
	Double float64       // part that comes twice
	Spoil  float64       // part of which one byte is another
	Late   float64       // part that waits for the one behind it, or for Hold
	Delay  time.Duration // of each
	Jitter time.Duration // up to so much more, drawn for each
	Cut    bool          // all are lost
}

// hold is how long a datagram that is to come out of order waits for the next one.
const hold = 200 * time.Millisecond

// most is the longest datagram that is passed on; the platform's routers send 256 bytes at most.
const most = 2048

// Mesh relays datagrams between routers. Each has an address of its own for each other one, and hears from
// another one from the address that it has for that one, as on the platform.
type Mesh struct {
	homes []netip.AddrPort // where routers listen
	pairs [][]*net.UDPConn // by sender and receiver; nil on the diagonal
	done  sync.WaitGroup

	mu     sync.Mutex
	closed bool
	faults [][]Datagrams
	rands  [][]*rand.Rand
	late   [][][]byte // of each pair, one that waits for the next
	passed [][]int    // of each pair, datagrams handed over, and bytes
	bytes  [][]int
	taken  [][]int // of each pair, datagrams whose fate is decided
}

// NewMesh opens the relays for a number of routers. Chance is drawn from the seed, for each pair by itself.
func NewMesh(n int, seed uint64) (*Mesh, error) {
	m := &Mesh{homes: make([]netip.AddrPort, n), pairs: square[*net.UDPConn](n), faults: square[Datagrams](n),
		rands: square[*rand.Rand](n), late: square[[]byte](n), passed: square[int](n), bytes: square[int](n), taken: square[int](n)}
	for i := range n {
		home, err := open(loopback.Peers, i) // found free, and left to the router
		if err != nil {
			m.Close()
			return nil, err
		}
		m.homes[i] = home.LocalAddr().(*net.UDPAddr).AddrPort()
		home.Close()
		for j := range n {
			if i == j {
				continue
			}
			m.rands[i][j] = rand.New(rand.NewPCG(seed, uint64(i)<<32|uint64(j)))
			if m.pairs[i][j], err = open(loopback.Parties, i); err != nil {
				m.Close()
				return nil, err
			}
		}
	}
	for i := range n {
		for j := range n {
			if i != j {
				m.done.Go(func() { m.relay(i, j) })
			}
		}
	}
	return m, nil
}

func open(use loopback.Use, router int) (*net.UDPConn, error) {
	host, err := loopback.Host(use, router)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(host)})
}

func square[T any](n int) [][]T {
	s := make([][]T, n)
	for i := range s {
		s[i] = make([]T, n)
	}
	return s
}

// Home is where a router is to listen for its peers.
func (m *Mesh) Home(router int) string { return m.homes[router].String() }

// Peers are the addresses that a router has for all routers, its own included, by number.
func (m *Mesh) Peers(router int) (addrs []string) {
	for j, c := range m.pairs[router] {
		if j == router {
			addrs = append(addrs, m.Home(router))
			continue
		}
		addrs = append(addrs, c.LocalAddr().String())
	}
	return addrs
}

// Set says what goes wrong on the way from one router to another, from now on.
func (m *Mesh) Set(from, to int, f Datagrams) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults[from][to] = f
}

// Passed tells how many datagrams were handed over from one router to another, and their bytes.
func (m *Mesh) Passed(from, to int) (datagrams, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.passed[from][to], m.bytes[from][to]
}

// relay takes what a router sends to its address for another one.
func (m *Mesh) relay(i, j int) {
	b := make([]byte, most)
	for {
		n, _, err := m.pairs[i][j].ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // what a dead router refuses comes back as an error of the next read
			continue
		}
		m.take(i, j, append([]byte(nil), b[:n]...))
	}
}

// take decides what becomes of one datagram.
func (m *Mesh) take(i, j int, b []byte) {
	m.mu.Lock()
	f, r := m.faults[i][j], m.rands[i][j]
	m.taken[i][j]++
	yes := func(part float64) bool { return part > 0 && r.Float64() < part }
	if m.closed || f.Cut || yes(f.Drop) {
		m.mu.Unlock()
		return
	}
	copies := 1
	if yes(f.Double) {
		copies = 2
	}
	if yes(f.Spoil) && len(b) > 0 {
		b[r.IntN(len(b))] ^= byte(1 + r.IntN(255))
	}
	wait := f.Delay
	if f.Jitter > 0 {
		wait += time.Duration(r.Int64N(int64(f.Jitter)))
	}
	before := m.late[i][j]
	m.late[i][j] = nil
	if before == nil && yes(f.Late) {
		m.late[i][j] = b
		time.AfterFunc(wait+hold, func() { m.release(i, j, b) })
		m.mu.Unlock()
		return
	}
	m.mu.Unlock()
	for range copies {
		m.after(i, j, wait, b)
	}
	if before != nil {
		m.after(i, j, wait, before)
	}
}

// release hands over one that has waited for another in vain.
func (m *Mesh) release(i, j int, b []byte) {
	m.mu.Lock()
	waits := len(m.late[i][j]) > 0 && &m.late[i][j][0] == &b[0]
	if waits {
		m.late[i][j] = nil
	}
	m.mu.Unlock()
	if waits {
		m.give(i, j, b)
	}
}

func (m *Mesh) after(i, j int, wait time.Duration, b []byte) {
	if wait <= 0 {
		m.give(i, j, b)
		return
	}
	time.AfterFunc(wait, func() { m.give(i, j, b) })
}

// give hands a datagram over, from the address that the receiver has for the sender.
func (m *Mesh) give(i, j int, b []byte) {
	m.mu.Lock()
	if m.closed || m.faults[i][j].Cut { // cut while it was on its way
		m.mu.Unlock()
		return
	}
	m.passed[i][j]++
	m.bytes[i][j] += len(b)
	m.mu.Unlock()
	m.pairs[j][i].WriteToUDPAddrPort(b, m.homes[j])
}

// Close ends all relays.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	for _, row := range m.pairs {
		for _, c := range row {
			if c != nil {
				c.Close()
			}
		}
	}
	m.done.Wait()
}
