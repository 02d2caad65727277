package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"hoptiller/internal/testprog"
)

// maxStartTime is the maximum time from the start of the program until it serves clients.
const maxStartTime = 10 * time.Second

// TestReadyDespiteOutages starts seven programs at once while discovery is down, silent, overloaded or unreachable and the
// origin is down. Each program must serve clients within maxStartTime.
func TestReadyDespiteOutages(t *testing.T) {
	t.Parallel()
	closed := func() string { // an address without a listener
		l := testprog.Listen(t)
		l.Close()
		return l.Addr().String()
	}
	answering := func(answer string) string {
		l := testprog.Listen(t)
		testprog.Accept(l, func(conn net.Conn) {
			fmt.Fprint(conn, answer)
			if answer != "" {
				conn.Close()
			}
		})
		return l.Addr().String()
	}
	unconnected, _ := testprog.ListenWithFullQueue(t)
	for name, discovery := range map[string]string{"down": closed(), "silent": answering(""), "unreachable": unconnected,
		"too many callers": answering("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","admin":"127.0.0.1:0","discovery":%q,"known":{"version":1,"full":true,"servers":[
				{"id":"s-0000000f","addr":%q,"zone":"x","kind":"origin","cell":0,"state":"active","weight":1}]},"settings":%s}`,
				discovery, closed(), settings)
			path := filepath.Join(t.TempDir(), "config.json")
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			for i := range 7 {
				t.Run(fmt.Sprint(i), func(t *testing.T) {
					t.Parallel()
					_, _, addrs := launchProgram(t, []string{"RELAY_CONFIG=" + path})
					conn := dial(t, addrs[0])
					fmt.Fprint(conn, "mn\r\n")
					if line, err := bufio.NewReader(conn).ReadString('\n'); line != "MN\r\n" || time.Since(began) > maxStartTime {
						t.Errorf("got %q after %v, %v", line, time.Since(began), err)
					}
				})
			}
		})
	}
}
