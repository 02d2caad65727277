package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"hoptiller/internal/fleet/peers"
	"hoptiller/internal/fleet/view"
	"hoptiller/internal/testprog"
)

// largeFleet is a router in a fleet of many routers and slot caches, which the test simulates.
type largeFleet struct {
	program    *exec.Cmd
	clientAddr string // address for clients
	adminAddr  string // address for operators
}

// startLargeFleet starts the router as number 0 of the routers at the addresses, with the given number of slot caches in its
// list.
func startLargeFleet(t testing.TB, routers []string, caches int) *largeFleet {
	list := registryList(t, caches)
	directory := testprog.Listen(t)
	testprog.Accept(directory, func(conn net.Conn) { answerOneCall(conn, list) })
	settings := strings.NewReplacer(`"balancers":1`, fmt.Sprintf(`"selfIndex":0,"balancers":%d`, len(routers)),
		`"mayCancel":true`, `"mayCancel":true,"mayTell":true`).Replace(settings)
	addresses, err := json.Marshal(routers)
	if err != nil {
		t.Fatal(err)
	}
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","admin":"127.0.0.1:0","discovery":%q,"peers":%s,"peer_listen":%q,
		"limits":{"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`, directory.Addr(), addresses, routers[0], list, settings)
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	program, log, addrs := launchProgram(t, []string{"RELAY_CONFIG=" + path})
	go io.Copy(io.Discard, log)
	return &largeFleet{program, addrs[0], addrs[1]}
}

// registryList starts slot caches that answer reads, each at its own address, and returns a full list of them and of one origin.
func registryList(t testing.TB, caches int) string {
	const entry = `{"id":"s-%08x","addr":%q,"zone":"x","kind":%q,"cell":0,"state":"active","weight":1}`
	origin := testprog.Listen(t)
	entries := []string{fmt.Sprintf(entry, 0, origin.Addr(), "origin")}
	for i := range caches {
		l := testprog.Listen(t)
		testprog.Accept(l, answerReads)
		entries = append(entries, fmt.Sprintf(entry, i+1, l.Addr(), "cache"))
	}
	return fmt.Sprintf(`{"version":1,"full":true,"servers":[%s]}`, strings.Join(entries, ","))
}

// answerReads serves a connection as a slot cache that holds a value of one byte for each key.
func answerReads(conn net.Conn) {
	defer conn.Close()
	for lines := bufio.NewScanner(conn); lines.Scan(); {
		if word := strings.Fields(lines.Text()); len(word) > 3 {
			fmt.Fprintf(conn, "VA 1 %s\r\nx\r\n", word[3])
		}
	}
}

// answerOneCall answers one call for the list as a discovery service that returns its full list.
func answerOneCall(conn net.Conn, list string) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	}
}

// metrics reads the metrics from the router's address for operators.
func (f *largeFleet) metrics(t testing.TB) (m processMetrics) {
	client := http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + f.adminAddr + "/v1/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		t.Fatal(err)
	}
	return m
}

// bindRouters returns n UDP addresses for routers. The first free of them are unused; the others are bound by sockets that send
// and read nothing.
func bindRouters(t testing.TB, n, free int) (addrs []string) {
	for i := range n {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		addrs = append(addrs, c.LocalAddr().String())
		if i < free {
			defer c.Close() // only after all are bound, so that no address is given out twice
		} else {
			t.Cleanup(func() { c.Close() })
		}
	}
	return addrs
}

// TestLargeFleet checks that a router in a fleet of 1,024 routers and 1,024 slot caches becomes ready, knows them all, and
// serves.
func TestLargeFleet(t *testing.T) {
	const routers, caches = 1024, 1024
	f := startLargeFleet(t, bindRouters(t, routers, 1), caches)
	conn := dial(t, f.clientAddr)
	fmt.Fprint(conn, "mg k v O1 Pc=read,d=9000\r\n")
	r := bufio.NewReader(conn)
	for _, want := range []string{"VA 1 O1\r\n", "x\r\n"} {
		if line, err := r.ReadString('\n'); line != want {
			t.Fatalf("got %q for %q, %v", line, want, err)
		}
	}
	m := f.metrics(t)
	if m.Members != caches || m.Unavailable > 0 {
		t.Errorf("%d slot caches are known, %d unavailable", m.Members, m.Unavailable)
	}
	if m.Fleet == nil || m.Fleet.Alive != 1 || m.Fleet.Unknown != routers-1 {
		t.Errorf("the fleet is seen as %+v", m.Fleet)
	}
}

