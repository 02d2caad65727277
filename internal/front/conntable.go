package front

import (
	"container/list"
	"sync"
	"time"
)

const (
	silentEvictAge = 100 * time.Millisecond // age from which a connection without a first command may be evicted
	freshEvictAge  = 20 * time.Millisecond  // the same if otherwise only connections with a partial command could be evicted
	maxEnding      = 16                     // connections that may be ending at the same time to free slots
)

// connState is the state of a connection that decides when it may be evicted.
type connState uint8

const (
	busy       connState = iota // a command is open
	silent                      // no command has arrived yet
	midCommand                  // a command has arrived in part
	idle                        // all commands are answered; the client may send the next one here or on a new connection
	ending                      // the connection ends at once
	connStateCount
)

// connTable holds the connections by state. Each list is in the order in which the connections entered the state, so that
// finding the next one to evict takes the same time for any number of connections.
type connTable struct {
	mu    sync.Mutex
	lists [connStateCount]list.List
}

// setState moves a connection to a state. It adds a connection that the table does not hold yet.
func (t *connTable) setState(c *conn, state connState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.listEntry != nil {
		if state == c.state {
			return
		}
		t.lists[c.state].Remove(c.listEntry)
	}
	c.state, c.stateSince = state, time.Now()
	c.listEntry = t.lists[state].PushBack(c)
}

// remove removes a connection from the table.
func (t *connTable) remove(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lists[c.state].Remove(c.listEntry)
}

// all returns all connections in the table.
func (t *connTable) all() (conns []*conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.lists {
		for e := t.lists[i].Front(); e != nil; e = e.Next() {
			conns = append(conns, e.Value.(*conn))
		}
	}
	return conns
}

// oldest returns the connection that has been in a state longest, or nil if that is less than minAge. t.mu is held.
func (t *connTable) oldest(state connState, now time.Time, minAge time.Duration) *conn {
	if e := t.lists[state].Front(); e != nil && now.Sub(e.Value.(*conn).stateSince) >= minAge {
		return e.Value.(*conn)
	}
	return nil
}

// evictionCandidate returns the connection to evict next, or nil if none is to be evicted now. The order is: a connection
// that never sent anything, then one whose command has been incomplete for maxCommandTime. Up to maxEnding of these end at
// the same time, since they may arrive by the hundred. The others end one at a time: an idle connection, whose client may
// open a new one, then a recent silent one, and finally one whose command may still arrive completely. Of these the oldest
// is evicted, since most commands that do arrive take less time.
func (t *connTable) evictionCandidate(now time.Time) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	endingCount := t.lists[ending].Len()
	if endingCount >= maxEnding {
		return nil
	}
	if c := t.oldest(silent, now, silentEvictAge); c != nil {
		return c
	}
	if c := t.oldest(midCommand, now, maxCommandTime); c != nil {
		return c
	}
	if endingCount > 0 {
		return nil
	}
	if c := t.oldest(idle, now, 0); c != nil {
		return c
	}
	if t.lists[silent].Len() > 0 { // its first command may be on its way
		return t.oldest(silent, now, freshEvictAge)
	}
	return t.oldest(midCommand, now, 0)
}

// surplusConn returns the connection to end if clients hold too many, else nil. If the connections that have sent a command
// are more than maxUsed, it returns the longest idle one. If the connections that have sent at least a part of a command
// are more than maxStarted, it returns the longest idle one as well, or else the one whose command has been incomplete longest.
// A limit of 0 means no limit.
func (t *connTable) surplusConn(maxUsed, maxStarted int) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	used := t.lists[busy].Len() + t.lists[idle].Len()
	started := used + t.lists[midCommand].Len()
	if maxUsed > 0 && used > maxUsed || maxStarted > 0 && started > maxStarted {
		if c := t.oldest(idle, time.Now(), 0); c != nil {
			return c
		}
	}
	if maxStarted > 0 && started > maxStarted {
		return t.oldest(midCommand, time.Now(), 0)
	}
	return nil
}

// acquireSlot takes a connection slot. It waits for a free slot until stop is closed. Clients that connect and send nothing,
// or only a part of a command, must not keep others out, so acquireSlot evicts a connection if no slot is free.
func (f *Front) acquireSlot(slots chan struct{}, stop <-chan struct{}) (acquired bool) {
	for {
		select {
		case slots <- struct{}{}:
			return true
		default:
		}
		if c := f.conns.evictionCandidate(time.Now()); c != nil {
			c.endIfIdle(0, CloseEvicted)
		}
		select {
		case slots <- struct{}{}:
			return true
		case <-stop:
			return false
		case <-time.After(silentEvictAge / 10):
		}
	}
}

// endSurplusConn ends a connection if clients hold too many. The clients together hold a limited number of connections at
// once. Clients that send one command and keep the connection, or that send a command slowly, would leave no connection to
// the other clients.
func (f *Front) endSurplusConn() {
	if c := f.conns.surplusConn(f.MaxUsedConns, f.MaxStartedConns); c != nil {
		c.endIfIdle(0, CloseEvicted)
	}
}
