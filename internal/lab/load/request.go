package load

import "time"

const (
	lateAfter  = 10 * time.Millisecond // a request that is sent so much after it was due is late
	minBackoff = time.Millisecond      // before a retry
)

// request is one request that is due.
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
	lost // the connection ended, or no response came within the deadline
)

// send carries one request to its end, with the retries of a client that is rejected.
func (r *run) send(q request) {
	class := &r.plan.Classes[q.class]
	deadline := q.due.Add(class.Deadline)
	var result outcome
	retries := 0
	for {
		var after time.Duration
		result, after = r.attempt(q, retries, deadline)
		if result != refused || retries >= r.plan.Retries || time.Now().Add(after).After(deadline) {
			break
		}
		retries++
		time.Sleep(max(after, minBackoff))
	}
	r.record(q, result, retries, time.Since(q.due))
}

// record counts a finished request.
func (r *run) record(q request, result outcome, retries int, took time.Duration) {
	class := &r.plan.Classes[q.class]
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.counts[q.class]
	c.sent++
	c.retries += retries
	c.askedWorth += class.Worth
	switch result {
	case served:
		c.served++
		c.latencies.RecordValue(max(minLatency, took.Microseconds()))
		if took <= class.Aim {
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

// attempt makes the n-th attempt at a request, from 0. after is when a rejected request may be tried
// again.
func (r *run) attempt(q request, n int, deadline time.Time) (result outcome, after time.Duration) {
	c, reused := r.conns.get(q.id)
	if c == nil {
		return lost, 0
	}
	if n == 0 && time.Since(q.due) >= lateAfter {
		r.mu.Lock()
		r.late++
		r.mu.Unlock()
	}
	result, after, usable := r.exchange(c, q, n, deadline)
	if !usable && reused && result == lost && time.Now().Before(deadline) {
		// The router may have closed the idle connection at just that moment: once more, on a new one.
		if c = r.conns.replace(c, q.id); c == nil {
			return lost, 0
		}
		result, after, usable = r.exchange(c, q, n, deadline)
	}
	if usable {
		r.conns.put(c)
	} else {
		r.conns.drop(c)
	}
	return result, after
}
