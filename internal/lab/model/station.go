package model

import (
	"slices"
	"time"
)

// station models a server with several slots and a queue. Each slot works on one job at a time.
type station struct {
	queue      *Queue
	slots      int
	queueLimit int // jobs that may wait in the queue
	slotRate   func() float64
	workOf     func(*job) (work float64) // returns the work of a job when the job starts
	finished   func(*job)
	expired    func(*job) bool // reports whether a job has waited too long and is removed from the queue; nil removes none
	busySlots  int
	waiting    []*job
}

// job is one piece of work at a station.
type job struct {
	call      *Call // nil for the work of a new connection
	work      float64
	enteredAt time.Duration // when the job arrived; later when it started
	state     uint8
	runNumber int // counts the starts; the end of an earlier run is ignored
}

const (
	jobNew = iota
	jobWaiting
	jobRunning
	jobDone
)

// add starts or queues a job. It returns false if the queue is full, unless ignoreLimit is set.
func (s *station) add(j *job, ignoreLimit bool) bool {
	j.enteredAt = s.queue.Now()
	switch {
	case s.busySlots < s.slots:
		s.start(j)
	case ignoreLimit || len(s.waiting) < s.queueLimit:
		j.state = jobWaiting
		s.waiting = append(s.waiting, j)
	default:
		return false
	}
	return true
}

func (s *station) start(j *job) {
	if j.call != nil {
		j.work = s.workOf(j)
	}
	s.busySlots++
	j.state, j.enteredAt = jobRunning, s.queue.Now()
	j.runNumber++
	run := j.runNumber
	s.queue.After(seconds(j.work/s.slotRate()), func() {
		if j.state == jobRunning && j.runNumber == run {
			j.state = jobDone
			s.busySlots--
			s.startWaiting()
			if j.call != nil {
				s.finished(j)
			}
		}
	})
}

func (s *station) startWaiting() {
	for len(s.waiting) > 0 && s.busySlots < s.slots {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		if s.expired != nil && s.expired(j) {
			j.state = jobDone
			continue
		}
		s.start(j)
	}
}

// cancel stops a job and returns how much of its work has been done in vain.
func (s *station) cancel(j *job) (done float64) {
	switch j.state {
	case jobWaiting:
		if i := slices.Index(s.waiting, j); i >= 0 {
			s.waiting = slices.Delete(s.waiting, i, i+1)
		}
	case jobRunning:
		done = min(j.work, (s.queue.Now()-j.enteredAt).Seconds()*s.slotRate())
		s.busySlots--
		defer s.startWaiting()
	}
	j.state = jobDone
	return done
}

// clear drops all jobs, as happens when a process ends.
func (s *station) clear() {
	for _, j := range s.waiting {
		j.state = jobDone
	}
	s.waiting, s.busySlots = nil, 0
}
