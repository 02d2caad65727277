package front

import (
	"bufio"
	"fmt"
	"testing"
	"time"

	"hoptiller/internal/testprog"
)

// A client sends commands in pieces, each of which ends one command and begins the next, so that there is always a partial
// command. Each command is complete long before commandTimeout. The client goes on for longer than commandTimeout, and all its
// commands are answered.
func TestOverlappingCommandPieces(t *testing.T) {
	t.Parallel()
	const pause = 100 * time.Millisecond
	hold := make(blockingServer)
	close(hold)
	conn := start(t, &Front{MaxConns: 4, MaxOpenRequests: 4, Server: hold})()
	r := bufio.NewReader(conn)
	command := func(i int) string { return fmt.Sprintf("mg k v O%d Pc=read,d=900\r\n", i) }
	tick := time.NewTicker(pause)
	defer tick.Stop()
	fmt.Fprint(conn, command(0)[:5])
	for i, began := 0, time.Now(); time.Since(began) < commandTimeout+10*pause; i++ {
		<-tick.C
		if _, err := fmt.Fprint(conn, command(i)[5:]+command(i + 1)[:5]); err != nil {
			t.Fatalf("command %d, after %v: %v", i, time.Since(began), err)
		}
		head, _ := r.ReadString('\n')
		if value, err := r.ReadString('\n'); head != fmt.Sprintf("VA 1 O%d\r\n", i) || err != nil {
			t.Fatalf("command %d, after %v: %q %q, %v", i, time.Since(began), head, value, err)
		}
	}
}

// Race: commandTimeout is over when the rest of a command has arrived but is not read yet, once with no other command open and
// once with another one open. The command is answered.
func TestRestOfCommandArrivesAtDeadline(t *testing.T) {
	t.Parallel()
	for name, first := range map[string]string{"alone": "", "behind another": "mg k v O1 Pc=read,d=900\r\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			hold := make(blockingServer)
			f := &Front{MaxConns: 4, MaxOpenRequests: 4, Server: hold}
			client := start(t, f)()
			fmt.Fprintf(client, "%smg k v O2 Pc=re", first)
			var c *conn
			testprog.Eventually(t, "half a command has arrived", func() bool {
				if all := f.conns.all(); len(all) == 1 {
					c = all[0]
					c.mu.Lock()
					defer c.mu.Unlock()
					return c.hasPartialCommand
				}
				return false
			})
			c.mu.Lock()
			c.waitingSince = c.waitingSince.Add(-commandTimeout)
			c.updateReadDeadline()             // the read ends, and the reading goroutine waits for the lock
			fmt.Fprint(client, "ad,d=900\r\n") // over loopback the data has arrived when this returns
			c.mu.Unlock()
			close(hold)
			r := bufio.NewReader(client)
			if first != "" {
				r.ReadString('\n')
				r.ReadString('\n')
			}
			if line, err := r.ReadString('\n'); line != "VA 1 O2\r\n" {
				t.Errorf("got %q, %v", line, err)
			}
		})
	}
}
