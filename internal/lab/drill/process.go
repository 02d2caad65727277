package drill

import (
	"math/rand/v2"
	"syscall"
	"time"

	"hoptiller/internal/lab/standin"
)

const (
	killMargin       = 700 * time.Millisecond // between the longest deadline after SIGTERM and SIGKILL, as the platform has it
	longestDeadline  = 3 * time.Second        // that counts for SIGKILL
	leastInterrupt   = 75 * time.Millisecond  // for which a process is held up at once
	mostInterrupt    = 150 * time.Millisecond
	betweenInterrupt = 350 * time.Millisecond // from the beginning of one to the next, in the mean
)

// killAfter is how long after SIGTERM the platform kills a process at the earliest.
func (f *File) killAfter() time.Duration {
	var longest time.Duration
	for _, c := range f.Day.Classes {
		longest = max(longest, c.Deadline.D())
	}
	return min(longest, longestDeadline) + killMargin
}

// signals sends a process signals, one right after another.
func (p *player) signals(router int, names []string, hand standin.Control) {
	for _, name := range names {
		p.say(router, "signal: %s", name)
		hand.Signal(router, map[string]syscall.Signal{"hup": syscall.SIGHUP, "term": syscall.SIGTERM}[name])
	}
}

// restart ends a process as the platform does, as early as it may, and starts it anew when the step ends.
func (p *player) restart(router int, s *Step, on bool, hand standin.Control) {
	if !on {
		p.say(router, "started")
		hand.Start(router)
		return
	}
	p.signals(router, s.Signals, hand)
	time.AfterFunc(p.f.killAfter(), func() {
		p.say(router, "killed if it still runs")
		hand.KillTerminated(router)
	})
}

// interrupt holds a process up again and again while the step lasts, at times that the day's seed gives.
func (p *player) interrupt(router int, s *Step, hand standin.Control) {
	r := rand.New(rand.NewPCG(p.f.Day.Seed, uint64(router)))
	end := time.Now().Add(s.For.D())
	var next func()
	next = func() {
		if time.Now().After(end) {
			return
		}
		hand.Interrupt(router, leastInterrupt+time.Duration(r.Int64N(int64(mostInterrupt-leastInterrupt))))
		time.AfterFunc(mostInterrupt+time.Duration(r.Int64N(int64(2*(betweenInterrupt-mostInterrupt)))), next)
	}
	next()
}

// crowd has idle connections come to a router, or leaves.
func (p *player) crowd(router int, s *Step, on bool, hand standin.Control) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.crowds[router] = hand.Crowd(router, s.Crowd)
	} else if release := p.crowds[router]; release != nil {
		release()
	}
}
