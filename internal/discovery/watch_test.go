package discovery

import (
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"hoptiller"
	"hoptiller/internal/testprog"
)

// sendRepeatedly answers a watch by sending line the given number of times. It returns the time of the last sending. It
// stops early if the machine has paused it for so long that the watch may end between two lines.
func sendRepeatedly(conn net.Conn, line string, times int, silence time.Duration) (last time.Time) {
	pause := time.NewTicker(silence / 8)
	defer pause.Stop()
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for last = time.Now(); times > 0 && time.Since(last) < silence/2; times-- {
		last = time.Now()
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(line), line); err != nil {
			return last
		}
		<-pause.C
	}
	return last
}

// A watch falls silent after it has been active for longer than any other limit of a call. It must end once the
// silence limit has passed since the last message, and not before. Empty lines count as messages; parts of a message
// that never ends do not.
func TestWatchThatFallsSilentLate(t *testing.T) {
	t.Parallel()
	const endless = 1 << 20
	limits := Timeouts{Connect: testprog.WaitTimeout, Head: time.Second, First: time.Second, Silence: time.Second}
	for name, c := range map[string]struct {
		line  string
		times int
	}{
		"empty lines":           {"\n", 20},
		"messages":              {`{"version":2,"full":false,"servers":[]}` + "\n", 20},
		"a message without end": {"{\n", endless},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, lastSent := testprog.Listen(t), make(chan time.Time, 1)
			testprog.Accept(l, func(conn net.Conn) { lastSent <- sendRepeatedly(conn, c.line, c.times, limits.Silence) })
			registry, ended := &Registry{Addr: l.Addr().String(), Timeouts: limits}, make(chan error, 1)
			go func() { ended <- registry.Watch(t.Context(), 1, func(Update) error { return nil }) }()
			err := testprog.Await(t, ended, "end of the watch")
			at := time.Now()
			var timeout net.Error
			if !errors.As(err, &timeout) || !timeout.Timeout() {
				t.Errorf("the watch ends with %v", err)
			}
			last := testprog.Await(t, lastSent, "end of the service's messages")
			if silent := at.Sub(last); c.times != endless && silent < limits.Silence {
				t.Errorf("the watch ends %v after its last message", silent)
			}
		})
	}
}

// Discovery moves to a new service. That service refuses the first watch, and the old one announces drains before and
// after the refusal. All of them must count, and the next watch must go to the new service and start at its first
// version.
func TestDrainsWhileNewServiceRefuses(t *testing.T) {
	c, a, b, updates := startClient(t)
	c.Watch(true)
	old := testprog.Await(t, a.watches, "watch of the old service")
	c.SetSource(b)
	refused := testprog.Await(t, b.watches, "watch of the new service")
	drain := func(version int64) {
		t.Helper()
		if err := old.onUpdate(update(version, false, "leaving")); err != nil {
			t.Errorf("a drain that the old service announces: %v", err)
		}
		if text := testprog.Await(t, updates, "drain"); text != fmt.Sprint(hoptiller.ListDelta, " s:1") {
			t.Errorf("the listener received %q", text)
		}
	}
	drain(8)
	testprog.Send(t, refused.ended, errors.New("refused"), "end of the first watch of the new service")
	if text := testprog.Await(t, updates, "refusal"); text != fmt.Sprint(hoptiller.ListFailed) {
		t.Errorf("the listener received %q", text)
	}
	drain(9)
	c.Watch(true) // as the decision module does after a failure
	next := testprog.Await(t, b.watches, "next watch of the new service")
	drain(10)
	if err := next.onUpdate(update(3, true, "leaving")); next.afterVersion != 0 || err != nil {
		t.Errorf("the new service, watched after version %d: %v", next.afterVersion, err)
	}
	testprog.Await(t, updates, "list of the new service")
	if err := old.onUpdate(update(11, false, "active")); !errors.Is(err, errSourceReplaced) {
		t.Errorf("the old service after the new one has answered: %v", err)
	}
}
