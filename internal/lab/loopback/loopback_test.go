package loopback

import (
	"net"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// Another process of the lab that runs beside this one gets a network of its own, and no two uses share a host.
func TestHost(t *testing.T) {
	if os.Getenv("LOOPBACK_CHILD") != "" {
		host, err := Host(Clients, 0)
		if err != nil {
			t.Fatal(err)
		}
		os.Stdout.WriteString("host=" + host + "\n")
		return
	}
	seen := map[string]bool{}
	for use := range useCount {
		for _, router := range []int{0, 249, 250, 999} {
			host, err := Host(use, router)
			if err != nil || seen[host] || !net.ParseIP(host).IsLoopback() {
				t.Errorf("use %d, router %d: %s, %v, seen before: %v", use, router, host, err, seen[host])
			}
			seen[host] = true
		}
	}
	for _, router := range []int{-1, 1 << 20} {
		if _, err := Host(Clients, router); err == nil {
			t.Errorf("router %d has an address", router)
		}
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	child := exec.Command(self, "-test.run=^TestHost$", "-test.v")
	child.Env = append(os.Environ(), "LOOPBACK_CHILD=1")
	out, err := child.Output()
	_, after, found := strings.Cut(string(out), "host=")
	host, _, _ := strings.Cut(after, "\n")
	if err != nil || !found || seen[host] {
		t.Errorf("beside this process another one has %q: %v", out, err)
	}
	addr, err := Reserve(Clients, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer Release(addr)
	for range 200 { // callers that ask for many free ports don't get the reserved one
		l, err := Listen(StandIns, 0)
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatalf("what was left to the router is taken: %v", err)
	}
	l.Close()
}

// Until an address is released, Reserve returns it to one caller only, however many addresses are requested.
func TestLeaveReserves(t *testing.T) {
	const addresses = 600 // without a check two of this many random ports out of some thousands would be the same
	seen := map[string]bool{}
	for range addresses {
		addr, err := Reserve(Clients, 1)
		if err != nil {
			t.Fatal(err)
		}
		if seen[addr] {
			t.Errorf("%s is left twice", addr)
		}
		seen[addr] = true
	}
	for addr := range seen {
		Release(addr)
	}
	if len(reserved.addrs) != 0 {
		t.Errorf("%d addresses are reserved after all were released", len(reserved.addrs))
	}
}
