package front

import (
	"bufio"
	"fmt"
	"testing"
	"time"

	"hoptiller/internal/testprog"
)

// A client sends command behind command in pieces, each of which ends one and begins the next, so that there is always half a
// command. Each comes whole long before the time for one is over, and the client goes on for longer than that: it is served on.
func TestPiecesThatOverlap(t *testing.T) {
	t.Parallel()
	const pause = 100 * time.Millisecond
	hold := make(holder)
	close(hold)
	conn := start(t, &Front{MostConns: 4, MostOpen: 4, Server: hold})()
	r := bufio.NewReader(conn)
	command := func(i int) string { return fmt.Sprintf("mg k v O%d Pc=read,d=900\r\n", i) }
	tick := time.NewTicker(pause)
	defer tick.Stop()
	fmt.Fprint(conn, command(0)[:5])
	for i, began := 0, time.Now(); time.Since(began) < commandTime+10*pause; i++ {
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

// Crossing: the time for the rest of a command is over just as the rest has come and is not read yet, where nothing else is out and
// where another command is. It is answered.
func TestRestOfACommandInTheMomentOfTheClose(t *testing.T) {
	t.Parallel()
	for name, first := range map[string]string{"alone": "", "behind another": "mg k v O1 Pc=read,d=900\r\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			hold := make(holder)
			f := &Front{MostConns: 4, MostOpen: 4, Server: hold}
			client := start(t, f)()
			fmt.Fprintf(client, "%smg k v O2 Pc=re", first)
			var c *conn
			testprog.Until(t, "half a command has come", func() bool {
				if all := f.conns.all(); len(all) == 1 {
					c = all[0]
					c.mu.Lock()
					defer c.mu.Unlock()
					return c.part
				}
				return false
			})
			c.mu.Lock()
			c.since = c.since.Add(-commandTime)
			c.arm()                            // the read ends, and whoever reads waits for the lock
			fmt.Fprint(client, "ad,d=900\r\n") // over loopback it has come when this returns
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
