package upstream

import (
	"testing"
	"time"

	"hoptiller"
	"hoptiller/internal/relay"
	"hoptiller/internal/testprog"
)

// A connection that never comes up is given up after the time that the settings give for it, long before its call's time is over:
// the call ends as one that could not connect, and nothing of the connection is left.
func TestConnectionThatNeverComesUp(t *testing.T) {
	t.Parallel()
	addr, _ := testprog.Late(t)
	p := New(Settings{Share: 4, MostConns: 4, MostCalls: 100, ConnectTimeout: 50 * time.Millisecond}, Meta{})
	t.Cleanup(p.Close)
	p.Update(entry(addr, hoptiller.Ready), false)
	ended := make(chan relay.Result, 1)
	go func() { ended <- p.Call(t.Context(), t.Context(), 1, named("01")) }()
	if r := testprog.Await(t, ended, "end of the call"); r.Status != hoptiller.ConnectFailed {
		t.Errorf("the call ends as %d", r.Status)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[1]; s.dialing != 0 || p.total != 0 || len(s.conns) != 0 {
		t.Errorf("%d connections are coming up, %d count, %d are open", s.dialing, p.total, len(s.conns))
	}
}
