// Package metrics counts the requests, attempts and other events of a router and makes the
// snapshot that operators read. Counting takes no lock.
package metrics

import (
	"sync/atomic"

	"hoptiller/internal/loadreport"
)

// Result says how a request ended.
type Result uint8

// The results of a request.
const (
	Completed Result = iota // answered with a value, or with the confirmation of a write
	Rejected                // rejected: the client may retry
	Failed                  // answered with an error
	resultCount
)

// Counters counts the requests and attempts of one process from its start. Classes are given by
// their index in the settings. It is safe for concurrent use.
type Counters struct {
	classes        []string
	finished       [][resultCount]atomic.Int64 // by class
	late           []atomic.Int64              // completed after the target latency, by class
	pending        atomic.Int64
	upstream       atomic.Int64
	repeatedChecks atomic.Int64 // final checks that had to be repeated
}

// New returns Counters for the classes with these names.
func New(classes []string) *Counters {
	return &Counters{
		classes:  classes,
		finished: make([][resultCount]atomic.Int64, len(classes)),
		late:     make([]atomic.Int64, len(classes)),
	}
}

// Accepted counts a request that has been accepted from a client and is pending now.
func (c *Counters) Accepted() { c.pending.Add(1) }

// Finished counts the result of a request that was accepted; it is no longer pending.
func (c *Counters) Finished(class int, result Result) {
	c.finished[class][result].Add(1)
	c.pending.Add(-1)
}

// Late counts a request that was completed after the target latency of its class.
func (c *Counters) Late(class int) { c.late[class].Add(1) }

// AttemptSent counts an attempt that was written completely to a cache server or the origin.
func (c *Counters) AttemptSent() { c.upstream.Add(1) }

// CheckRepeated counts a final check that had to be repeated because the process was paused between the check and the first
// byte of the attempt.
func (c *Counters) CheckRepeated() { c.repeatedChecks.Add(1) }

// AcceptedTotal returns the number of requests accepted since the start, pending ones included.
func (c *Counters) AcceptedTotal() int64 {
	total := int64(0)
	for class := range c.finished {
		for result := range c.finished[class] {
			total += c.finished[class][result].Load()
		}
	}
	return total + c.pending.Load()
}

// Downstream holds the finished requests of one class by result.
type Downstream struct {
	Completed int64 `json:"completed"`
	Rejected  int64 `json:"rejected"`
	Failed    int64 `json:"failed"`
}

// Snapshot is what operators read. The JSON names are part of the operators' interface.
type Snapshot struct {
	Downstream     map[string]Downstream `json:"downstream_requests"`     // by class
	Late           map[string]int64      `json:"late_requests,omitempty"` // by class: completed after the target latency
	Upstream       int64                 `json:"upstream_requests"`       // attempts sent to cache servers and the origin
	RepeatedChecks int64                 `json:"looks_again,omitempty"`   // final checks that had to be repeated
	Pending        int64                 `json:"pending"`                 // requests accepted and not finished
	Members        int                   `json:"members"`
	Unavailable    int                   `json:"members_unavailable"`
	Reports        *loadreport.Summary   `json:"load_reports,omitempty"` // load reports of the cache servers
}

// Snapshot returns the counters as they are now. The caller fills in what it knows of the fleet:
// Members, Unavailable and Reports.
func (c *Counters) Snapshot() Snapshot {
	s := Snapshot{
		Downstream:     make(map[string]Downstream, len(c.classes)),
		Upstream:       c.upstream.Load(),
		RepeatedChecks: c.repeatedChecks.Load(),
		Pending:        c.pending.Load(),
	}
	for class, name := range c.classes {
		finished := &c.finished[class]
		s.Downstream[name] = Downstream{
			Completed: finished[Completed].Load(),
			Rejected:  finished[Rejected].Load(),
			Failed:    finished[Failed].Load(),
		}
		if late := c.late[class].Load(); late > 0 {
			if s.Late == nil {
				s.Late = map[string]int64{}
			}
			s.Late[name] = late
		}
	}
	return s
}
