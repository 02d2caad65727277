package upstream

import (
	"fmt"
	"testing"
	"time"

	"hoptiller"
	"hoptiller/internal/relay"
	"hoptiller/internal/testprog"
)

// Crossing: the time in which an answer has to go on is over just as its rest has come and is not read yet, as where the program
// stood still meanwhile. The answer counts.
func TestRestOfAnAnswerInTheMomentOfTheEnd(t *testing.T) {
	t.Parallel()
	p, c, server := resting(t)
	calls := make([]*call, 2)
	for i := range calls {
		calls[i] = &call{req: named(fmt.Sprintf("0%d", i+1)), done: make(chan relay.Result, 1), sent: time.Now()}
	}
	p.mu.Lock()
	c.calls, c.load = append(c.calls, calls...), len(calls)
	p.mu.Unlock()
	go c.read()
	fmt.Fprint(server, "EN O01\r\nEN O0")
	testprog.Await(t, calls[0].done, "first answer")
	p.mu.Lock() // what has been read is taken, and whoever reads waits for this when the time is over
	over := time.NewTimer(2 * answerStall)
	<-over.C
	fmt.Fprint(server, "2\r\n")
	testprog.Until(t, "the rest has come", func() bool { return !c.reader.Resting() })
	p.mu.Unlock()
	if r := testprog.Await(t, calls[1].done, "second answer"); r.Status != hoptiller.Miss {
		t.Errorf("the second call ends as %d", r.Status)
	}
}
