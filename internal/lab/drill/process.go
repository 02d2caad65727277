package drill

import (
	"math/rand/v2"
	"syscall"
	"time"

	"hoptiller/internal/lab/standin"
)

const (
	killMargin      = 700 * time.Millisecond // SIGKILL follows the longest deadline after SIGTERM by this, as on the platform
	maxKillDeadline = 3 * time.Second        // longer deadlines don't delay SIGKILL further
	minPause        = 75 * time.Millisecond  // shortest pause of a process that is paused repeatedly
	maxPause        = 150 * time.Millisecond
	pauseInterval   = 350 * time.Millisecond // mean time from the beginning of one pause to the next
)

// killDelay returns the shortest time after SIGTERM after which the platform kills a process.
func (f *File) killDelay() time.Duration {
	var longest time.Duration
	for _, c := range f.Day.Classes {
		longest = max(longest, c.Deadline.Std())
	}
	return min(longest, maxKillDeadline) + killMargin
}

// sendSignals sends signals to a router's process, one right after another.
func (p *player) sendSignals(router int, names []string, control standin.Control) {
	for _, name := range names {
		p.record(router, "signal: %s", name)
		control.Signal(router, map[string]syscall.Signal{"hup": syscall.SIGHUP, "term": syscall.SIGTERM}[name])
	}
}

// restart ends a process as early as the platform may, and starts it again when the step ends.
func (p *player) restart(router int, s *Step, on bool, control standin.Control) {
	if !on {
		p.record(router, "started")
		control.Start(router)
		return
	}
	p.sendSignals(router, s.Signals, control)
	time.AfterFunc(p.drill.killDelay(), func() {
		p.record(router, "killed if it still runs")
		control.KillTerminated(router)
	})
}

// pauseRepeatedly pauses a process again and again while the step lasts, at random times that derive from the day's seed.
func (p *player) pauseRepeatedly(router int, s *Step, control standin.Control) {
	r := rand.New(rand.NewPCG(p.drill.Day.Seed, uint64(router)))
	end := time.Now().Add(s.Duration.Std())
	var next func()
	next = func() {
		if time.Now().After(end) {
			return
		}
		control.Interrupt(router, minPause+time.Duration(r.Int64N(int64(maxPause-minPause))))
		time.AfterFunc(maxPause+time.Duration(r.Int64N(int64(2*(pauseInterval-maxPause)))), next)
	}
	next()
}

// setClients connects a step's clients to a router by calling open, or disconnects them if on is false.
func (p *player) setClients(router int, s *Step, on bool, open func() (release func())) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := stepTarget{router, s}
	if on {
		p.disconnect[key] = open()
	} else if release := p.disconnect[key]; release != nil {
		release()
	}
}
