package front

import (
	"cmp"
	"slices"
	"time"
)

const (
	settled = 100 * time.Millisecond // without a first command after which a connection may make room for another
	atOnce  = 16                     // connections that make room together
)

// makeRoom waits for a place. Clients that connect and say nothing, or half a command, must not keep the
// others out, so where there is no place the connection goes that has been without a command longest: those
// that never had one first, then those that may ask again on a new one.
func (f *Front) makeRoom(places chan struct{}) {
	for {
		select {
		case places <- struct{}{}:
			return
		default:
		}
		f.evict(time.Now())
		select {
		case places <- struct{}{}:
			return
		case <-time.After(settled / 10):
		}
	}
}

// evict has connections make room. Several go at once, for they may come by the hundred; of those that have
// asked only one does.
func (f *Front) evict(now time.Time) {
	type candidate struct {
		*conn
		idle time.Duration
		used bool
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var candidates []candidate
	ending := 0
	for c := range f.conns {
		idle, going, used := c.idle(now)
		if going {
			ending++
		} else if idle > 0 {
			candidates = append(candidates, candidate{c, idle, used})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.idle, a.idle) })
	for _, c := range candidates {
		if ending >= atOnce || c.used && ending > 0 {
			return
		}
		c.endIfIdle(0)
		ending++
	}
}

// thin ends the connection that was used longest ago where many are kept: clients hold only so many at once,
// and those that ask once and keep theirs would leave the others none to ask on.
func (f *Front) thin(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var oldest *conn
	var most time.Duration
	kept := 0
	for c := range f.conns {
		idle, going, used := c.idle(now)
		if !used || going {
			continue
		}
		if kept++; idle > most {
			oldest, most = c, idle
		}
	}
	if f.MostKept > 0 && kept > f.MostKept && oldest != nil {
		oldest.endIfIdle(0)
	}
}
