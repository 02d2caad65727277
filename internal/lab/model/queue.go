package model

import "time"

// Queue is the order in which things happen. What falls due at the same time
// happens in the order in which it was asked for, so that the same requests
// always give the same course. It never looks at a clock: whoever drives it
// decides whether a step takes real time.
type Queue struct {
	now  time.Duration
	seq  uint64
	heap []entry // a binary heap of values: container/heap would allocate for each
}

type entry struct {
	at  time.Duration
	seq uint64
	run func()
}

func (e *entry) before(o *entry) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// Now is the time of the latest step, from 0 at the start of the day.
func (q *Queue) Now() time.Duration { return q.now }

// After has something happen when d has passed; a d under 0 counts as 0.
func (q *Queue) After(d time.Duration, run func()) { q.At(q.now+max(d, 0), run) }

// At has something happen at a time, or now if that is over.
func (q *Queue) At(at time.Duration, run func()) {
	q.seq++
	e := entry{max(at, q.now), q.seq, run}
	q.heap = append(q.heap, e)
	i := len(q.heap) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !e.before(&q.heap[parent]) {
			break
		}
		q.heap[i] = q.heap[parent]
		i = parent
	}
	q.heap[i] = e
}

// Due tells when the next step is due, if there is one.
func (q *Queue) Due() (time.Duration, bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// RunUntil takes all steps that are due by a time, which is then the present.
func (q *Queue) RunUntil(until time.Duration) {
	for len(q.heap) > 0 && q.heap[0].at <= until {
		first := q.heap[0]
		q.pop()
		q.now = first.at
		first.run()
	}
	q.now = max(q.now, until)
}

func (q *Queue) pop() {
	last := len(q.heap) - 1
	e := q.heap[last]
	q.heap[last] = entry{}
	q.heap = q.heap[:last]
	if last == 0 {
		return
	}
	i := 0
	for {
		child := 2*i + 1
		if child >= last {
			break
		}
		if child+1 < last && q.heap[child+1].before(&q.heap[child]) {
			child++
		}
		if !q.heap[child].before(&e) {
			break
		}
		q.heap[i] = q.heap[child]
		i = child
	}
	q.heap[i] = e
}
