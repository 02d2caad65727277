package model

import "time"

// Queue holds the scheduled steps of a simulation. Steps that are due at the same time run in the order in
// which they were scheduled, so the same schedule always gives the same trace. Queue never looks at a clock:
// its driver decides whether a step takes real time.
type Queue struct {
	now      time.Duration
	sequence uint64
	entries  []entry // a binary heap of values; container/heap would allocate for each entry
}

type entry struct {
	at       time.Duration
	sequence uint64
	run      func()
}

func (e *entry) isBefore(other *entry) bool {
	return e.at < other.at || e.at == other.at && e.sequence < other.sequence
}

// Now returns the time of the latest step. The day starts at 0.
func (q *Queue) Now() time.Duration { return q.now }

// After schedules run for the time d from now. A negative d counts as 0.
func (q *Queue) After(d time.Duration, run func()) { q.At(q.now+max(d, 0), run) }

// At schedules run for the given time, or for now if that time has passed.
func (q *Queue) At(at time.Duration, run func()) {
	q.sequence++
	added := entry{max(at, q.now), q.sequence, run}
	q.entries = append(q.entries, added)
	i := len(q.entries) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !added.isBefore(&q.entries[parent]) {
			break
		}
		q.entries[i] = q.entries[parent]
		i = parent
	}
	q.entries[i] = added
}

// Due returns the time of the next step; ok is false if no step is scheduled.
func (q *Queue) Due() (time.Duration, bool) {
	if len(q.entries) == 0 {
		return 0, false
	}
	return q.entries[0].at, true
}

// RunUntil runs all steps that are due up to the given time and then sets the current time to it.
func (q *Queue) RunUntil(until time.Duration) {
	for len(q.entries) > 0 && q.entries[0].at <= until {
		first := q.entries[0]
		q.pop()
		q.now = first.at
		first.run()
	}
	q.now = max(q.now, until)
}

func (q *Queue) pop() {
	last := len(q.entries) - 1
	moved := q.entries[last]
	q.entries[last] = entry{}
	q.entries = q.entries[:last]
	if last == 0 {
		return
	}
	i := 0
	for {
		child := 2*i + 1
		if child >= last {
			break
		}
		if child+1 < last && q.entries[child+1].isBefore(&q.entries[child]) {
			child++
		}
		if !q.entries[child].isBefore(&moved) {
			break
		}
		q.entries[i] = q.entries[child]
		i = child
	}
	q.entries[i] = moved
}
