package model

import (
	"slices"
	"time"
)

// station is a number of places at which work is done one piece each, with a
// waiting line before them.
type station struct {
	q       *Queue
	places  int
	room    int // in the waiting line
	rate    func() float64
	began   func(*job) (work float64) // what a piece takes, known when it begins
	ended   func(*job)
	stale   func(*job) bool // takes what has waited too long off the line; nil: nothing does
	busy    int
	waiting []*job
}

// job is one piece of work.
type job struct {
	call  *Call // nil for the work of a new connection
	work  float64
	since time.Duration // when it came, then when it began
	state uint8
	run   int // ends of earlier runs do not count
}

const (
	jobNew = iota
	jobWaiting
	jobBegun
	jobOver
)

// add takes a piece of work, or tells that there is no room.
func (s *station) add(j *job, force bool) bool {
	j.since = s.q.Now()
	switch {
	case s.busy < s.places:
		s.begin(j)
	case force || len(s.waiting) < s.room:
		j.state = jobWaiting
		s.waiting = append(s.waiting, j)
	default:
		return false
	}
	return true
}

func (s *station) begin(j *job) {
	if j.call != nil {
		j.work = s.began(j)
	}
	s.busy++
	j.state, j.since = jobBegun, s.q.Now()
	j.run++
	run := j.run
	s.q.After(seconds(j.work/s.rate()), func() {
		if j.state == jobBegun && j.run == run {
			j.state = jobOver
			s.busy--
			s.next()
			if j.call != nil {
				s.ended(j)
			}
		}
	})
}

func (s *station) next() {
	for len(s.waiting) > 0 && s.busy < s.places {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		if s.stale != nil && s.stale(j) {
			j.state = jobOver
			continue
		}
		s.begin(j)
	}
}

// cancel stops a piece of work and tells how much of it was done in vain.
func (s *station) cancel(j *job) (done float64) {
	switch j.state {
	case jobWaiting:
		if i := slices.Index(s.waiting, j); i >= 0 {
			s.waiting = slices.Delete(s.waiting, i, i+1)
		}
	case jobBegun:
		done = min(j.work, (s.q.Now()-j.since).Seconds()*s.rate())
		s.busy--
		defer s.next()
	}
	j.state = jobOver
	return done
}

// clear forgets all work, as the end of a process does.
func (s *station) clear() {
	for _, j := range s.waiting {
		j.state = jobOver
	}
	s.waiting, s.busy = nil, 0
}
