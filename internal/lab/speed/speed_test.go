package speed

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// The relay forwards the lines of both sides.
func TestRelay(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	go serveInstantly(server)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go Relay(l, server.Addr().String())
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	fmt.Fprint(c, "mg a v O7 Pc=slot-view,d=100\r\nmg b v O8 Pc=slot-view,d=100\r\n")
	r := bufio.NewReader(c)
	var got []string
	for range 4 {
		line, err := r.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, strings.TrimSpace(line))
	}
	if want := "[VA 2 O7 h1 hi VA 2 O8 h1 hi]"; fmt.Sprint(got) != want {
		t.Errorf("got %v", got)
	}
}
