package upstream

import (
	"fmt"
	"testing"
	"time"

	"hoptiller"
	"hoptiller/internal/relay"
	"hoptiller/internal/testprog"
)

// A race: the time limit for the rest of an answer passes just as that rest has arrived and has not been read yet,
// for example because the process was paused. The answer counts.
func TestAnswerRestAtTimeLimit(t *testing.T) {
	t.Parallel()
	p, c, server := idleConn(t)
	calls := make([]*pendingCall, 2)
	for i := range calls {
		calls[i] = &pendingCall{req: readRequest(fmt.Sprintf("0%d", i+1)), result: make(chan relay.Result, 1), sentAt: time.Now()}
	}
	p.mu.Lock() // the bytes read so far have been handled; readLoop waits for this lock when the time limit passes
	c.pending, c.load = append(c.pending, calls...), len(calls)
	p.mu.Unlock()
	go c.readLoop()
	fmt.Fprint(server, "EN O01\r\nEN O0")
	testprog.Await(t, calls[0].result, "first answer")
	p.mu.Lock() // what has been read is taken, and whoever reads waits for this when the time is pause
	pause := time.NewTimer(2 * maxAnswerGap)
	<-pause.C
	fmt.Fprint(server, "2\r\n")
	testprog.Until(t, "the rest has arrived", func() bool { return !c.reader.Quiet() })
	p.mu.Unlock()
	if r := testprog.Await(t, calls[1].result, "second answer"); r.Status != hoptiller.Miss {
		t.Errorf("the second call ended with status %d", r.Status)
	}
}
