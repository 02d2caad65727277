package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"unsafe"
)

// limitDescriptors sets the number of descriptors that a process may have open.
func limitDescriptors(t *testing.T, pid int, n uint64) {
	t.Helper()
	limit := syscall.Rlimit{Cur: n, Max: n}
	if _, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE,
		uintptr(unsafe.Pointer(&limit)), 0, 0, 0); errno != 0 {
		t.Fatal(errno)
	}
}

// TestIdleClientsFillTheDescriptors connects far more clients than the program has descriptors, while discovery is silent. The
// clients send nothing, or one command and then idle. Discovery, operators, slot caches, the origin and a client with a
// request must still get descriptors.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	t.Parallel()
	const descriptors = 96
	w := startProgramWith(t, []string{"p1"}, "", `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, descriptors))
	limitDescriptors(t, w.program.Process.Pid, descriptors)
	play := func(text string) { w.runScenario(t, t.Name(), strings.Split(text, "\n")) }
	play(`
		d expect GET /registry/instances?watch=1&after=1 HTTP/1.1`)
	for i := range 2 * descriptors {
		conn, err := net.Dial("tcp", w.actors["program"].addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if i%2 == 0 {
			continue
		}
		fmt.Fprint(conn, "mn\r\n") // a client with a command is answered although there are too many clients
		if line, err := bufio.NewReader(conn).ReadString('\n'); line != "MN\r\n" {
			t.Fatalf("client %d got %q, %v", i, line, err)
		}
	}
	play(`
		a1 send GET /v1/readyz HTTP/1.1
		a1 send
		a1 expect HTTP/1.1 200 OK
		c1 send mg k1 v O01 Pc=read,d=9000
		p1 expect mg k1 *
		p1 send EN O01
		o expect GET /k1 HTTP/1.1
		o wait
		o send HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx
		c1 expect VA 1 O01
		c1 expect x
		d close
		d wait GET /registry/instances?watch=1&after=1 HTTP/1.1
		d wait
		d send HTTP/1.1 200 OK
		d send Transfer-Encoding: chunked
		d send
		d chunk {"version":4,"full":false,"servers":[{p1 leaving 0},{p2 active 0}]}
		p1 expect <closed>
		c2 send mg k2 v O02 Pc=read,d=9000
		p2 expect mg k2 *
		p2 send VA 1 O02\r\ny
		c2 expect VA 1 O02
		c2 expect y`)
	for len(w.actors["program"].lines) > 0 {
		if l := <-w.actors["program"].lines; strings.Contains(l.text, "accept failed") ||
			strings.Contains(l.text, "too many open files") {
			t.Errorf("the program logged %s", l.text)
		}
	}
}
