package scale

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"

	"hoptiller/internal/fleet/peers"
	"hoptiller/internal/fleet/view"
)

// Traffic is what one router has sent and received in datagrams, without the headers of UDP and IP.
type Traffic struct {
	SentDatagrams, SentBytes         uint64
	ReceivedDatagrams, ReceivedBytes uint64
}

// minus is what was added since an earlier count.
func (t Traffic) minus(before Traffic) Traffic {
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

// network is what the datagrams of hollow routers go through: it counts them, and loses those between regions that are cut from
// one another. Datagrams between two processes go through package ways instead.
type network struct {
	regions int
	number  map[netip.AddrPort]int // of the router that has an address
	real    []bool
	cut     atomic.Bool
	loss    atomic.Uint64 // part of 2^32 of the datagrams that is lost

	sent, received []counter // by router's number; of a process only what hollow routers see of it
}

func newNetwork(regions int, homes []netip.AddrPort, real []bool) *network {
	n := &network{regions: regions, number: map[netip.AddrPort]int{}, real: real,
		sent: make([]counter, len(homes)), received: make([]counter, len(homes))}
	for i, home := range homes {
		n.number[home] = i
	}
	return n
}

// region is where a router is.
func (n *network) region(router int) int { return router % n.regions }

// setLoss says which part of the datagrams is lost.
func (n *network) setLoss(part float64) { n.loss.Store(uint64(part * (1 << 32))) }

// loses decides the fate of a datagram.
func (n *network) loses(from, to int, chance *rand.Rand) bool {
	if n.cut.Load() && n.region(from) != n.region(to) {
		return true
	}
	loss := n.loss.Load()
	return loss > 0 && uint64(chance.Uint32()) < loss
}

// traffic is what was counted of a router.
func (n *network) traffic(router int) Traffic {
	sent, received := &n.sent[router], &n.received[router]
	return Traffic{
		SentDatagrams: sent.datagrams.Load(), SentBytes: sent.bytes.Load(),
		ReceivedDatagrams: received.datagrams.Load(), ReceivedBytes: received.bytes.Load(),
	}
}

// attach puts a connection of the network round a hollow router's socket.
func (n *network) attach(router int, seed uint64, silent *atomic.Bool, socket *net.UDPConn) peers.Conn {
	return &conn{UDPConn: socket, network: n, router: router, silent: silent,
		outgoing: rand.New(rand.NewPCG(seed, uint64(router)<<1)), incoming: rand.New(rand.NewPCG(seed, uint64(router)<<1|1))}
}

// conn is the socket of one hollow router in its network.
type conn struct {
	*net.UDPConn
	network *network
	router  int
	silent  *atomic.Bool // a crashed process sends nothing more, not even that it ends

	outgoing, incoming *rand.Rand // each used by one goroutine at a time
}

// WriteToUDPAddrPort sends a datagram unless the network loses it. The sender can't tell.
func (c *conn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	n := c.network
	n.sent[c.router].add(len(b))
	receiver, known := n.number[to]
	if known && n.loses(c.router, receiver, c.outgoing) {
		return len(b), nil
	}
	if known && n.real[receiver] {
		n.received[receiver].add(len(b))
	}
	return c.UDPConn.WriteToUDPAddrPort(b, to)
}

// ReadFromUDPAddrPort receives the next datagram that the network has not lost. What a process sends meets its fate here, since
// its own side can't be reached.
func (c *conn) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	n := c.network
	for {
		size, from, err := c.UDPConn.ReadFromUDPAddrPort(b)
		if err != nil {
			return size, from, err
		}
		sender, known := n.number[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if known && n.real[sender] {
			n.sent[sender].add(size)
			if n.loses(sender, c.router, c.incoming) {
				continue
			}
		}
		n.received[c.router].add(size)
		return size, from, nil
	}
}

// sink holds the address of a hollow router that is down, so that what processes still send there is counted.
type sink struct {
	socket *net.UDPConn
	done   chan struct{}
}

// openSink begins to count what comes to a router that is down.
func (n *network) openSink(router int, home netip.AddrPort) (*sink, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(home))
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

// discard counts what processes have sent until the socket is closed. The router that is down receives nothing.
func (c *conn) discard() {
	b := make([]byte, 2*view.MostBytes)
	for {
		size, from, err := c.UDPConn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		sender, known := c.network.number[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if known && c.network.real[sender] {
			c.network.sent[sender].add(size)
		}
	}
}

// close gives the address free.
func (s *sink) close() {
	s.socket.Close()
	<-s.done
}
