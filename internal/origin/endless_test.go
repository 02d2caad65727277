package origin

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"hoptiller"
	"hoptiller/internal/meta"
	"hoptiller/internal/relay"
	"hoptiller/internal/testprog"
)

// A chunked answer never ends: it trickles, or arrives as fast as it is read. The call ends at its deadline or when
// the value exceeds the longest allowed value, and all the memory that was acquired for the value is released.
func TestAnswerWithoutEnd(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		first  string // first chunk of the value
		chunk  string
		pause  time.Duration
		within time.Duration
		status hoptiller.Status
	}{
		"trickles": {strings.Repeat("x", 2*meta.MaxShortValue), "x", 10 * time.Millisecond, 200 * time.Millisecond, hoptiller.Timeout},
		"floods":   {"x", strings.Repeat("x", meta.MaxShortValue), time.Nanosecond, time.Minute, hoptiller.ServerError},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, memory := serve(t, 0, func(conn *net.TCPConn, _ string) bool {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(c.first), c.first)
				pause := time.NewTicker(c.pause)
				defer pause.Stop()
				for range pause.C {
					if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(c.chunk), c.chunk); err != nil {
						return false
					}
				}
				return false
			})
			ctx, cancel := context.WithTimeout(t.Context(), c.within)
			defer cancel()
			ended := make(chan relay.Result, 1)
			go func() { ended <- p.Call(ctx, ctx, 1, &relay.Request{Key: []byte("k"), ID: []byte("1")}) }()
			if r := testprog.Await(t, ended, "end of the call"); r.Status != c.status {
				t.Errorf("status %d, not %d", r.Status, c.status)
			}
			if held := memory.Summary().Held; held != 0 {
				t.Errorf("%d bytes of memory for the value are still acquired", held)
			}
		})
	}
}

// A chunked answer arrives while other values hold all memory. Its call waits for memory no longer than its own time, and holds
// none afterwards; a call that finds memory within its time gets its value.
func TestAnswerWaitsForMemoryWithinItsTime(t *testing.T) {
	t.Parallel()
	value := strings.Repeat("x", 2*meta.MaxShortValue)
	p, memory := serve(t, 0, func(conn *net.TCPConn, _ string) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(value), value)
		return true
	})
	all := memory.NewClaim("other", meta.MaxLongValue)
	if _, err := all.Acquire(t.Context(), meta.MaxLongValue); err != nil {
		t.Fatal(err)
	}
	call := func(timeout time.Duration) <-chan relay.Result {
		ended := make(chan relay.Result, 1)
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		t.Cleanup(cancel)
		go func() { ended <- p.Call(ctx, ctx, 1, &relay.Request{Key: []byte("k"), ID: []byte("1")}) }()
		return ended
	}
	if r := testprog.Await(t, call(200*time.Millisecond), "end of the call without memory"); r.Status != hoptiller.Timeout {
		t.Errorf("without memory: status %d", r.Status)
	}
	ended := call(testprog.WaitTimeout)
	testprog.Eventually(t, "the answer waits for memory", func() bool { return memory.Summary().Waiting == 1 })
	all.Release()
	r := testprog.Await(t, ended, "end of the call that finds memory")
	if r.Status != hoptiller.OK || r.Body == nil || r.Body.Len() != len(value) {
		t.Fatalf("%+v", r)
	}
	r.Body.Close()
	if held := memory.Summary().Held; held != 0 {
		t.Errorf("%d bytes are still held", held)
	}
}
