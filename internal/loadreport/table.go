// Package loadreport keeps what servers report of their load in their answers, for operators to read. It does no I/O and
// knows no clock. The decisions do not use it: in 36 days of a site that reports, a queue that is told half a second
// late took more from the windows than it gave (docs/design/deployments.md).
package loadreport

import (
	"math"
	"sync"

	"hoptiller/internal/meta"
)

// Table has the latest report of each server. It may be used by many goroutines.
type Table struct {
	names []string

	mu             sync.Mutex
	latest         map[uint32][]float64
	room           []float64 // into which a report is read
	taken, dropped int64
}

// New returns a Table of reports that carry the named figures, in the settings' words; of none it takes none.
func New(names []string) *Table {
	return &Table{names: names, latest: map[uint32][]float64{}, room: make([]float64, len(names))}
}

// Take takes the report of a server. One that can't be read is counted and changes nothing.
func (t *Table) Take(server uint32, report []byte) {
	if len(t.names) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !meta.ParseReport(report, t.names, t.room) {
		t.dropped++
		return
	}
	t.taken++
	kept := t.latest[server]
	if kept == nil {
		kept = make([]float64, len(t.names))
	}
	copy(kept, t.room)
	t.latest[server] = kept
}

// Forget drops what is kept of a server.
func (t *Table) Forget(server uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.latest, server)
}

// Summary is what all servers report.
type Summary struct {
	Taken   int64              `json:"taken"`
	Dropped int64              `json:"dropped"` // that could not be read
	Servers int                `json:"servers"` // that have reported
	Mean    map[string]float64 `json:"mean"`    // of each figure, over the latest of those that tell it
	Most    map[string]float64 `json:"most"`
}

// Summary tells what is kept; it is nil where there are no reports to take.
func (t *Table) Summary() *Summary {
	if len(t.names) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &Summary{Taken: t.taken, Dropped: t.dropped, Servers: len(t.latest), Mean: map[string]float64{}, Most: map[string]float64{}}
	for i, name := range t.names {
		sum, n := 0.0, 0
		for _, figures := range t.latest {
			if x := figures[i]; !math.IsNaN(x) {
				sum, n = sum+x, n+1
				s.Most[name] = max(s.Most[name], x)
			}
		}
		if n > 0 {
			s.Mean[name] = sum / float64(n)
		}
	}
	return s
}
