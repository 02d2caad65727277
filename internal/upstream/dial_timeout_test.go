package upstream

import (
	"testing"
	"time"

	"hoptiller"
	"hoptiller/internal/relay"
	"hoptiller/internal/testprog"
)

// A dial that never succeeds ends after ConnectTimeout, long before the call's time is over. The
// call ends with ConnectFailed, and nothing remains of the connection.
func TestDialTimeout(t *testing.T) {
	t.Parallel()
	addr, _ := testprog.ListenWithFullQueue(t)
	p := New(Settings{CallsPerConn: 4, MaxConnsPerServer: 4, MaxCallsPerConn: 100, ConnectTimeout: 50 * time.Millisecond}, Meta{})
	t.Cleanup(p.Close)
	p.Update(listEntry(addr, hoptiller.Ready), false)
	ended := make(chan relay.Result, 1)
	go func() { ended <- p.Call(t.Context(), t.Context(), 1, readRequest("01")) }()
	if r := testprog.Await(t, ended, "end of the call"); r.Status != hoptiller.ConnectFailed {
		t.Errorf("the call ended with status %d", r.Status)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[1]; s.dialing != 0 || p.connCount != 0 || len(s.conns) != 0 {
		t.Errorf("%d dials in progress, %d connections counted, %d open", s.dialing, p.connCount, len(s.conns))
	}
}
