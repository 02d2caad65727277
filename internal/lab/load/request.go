package load

import "time"

const (
	lateAfter  = 10 * time.Millisecond // a request is late if it is sent this much after it was due
	minBackoff = time.Millisecond      // minimum wait before a retry
)

// request is one request and the time at which it is due.
type request struct {
	id    uint64
	key   uint64
	class int
	due   time.Time
}

// outcome is how a request, or one attempt at it, ended.
type outcome uint8

const (
	served outcome = iota
	refused
	failed
	lost // the connection was closed, or no response came within the deadline
)

// send sends one request, retries it while it is refused, and records its result.
func (r *run) send(q request) {
	class := &r.plan.Classes[q.class]
	deadline := q.due.Add(class.Deadline)
	var result outcome
	retries := 0
	for {
		var retryAfter time.Duration
		result, retryAfter = r.attempt(q, retries, deadline)
		if result != refused || retries >= r.plan.MaxRetries || time.Now().Add(retryAfter).After(deadline) {
			break
		}
		retries++
		time.Sleep(max(retryAfter, minBackoff))
	}
	r.record(q, result, retries, time.Since(q.due))
}

// record counts a finished request and its latency.
func (r *run) record(q request, result outcome, retries int, latency time.Duration) {
	class := &r.plan.Classes[q.class]
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.counts[q.class]
	c.sent++
	c.retries += retries
	c.requestedWorth += class.Worth
	switch result {
	case served:
		c.served++
		c.latencies.RecordValue(max(minLatency, latency.Microseconds()))
		if latency <= class.Aim {
			c.servedWorth += class.Worth
		}
	case refused:
		c.refused++
	case failed:
		c.failed++
	default:
		c.lost++
	}
}

// attempt makes the n-th attempt at a request, counted from 0. retryAfter is how long the client of a refused request
// shall wait before a retry.
func (r *run) attempt(q request, n int, deadline time.Time) (result outcome, retryAfter time.Duration) {
	c, reused := r.conns.get(q.id)
	if c == nil {
		return lost, 0
	}
	if n == 0 && time.Since(q.due) >= lateAfter {
		r.mu.Lock()
		r.late++
		r.mu.Unlock()
	}
	result, retryAfter, usable := r.exchange(c, q, n, deadline)
	if !usable && reused && result == lost && time.Now().Before(deadline) {
		// The router may have closed the idle connection at the same moment, so the request is sent again on a new one.
		if c = r.conns.replace(c, q.id); c == nil {
			return lost, 0
		}
		result, retryAfter, usable = r.exchange(c, q, n, deadline)
	}
	if usable {
		r.conns.put(c)
	} else {
		r.conns.drop(c)
	}
	return result, retryAfter
}
