package upstream

import (
	"fmt"
	"testing"
	"time"

	"hoptiller"
	"hoptiller/internal/testprog"
)

// A race: the time limit for the rest of an answer passes just as that rest has arrived and has not been read yet,
// for example because the process was paused. The answer counts.
func TestAnswerRestAtTimeLimit(t *testing.T) {
	t.Parallel()
	p, c, server := idleConn(t)
	pending := make([]*pendingCall, 2)
	for i := range pending {
		pending[i] = sentCall(fmt.Sprintf("0%d", i+1))
	}
	p.mu.Lock()
	c.pending, c.load = append(c.pending, pending...), len(pending)
	p.mu.Unlock()
	go c.readLoop()
	fmt.Fprint(server, "EN O01\r\nEN O0")
	testprog.Await(t, pending[0].result, "first answer")
	p.mu.Lock() // the bytes read so far are handled; readLoop waits for this lock when the time limit passes
	pause := time.NewTimer(2 * maxAnswerGap)
	<-pause.C
	fmt.Fprint(server, "2\r\n")
	testprog.Eventually(t, "the rest has arrived", func() bool { return !c.reader.Quiet() })
	p.mu.Unlock()
	if r := testprog.Await(t, pending[1].result, "second answer"); r.Status != hoptiller.Miss {
		t.Errorf("the second call ended with status %d", r.Status)
	}
}
