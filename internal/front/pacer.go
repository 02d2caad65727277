package front

import (
	"context"
	"time"
)

const (
	pacedCommands  = 32                     // commands of one connection after which its reader may have to pause
	pacedTime      = 10 * time.Millisecond  // a connection with fewer commands in this time does not pause
	minPause       = time.Millisecond       // for so many commands
	maxPause       = 100 * time.Millisecond // of a reader
	latenessFactor = 8                      // by which a pause is longer than the last one was overdue
)

// pacer keeps a connection whose next command is always there from taking the processor from the others: its goroutines would
// never wait, and each would use its whole time slice whenever it gets the processor. A reader that has taken many commands in a
// short time pauses. The more its last pause was overdue, the busier the processor is, and the longer the next one.
type pacer struct {
	count    int           // commands since begun
	begun    time.Time     // when the first of them was taken
	lateness time.Duration // by which the last pause was overdue
	pauses   int           // number of pauses so far
}

// pause records that commands were taken, and pauses if they were many in a short time. It returns at once when ctx is done.
func (p *pacer) pause(ctx context.Context, taken int) {
	if p.count += taken; p.count < pacedCommands {
		return
	}
	now := time.Now()
	length := p.pauseAt(now)
	p.count, p.begun = 0, now
	if length == 0 {
		return
	}
	p.pauses++
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	p.begun = time.Now()
	p.lateness = max(0, p.begun.Sub(now)-length)
}

// pauseAt returns how long the reader has to pause after pacedCommands or more: 0 for not at all.
func (p *pacer) pauseAt(now time.Time) time.Duration {
	if now.Sub(p.begun) >= pacedTime {
		p.lateness = 0
		return 0
	}
	return min(maxPause, time.Duration(p.count/pacedCommands)*minPause+latenessFactor*p.lateness)
}