// settleTime is how long the changes of the start of a fleet spread by gossip, repetitions included.
const settleTime = 20 * time.Second

// BenchmarkIdleRouter measures the memory, threads and descriptors of a router in a fleet of 350 routers and 300 slot caches
// without requests. The fleet views of the other routers run in the process of the benchmark.
func BenchmarkIdleRouter(b *testing.B) {
	const routers, caches = 350, 300
	oldLogger := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	b.Cleanup(func() { slog.SetDefault(oldLogger) })
	for range b.N {
		addrs := bindRouters(b, routers, routers)
		for self := 1; self < routers; self++ {
			runView(b, self, addrs)
		}
		f := startLargeFleet(b, addrs, caches)
		testprog.Eventually(b, "the router knows its fleet", func() bool {
			m := f.metrics(b)
			return m.Members == caches && m.Fleet != nil && m.Fleet.Alive == routers
		})
		time.Sleep(settleTime)
		if m := f.metrics(b); m.Fleet.Alive != routers {
			b.Fatalf("the fleet is seen as %+v", m.Fleet)
		}
		f.reportUsage(b)
	}
}

// runView runs the fleet view of another router until the benchmark ends.
func runView(b *testing.B, self int, addrs []string) {
	p, err := peers.New(peers.Settings{Self: self, Listen: addrs[self], Addrs: addrs, Seed: uint64(self),
		Phase: func() view.Phase { return view.Serving }, Details: func() view.Details { return view.Details{VersionHash: 1} }})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.Context())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	b.Cleanup(func() {
		cancel()
		testprog.Await(b, done, "end of a view")
	})
}

// reportUsage reports the memory, threads and descriptors of the program.
func (f *largeFleet) reportUsage(b *testing.B) {
	process := fmt.Sprintf("/proc/%d/", f.program.Process.Pid)
	readProcFile := func(name string) string {
		text, err := os.ReadFile(process + name)
		if err != nil {
			b.Skip("the system does not describe processes:", err)
		}
		return string(text)
	}
	status := readProcFile("status")
	files, err := os.ReadDir(process + "fd")
	if err != nil {
		b.Skip("the system does not list descriptors:", err)
	}
	b.ReportMetric(numberAfter(status, "VmRSS:"), "RSS-kB")
	b.ReportMetric(numberAfter(status, "RssAnon:"), "anonymous-kB")
	if kB := goHeapKB(readProcFile("smaps")); kB > 0 {
		b.ReportMetric(kB, "Go-heap-kB")
	}
	b.ReportMetric(numberAfter(status, "Threads:"), "threads")
	b.ReportMetric(float64(len(files)), "descriptors")
}

// numberAfter returns the first number after a name.
func numberAfter(text, name string) float64 {
	_, rest, _ := strings.Cut(text, name)
	x, _ := strconv.ParseFloat(strings.Fields(rest + " 0")[0], 64)
	return x
}

// goHeapKB returns the resident size of the Go heap in kB. The address of the heap is only known in a program that was built with
// GOEXPERIMENT=norandomizedheapbase64.
func goHeapKB(smaps string) (kB float64) {
	const arenas = "c0"
	within := false
	for line := range strings.Lines(smaps) {
		addresses, _, _ := strings.Cut(line, " ")
		switch {
		case strings.Contains(addresses, "-"):
			within = strings.HasPrefix(addresses, arenas) && len(addresses) == len("c000000000-c000400000")
		case within && addresses == "Rss:":
			kB += numberAfter(line, "Rss:")
		}
	}
	return kB
}
