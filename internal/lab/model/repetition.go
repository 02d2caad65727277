package model

import (
	"math/rand/v2"
	"time"
)

// The time after an answer at which a server sends its second copy, in seconds.
const minRepetitionDelay, maxRepetitionDelay = 0.0005, 0.005

// maxHoldBack is how long the network holds a second copy back at most.
const maxHoldBack = 40 * time.Millisecond

// repetition describes which answers servers send a second time. The zero value repeats none.
type repetition struct {
	share    float64 // of the answers
	heldBack float64 // share of the second copies of cache servers that the network holds back
	random   *rand.Rand
}

// RepetitionHandler is implemented by a ConnHandler that can pass on second copies of answers.
type RepetitionHandler interface {
	Repeated(c *Conn) // the latest answer on the connection came once more
}

// repeatLastAnswer has the server send its latest answer once more, if that is drawn and no call waits for the server
// by then.
func (c *Conn) repeatLastAnswer() {
	handler, ok := c.handler.(RepetitionHandler)
	drawn := c.w.repetition
	if !ok || drawn.share == 0 || drawn.random.Float64() >= drawn.share {
		return
	}
	answeredAt := c.toRouterAt
	delay := drawUniform(drawn.random, minRepetitionDelay, maxRepetitionDelay)
	c.w.After(time.Duration(delay*float64(time.Second)), func() {
		if c.closedByServer || len(c.unanswered) > 0 || c.toRouterAt != answeredAt {
			return
		}
		if c.host != &c.w.Origin.host && drawn.heldBack > 0 && drawn.random.Float64() < drawn.heldBack {
			c.holdBack(time.Duration(drawn.random.Float64() * float64(maxHoldBack)))
		}
		c.toRouter(func() {
			if !c.closedByRouter {
				handler.Repeated(c)
			}
		})
	})
}
