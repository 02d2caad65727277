// Package loopback gives the lab's processes loopback addresses that no other one uses at the same time. An address
// that was found free and left to a router's process is taken by nobody in between: who asks for any free port of an
// address asks for one of another use, and other runs of the lab beside this one have another network.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
)

// Use is what a router's address is for. Each has hosts of its own.
type Use byte

// The uses of addresses.
const (
	Parties Use = iota // stand-ins, relays: free ports are asked for all the time
	Serve              // the router's own listener for clients
	Admin              // for operators
	Peers              // for other routers
	uses
)

const (
	first, last = 16, 239 // the second byte of networks that are ours to take
	mark        = 47001   // the port whose listener says that a network is taken
	perUse      = 256 / int(uses)
	perNet      = 250
)

// network is the second byte of this process's addresses. Its mark is held until the process ends.
var network = sync.OnceValues(func() (byte, error) {
	for i := range last - first + 1 {
		n := first + (os.Getpid()+i)%(last-first+1)
		if held, err := net.Listen("tcp4", fmt.Sprintf("127.%d.255.254:%d", n, mark)); err == nil {
			marks = append(marks, held)
			return byte(n), nil
		}
	}
	return 0, errors.New("no loopback network is free: 224 processes of the lab are running, or the system has 127.0.0.1 alone")
})

// marks keeps the listener from being collected, and so closed.
var marks []net.Listener

// Host is the address of a router, counted from 0, for one use.
func Host(use Use, router int) (string, error) {
	n, err := network()
	if err != nil {
		return "", err
	}
	if use >= uses || router < 0 || router >= perUse*perNet-perNet {
		return "", fmt.Errorf("no loopback address for use %d of router %d", use, router)
	}
	return fmt.Sprintf("127.%d.%d.%d", n, int(use)*perUse+router/perNet, 1+router%perNet), nil
}

// Listen listens on a free port of a router's address.
func Listen(use Use, router int) (net.Listener, error) {
	host, err := Host(use, router)
	if err != nil {
		return nil, err
	}
	return net.Listen("tcp", net.JoinHostPort(host, "0"))
}

// reserved are the addresses that Leave has given out and Release has not taken back.
var reserved struct {
	sync.Mutex
	addrs map[string]bool
}

// mostDraws bounds how often Leave asks the system for another port. A host has thousands, so even one in two of
// them being reserved would not make it fail.
const mostDraws = 100

// Leave finds a free port of a router's address and leaves it to the router's process. No other call of this process is
// given the same address until Release, though its port looks free while the router's process is down or starting.
func Leave(use Use, router int) (string, error) {
	reserved.Lock()
	defer reserved.Unlock()
	for range mostDraws {
		l, err := Listen(use, router)
		if err != nil {
			return "", err
		}
		addr := l.Addr().String()
		if err := l.Close(); err != nil {
			return "", err
		}
		if reserved.addrs[addr] {
			continue
		}
		if reserved.addrs == nil {
			reserved.addrs = map[string]bool{}
		}
		reserved.addrs[addr] = true
		return addr, nil
	}
	return "", fmt.Errorf("no port of router %d is free that has not been left already", router)
}

// Release takes back an address that Leave has given out, once no process is to listen there any more.
func Release(addr string) {
	reserved.Lock()
	defer reserved.Unlock()
	delete(reserved.addrs, addr)
}
