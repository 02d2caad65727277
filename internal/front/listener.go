package front

import (
	"net"
	"time"
)

// lastAcceptsTime is how long a listener that is to close finds nobody to accept before it does.
const lastAcceptsTime = 5 * time.Millisecond

// deadliner is a listener whose Accept can be told to end.
type deadliner interface{ SetDeadline(time.Time) error }

// stopAccepting has a listener's Accept end with os.ErrDeadlineExceeded, or with net.ErrClosed where it knows no deadline.
func stopAccepting(l net.Listener) {
	if d, ok := l.(deadliner); !ok || d.SetDeadline(time.Now()) != nil {
		l.Close()
	}
}

// lastAccepts is the end of a listener. A close resets whoever waits to be accepted, and after a hold-up of the process many may: they are
// accepted first.
type lastAccepts struct{ begun time.Time }

// goOn has the listener accept for a last while, unless it has found nobody for such a while. Where that took longer, the process was held
// up, and may not have looked at all.
func (a *lastAccepts) goOn(l net.Listener) bool {
	if !a.begun.IsZero() && time.Since(a.begun) < 2*lastAcceptsTime {
		return false
	}
	d, ok := l.(deadliner)
	a.begun = time.Now()
	return ok && d.SetDeadline(a.begun.Add(lastAcceptsTime)) == nil
}
