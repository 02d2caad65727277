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

// speak answers a watch with a word again and again, up to so many times, and tells when it said the last. It stops early when
// the machine stood still for so long that the watch may end in between.
func speak(conn net.Conn, word string, times int, silence time.Duration) (last time.Time) {
	pause := time.NewTicker(silence / 8)
	defer pause.Stop()
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for last = time.Now(); times > 0 && time.Since(last) < silence/2; times-- {
		last = time.Now()
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(word), word); err != nil {
			return last
		}
		<-pause.C
	}
	return last
}

// A watch that has spoken for longer than any other limit of a call falls silent. It ends when a silence has gone by since its
// last word, and not before: empty lines count as words, and parts of a message that never ends do not.
func TestWatchThatFallsSilentLate(t *testing.T) {
	t.Parallel()
	const endless = 1 << 20
	limits := Times{Connect: testprog.Patience, Head: time.Second, First: time.Second, Silence: time.Second}
	for name, c := range map[string]struct {
		word  string
		times int
	}{
		"empty lines":           {"\n", 20},
		"messages":              {`{"version":2,"full":false,"servers":[]}` + "\n", 20},
		"a message without end": {"{\n", endless},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, spoke := testprog.Listen(t), make(chan time.Time, 1)
			testprog.Accept(l, func(conn net.Conn) { spoke <- speak(conn, c.word, c.times, limits.Silence) })
			registry, ended := &Registry{Addr: l.Addr().String(), Times: limits}, make(chan error, 1)
			go func() { ended <- registry.Watch(t.Context(), 1, func(Update) error { return nil }) }()
			err := testprog.Await(t, ended, "end of the watch")
			at := time.Now()
			var timeout net.Error
			if !errors.As(err, &timeout) || !timeout.Timeout() {
				t.Errorf("the watch ends with %v", err)
			}
			last := testprog.Await(t, spoke, "end of the service's words")
			if silent := at.Sub(last); c.times != endless && silent < limits.Silence {
				t.Errorf("the watch ends %v after its last word", silent)
			}
		})
	}
}

// Crossing: discovery is moved, the new service refuses the first watch, and the old one tells of drains before and after that.
// All of them count, and the next watch goes to the new service, from its first version.
func TestDrainsWhileTheNewServiceRefuses(t *testing.T) {
	c, a, b, told := run(t)
	c.Watch(true)
	old := testprog.Await(t, a.watches, "watch of the old service")
	c.Move(b)
	refused := testprog.Await(t, b.watches, "watch of the new service")
	drain := func(version int64) {
		t.Helper()
		if err := old.told(update(version, false, "leaving")); err != nil {
			t.Errorf("a drain that the old service tells: %v", err)
		}
		if text := testprog.Await(t, told, "drain"); text != fmt.Sprint(hoptiller.ListDelta, " s:1") {
			t.Errorf("told %q", text)
		}
	}
	drain(8)
	testprog.Give(t, refused.over, errors.New("refused"), "end of the first watch of the new service")
	if text := testprog.Await(t, told, "refusal"); text != fmt.Sprint(hoptiller.ListFailed) {
		t.Errorf("told %q", text)
	}
	drain(9)
	c.Watch(true) // as the module orders after a failure
	next := testprog.Await(t, b.watches, "next watch of the new service")
	drain(10)
	if err := next.told(update(3, true, "leaving")); next.after != 0 || err != nil {
		t.Errorf("the new service, asked after %d: %v", next.after, err)
	}
	testprog.Await(t, told, "list of the new service")
	if err := old.told(update(11, false, "active")); !errors.Is(err, errReplaced) {
		t.Errorf("the old service behind that: %v", err)
	}
}
