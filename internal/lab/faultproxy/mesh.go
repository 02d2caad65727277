// Package faultproxy puts proxies between processes and injects network faults in them: a proxy of
// datagrams for each ordered pair of routers (Mesh), and a TCP proxy for each address that a router
// connects to (StreamProxy). The proxies bind to loopback addresses alone. The caller decides which
// faults occur, where and when.
package faultproxy

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"hoptiller/internal/lab/loopback"
)

// DatagramFaults are the faults of the datagrams from one router to another. Loss, Duplicate,
// Corrupt and Reorder are probabilities for each datagram. The zero value is a network without
// faults.
type DatagramFaults struct {
	Loss      float64
	Duplicate float64
	Corrupt   float64       // one byte is changed
	Reorder   float64       // the datagram waits until the next one has been sent, or for reorderTimeout
	Delay     time.Duration // of each datagram
	Jitter    time.Duration // random delay of up to this, in addition
	Blocked   bool          // all are lost
}

const (
	reorderTimeout = 200 * time.Millisecond
	maxDatagram    = 2048 // bytes; the platform's routers send at most 256
)

// Mesh relays datagrams between routers. Each router has its own address for each peer, and receives
// the datagrams of a peer from this address, as on the platform.
type Mesh struct {
	routers []netip.AddrPort // where routers listen
	sockets [][]*net.UDPConn // by sender and receiver; nil on the diagonal
	relays  sync.WaitGroup

	mu     sync.Mutex
	closed bool
	pairs  [][]pairState // by sender and receiver
}

// pairState is the state of one ordered pair of routers.
type pairState struct {
	faults    DatagramFaults
	rng       *rand.Rand
	held      []byte // a datagram that is held back until the next one is sent, or nil
	processed int    // datagrams whose fate has been decided
	forwarded int    // datagrams that were sent on
	bytes     int
}

// NewMesh opens the proxies for a number of routers. Each ordered pair has a random generator of its
// own, which derives from the seed.
func NewMesh(routers int, seed uint64) (*Mesh, error) {
	m := &Mesh{
		routers: make([]netip.AddrPort, routers),
		sockets: square[*net.UDPConn](routers),
		pairs:   square[pairState](routers),
	}
	for i := range routers {
		if err := m.openRouter(i, seed); err != nil {
			m.Close()
			return nil, err
		}
	}
	for i := range routers {
		for j := range routers {
			if i != j {
				m.relays.Go(func() { m.relay(i, j) })
			}
		}
	}
	return m, nil
}

// openRouter finds a free address for a router and opens its sockets for all others.
func (m *Mesh) openRouter(i int, seed uint64) error {
	free, err := listen(loopback.Peers, i)
	if err != nil {
		return err
	}
	m.routers[i] = free.LocalAddr().(*net.UDPAddr).AddrPort()
	free.Close() // the router listens there
	for j := range m.routers {
		if i == j {
			continue
		}
		m.pairs[i][j].rng = rand.New(rand.NewPCG(seed, uint64(i)<<32|uint64(j)))
		if m.sockets[i][j], err = listen(loopback.StandIns, i); err != nil {
			return err
		}
	}
	return nil
}

func listen(use loopback.Use, router int) (*net.UDPConn, error) {
	host, err := loopback.Host(use, router)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(host)})
}

func square[T any](n int) [][]T {
	rows := make([][]T, n)
	for i := range rows {
		rows[i] = make([]T, n)
	}
	return rows
}

// RouterAddr returns the address at which a router is to listen for its peers.
func (m *Mesh) RouterAddr(router int) string { return m.routers[router].String() }

// PeerAddrs returns the addresses that a router uses for all routers, by number and including its own.
func (m *Mesh) PeerAddrs(router int) (addrs []string) {
	for j, socket := range m.sockets[router] {
		if j == router {
			addrs = append(addrs, m.RouterAddr(router))
			continue
		}
		addrs = append(addrs, socket.LocalAddr().String())
	}
	return addrs
}

// SetFaults sets the faults of the datagrams from one router to another, from now on.
func (m *Mesh) SetFaults(from, to int, faults DatagramFaults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pairs[from][to].faults = faults
}

// Forwarded returns the number of datagrams that were sent on from one router to another, and their
// bytes.
func (m *Mesh) Forwarded(from, to int) (datagrams, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pairs[from][to].forwarded, m.pairs[from][to].bytes
}

// relay reads what router i sends to its address for router j.
func (m *Mesh) relay(i, j int) {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := m.sockets[i][j].ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // an earlier write was refused because the router isn't running
			continue
		}
		m.process(i, j, append([]byte(nil), buffer[:n]...))
	}
}

// process applies the faults of the pair to one datagram. It may change the datagram.
func (m *Mesh) process(i, j int, datagram []byte) {
	m.mu.Lock()
	pair := &m.pairs[i][j]
	pair.processed++
	faults := pair.faults
	if m.closed || faults.Blocked || pair.chance(faults.Loss) {
		m.mu.Unlock()
		return
	}
	copies := 1
	if pair.chance(faults.Duplicate) {
		copies = 2
	}
	if pair.chance(faults.Corrupt) && len(datagram) > 0 {
		datagram[pair.rng.IntN(len(datagram))] ^= byte(1 + pair.rng.IntN(255))
	}
	delay := faults.Delay
	if faults.Jitter > 0 {
		delay += time.Duration(pair.rng.Int64N(int64(faults.Jitter)))
	}
	held := pair.held
	pair.held = nil
	if held == nil && pair.chance(faults.Reorder) {
		pair.held = datagram
		time.AfterFunc(delay+reorderTimeout, func() { m.releaseHeld(i, j, datagram) })
		m.mu.Unlock()
		return
	}
	m.mu.Unlock()
	for range copies {
		m.forwardAfter(delay, i, j, datagram)
	}
	if held != nil {
		m.forwardAfter(delay, i, j, held)
	}
}

// chance draws whether an event with this probability happens. An impossible event draws no random number.
func (p *pairState) chance(probability float64) bool {
	return probability > 0 && p.rng.Float64() < probability
}

// releaseHeld forwards a held datagram if no other one was sent in the meantime.
func (m *Mesh) releaseHeld(i, j int, datagram []byte) {
	m.mu.Lock()
	held := m.pairs[i][j].held
	isHeld := len(held) > 0 && &held[0] == &datagram[0]
	if isHeld {
		m.pairs[i][j].held = nil
	}
	m.mu.Unlock()
	if isHeld {
		m.forward(i, j, datagram)
	}
}

func (m *Mesh) forwardAfter(delay time.Duration, i, j int, datagram []byte) {
	if delay <= 0 {
		m.forward(i, j, datagram)
		return
	}
	time.AfterFunc(delay, func() { m.forward(i, j, datagram) })
}

// forward sends a datagram to router j from the address that router j uses for router i.
func (m *Mesh) forward(i, j int, datagram []byte) {
	m.mu.Lock()
	pair := &m.pairs[i][j]
	if m.closed || pair.faults.Blocked { // the pair was blocked during the delay
		m.mu.Unlock()
		return
	}
	pair.forwarded++
	pair.bytes += len(datagram)
	m.mu.Unlock()
	m.sockets[j][i].WriteToUDPAddrPort(datagram, m.routers[j])
}

// Close ends all proxies.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	for _, row := range m.sockets {
		for _, socket := range row {
			if socket != nil {
				socket.Close()
			}
		}
	}
	m.relays.Wait()
}
