// Package figures counts what a router does, where it happens, and makes the one snapshot that operators read.
// To count takes no lock.
package figures

import (
	"sync/atomic"

	"hoptiller/internal/loads"
)

// End is how an invocation ended.
type End uint8

// The ends.
const (
	Completed End = iota
	Rejected
	Failed
	ends
)

// Counts are the figures of one process, from its start.
type Counts struct {
	classes  []string
	ended    []([ends]atomic.Int64) // by class
	late     []atomic.Int64         // of those completed
	pending  atomic.Int64
	upstream atomic.Int64
}

// New returns Counts for classes, by number.
func New(classes []string) *Counts {
	return &Counts{classes: classes, ended: make([][ends]atomic.Int64, len(classes)), late: make([]atomic.Int64, len(classes))}
}

// Taken counts an invocation that has been taken.
func (c *Counts) Taken() { c.pending.Add(1) }

// Ended counts the end of one that was taken.
func (c *Counts) Ended(class int, how End) {
	c.ended[class][how].Add(1)
	c.pending.Add(-1)
}

// Late counts one that was completed after the time that its class aims at.
func (c *Counts) Late(class int) { c.late[class].Add(1) }

// Called counts an invoker call that was written whole, to a slot cache or the origin.
func (c *Counts) Called() { c.upstream.Add(1) }

// Requests is how many invocations have been taken since the start.
func (c *Counts) Requests() (n int64) {
	for i := range c.ended {
		for k := range c.ended[i] {
			n += c.ended[i][k].Load()
		}
	}
	return n + c.pending.Load()
}

// Downstream is what became of the invocations of a class.
type Downstream struct {
	Completed int64 `json:"completed"`
	Rejected  int64 `json:"rejected"`
	Failed    int64 `json:"failed"`
}

// Snapshot is what operators read.
type Snapshot struct {
	Downstream  map[string]Downstream `json:"downstream_requests"`
	Late        map[string]int64      `json:"late_requests,omitempty"` // completed after the time that the class aims at
	Upstream    int64                 `json:"upstream_requests"`
	Pending     int64                 `json:"pending"`
	Members     int                   `json:"members"`
	Unavailable int                   `json:"members_unavailable"`
	Reports     *loads.Summary        `json:"load_reports,omitempty"` // of the slot caches
}

// Snapshot tells the figures as they are; what is known of the fleet is the caller's to add.
func (c *Counts) Snapshot() Snapshot {
	s := Snapshot{Downstream: make(map[string]Downstream, len(c.classes)), Upstream: c.upstream.Load(), Pending: c.pending.Load()}
	for i, name := range c.classes {
		e := &c.ended[i]
		s.Downstream[name] = Downstream{e[Completed].Load(), e[Rejected].Load(), e[Failed].Load()}
		if n := c.late[i].Load(); n > 0 {
			if s.Late == nil {
				s.Late = map[string]int64{}
			}
			s.Late[name] = n
		}
	}
	return s
}
