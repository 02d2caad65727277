// Package loopback gives the lab's processes loopback addresses that no other process of the lab uses at the same time. An
// address that was found free and reserved for a router's process stays free until the process listens there. Callers that
// ask for any free port get hosts of another use, and other runs of the lab beside this one use another network.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
)

// Use is the purpose of a router's address. Each use has hosts of its own.
type Use byte

// The uses of addresses.
const (
	StandIns Use = iota // stand-ins and proxies, which ask for free ports all the time
	Clients             // the router's own listener for clients
	Admin               // the router's listener for operators' calls
	Peers               // the router's listener for its peers
	useCount
)

const (
	firstNetwork, lastNetwork = 16, 239 // range of the second byte of the networks that the lab may use
	lockPort                  = 47001   // a listener on this port marks a network as used
	subnetsPerUse             = 256 / int(useCount)
	hostsPerSubnet            = 250
)

// network returns the second byte of this process's addresses. The listener that marks the network is held until the process
// ends.
var network = sync.OnceValues(func() (byte, error) {
	for i := range lastNetwork - firstNetwork + 1 {
		n := firstNetwork + (os.Getpid()+i)%(lastNetwork-firstNetwork+1)
		if held, err := net.Listen("tcp4", fmt.Sprintf("127.%d.255.254:%d", n, lockPort)); err == nil {
			lockListeners = append(lockListeners, held)
			return byte(n), nil
		}
	}
	return 0, errors.New("no loopback network is free: 224 processes of the lab are running, or the system has 127.0.0.1 alone")
})

// lockListeners keeps the listener from being garbage-collected, which would close it.
var lockListeners []net.Listener

// Host returns the address of a router for one use. Routers count from 0.
func Host(use Use, router int) (string, error) {
	n, err := network()
	if err != nil {
		return "", err
	}
	if use >= useCount || router < 0 || router >= subnetsPerUse*hostsPerSubnet-hostsPerSubnet {
		return "", fmt.Errorf("no loopback address for use %d of router %d", use, router)
	}
	return fmt.Sprintf("127.%d.%d.%d", n, int(use)*subnetsPerUse+router/hostsPerSubnet, 1+router%hostsPerSubnet), nil
}

// Listen listens on a free port of a router's address.
func Listen(use Use, router int) (net.Listener, error) {
	host, err := Host(use, router)
	if err != nil {
		return nil, err
	}
	return net.Listen("tcp", net.JoinHostPort(host, "0"))
}

// reserved holds the addresses that Reserve has returned and that Release has not freed.
var reserved struct {
	sync.Mutex
	addrs map[string]bool
}

// maxReserveAttempts is how often Reserve asks the system for a port at most. A host has thousands of ports, so this is
// enough even if one in two is reserved.
const maxReserveAttempts = 100

// Reserve finds a free port of a router's address and reserves it for the router's process. No other call in this process
// returns the same address until Release, although the port looks free while the router's process is down or starting.
func Reserve(use Use, router int) (string, error) {
	reserved.Lock()
	defer reserved.Unlock()
	for range maxReserveAttempts {
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

// Release frees an address that Reserve has returned. It must be called when no process will listen there any more.
func Release(addr string) {
	reserved.Lock()
	defer reserved.Unlock()
	delete(reserved.addrs, addr)
}
