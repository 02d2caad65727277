package scale

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"

	"hoptiller/internal/fleet/peers"
	"hoptiller/internal/fleet/view"
)

// Traffic counts the datagrams that one router has sent and received. Bytes are without the headers of UDP and IP.
type Traffic struct {
	SentDatagrams, SentBytes         uint64
	ReceivedDatagrams, ReceivedBytes uint64
}

// since returns what was added after an earlier count.
func (t Traffic) since(before Traffic) Traffic {
	return Traffic{
		SentDatagrams: t.SentDatagrams - before.SentDatagrams, SentBytes: t.SentBytes - before.SentBytes,
		ReceivedDatagrams: t.ReceivedDatagrams - before.ReceivedDatagrams, ReceivedBytes: t.ReceivedBytes - before.ReceivedBytes,
	}
}

// counter counts datagrams and their bytes.
type counter struct{ datagrams, bytes atomic.Uint64 }

func (c *counter) add(bytes int) {
	c.datagrams.Add(1)
	c.bytes.Add(uint64(bytes))
}

// network carries the datagrams of hollow routers. It counts them and drops those between regions that are cut off from one
// another. Datagrams between two processes go through package faultproxy instead.
type network struct {
	regions      int
	routerByAddr map[netip.AddrPort]int // number of the router by its peer address
	isProcess    []bool
	cut          atomic.Bool
	loss         atomic.Uint64 // fraction of the datagrams that is lost, times 2^32

	sent, received []counter // by router number; for a process only its traffic with hollow routers
}

func newNetwork(regions int, peerAddrs []netip.AddrPort, isProcess []bool) *network {
	n := &network{regions: regions, routerByAddr: map[netip.AddrPort]int{}, isProcess: isProcess,
		sent: make([]counter, len(peerAddrs)), received: make([]counter, len(peerAddrs))}
	for i, addr := range peerAddrs {
		n.routerByAddr[addr] = i
	}
	return n
}

// region returns the region of a router.
func (n *network) region(router int) int { return router % n.regions }

// setLoss sets the fraction of the datagrams that is lost.
func (n *network) setLoss(fraction float64) { n.loss.Store(uint64(fraction * (1 << 32))) }

// drops reports whether a datagram from one router to another is lost.
func (n *network) drops(from, to int, rng *rand.Rand) bool {
	if n.cut.Load() && n.region(from) != n.region(to) {
		return true
	}
	loss := n.loss.Load()
	return loss > 0 && uint64(rng.Uint32()) < loss
}

// traffic returns the counts of a router.
func (n *network) traffic(router int) Traffic {
	sent, received := &n.sent[router], &n.received[router]
	return Traffic{
		SentDatagrams: sent.datagrams.Load(), SentBytes: sent.bytes.Load(),
		ReceivedDatagrams: received.datagrams.Load(), ReceivedBytes: received.bytes.Load(),
	}
}

// wrapSocket wraps the socket of a hollow router so that its datagrams go through the network.
func (n *network) wrapSocket(router int, seed uint64, silent *atomic.Bool, socket *net.UDPConn) peers.Conn {
	return &conn{UDPConn: socket, network: n, router: router, silent: silent,
		outgoingRNG: rand.New(rand.NewPCG(seed, uint64(router)<<1)), incomingRNG: rand.New(rand.NewPCG(seed, uint64(router)<<1|1))}
}

// conn is the socket of one hollow router, connected to the network.
type conn struct {
	*net.UDPConn
	network *network
	router  int
	silent  *atomic.Bool // set once the router has crashed: it sends nothing more, not even that it leaves

	outgoingRNG, incomingRNG *rand.Rand // each is used by one goroutine at a time
}

// WriteToUDPAddrPort sends a datagram unless the network drops it. The sender gets no error for a dropped datagram.
func (c *conn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	n := c.network
	n.sent[c.router].add(len(b))
	receiver, known := n.routerByAddr[to]
	if known && n.drops(c.router, receiver, c.outgoingRNG) {
		return len(b), nil
	}
	if known && n.isProcess[receiver] {
		n.received[receiver].add(len(b))
	}
	return c.UDPConn.WriteToUDPAddrPort(b, to)
}

// ReadFromUDPAddrPort receives the next datagram that the network does not drop. Datagrams of a process are counted and dropped
// here, because the network can't intercept them where the process sends them.
func (c *conn) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	n := c.network
	for {
		size, from, err := c.UDPConn.ReadFromUDPAddrPort(b)
		if err != nil {
			return size, from, err
		}
		sender, known := n.routerByAddr[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if known && n.isProcess[sender] {
			n.sent[sender].add(size)
			if n.drops(sender, c.router, c.incomingRNG) {
				continue
			}
		}
		n.received[c.router].add(size)
		return size, from, nil
	}
}

// sink listens at the address of a hollow router that is down, so that datagrams that processes still send there are counted.
type sink struct {
	socket *net.UDPConn
	done   chan struct{}
}

// openSink listens at the address of a router that is down and counts the datagrams that arrive.
func (n *network) openSink(router int, addr netip.AddrPort) (*sink, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	s := &sink{socket: socket, done: make(chan struct{})}
	c := &conn{UDPConn: socket, network: n, router: router}
	go func() {
		defer close(s.done)
		c.discard()
	}()
	return s, nil
}

// discard counts datagrams of processes as sent until the socket is closed. They don't count as received, because the router is
// down.
func (c *conn) discard() {
	b := make([]byte, 2*view.MaxDatagramBytes)
	for {
		size, from, err := c.UDPConn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		sender, known := c.network.routerByAddr[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if known && c.network.isProcess[sender] {
			c.network.sent[sender].add(size)
		}
	}
}

// close stops the counting and frees the address.
func (s *sink) close() {
	s.socket.Close()
	<-s.done
}
