// Package loadreport holds the load reports that servers send in their answers, for operators to read. It does no I/O and
// reads no clock. The router's decisions do not use the reports: in 36 days of a site whose servers report, queue lengths that
// arrived half a second late did the concurrency windows more harm than good (docs/design/deployments.md).
package loadreport

import (
	"math"
	"sync"

	"hoptiller/internal/meta"
)

// Table holds the latest report of each server. It is safe for concurrent use.
type Table struct {
	names []string // of the figures in a report

	mu                sync.Mutex
	latest            map[uint32][]float64 // by server; NaN for a figure that was not reported
	parsed            []float64            // buffer into which a report is parsed
	accepted, dropped int64                // numbers of reports
}

// New returns a Table for reports that carry the named figures, as the settings name them. Without names it ignores all reports.
func New(names []string) *Table {
	return &Table{names: names, latest: map[uint32][]float64{}, parsed: make([]float64, len(names))}
}

// Record records the report of a server. A report that can't be parsed is only counted as dropped.
func (t *Table) Record(server uint32, report []byte) {
	if len(t.names) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !meta.ParseReport(report, t.names, t.parsed) {
		t.dropped++
		return
	}
	t.accepted++
	figures := t.latest[server]
	if figures == nil {
		figures = make([]float64, len(t.names))
	}
	copy(figures, t.parsed)
	t.latest[server] = figures
}

// Forget removes the report of a server.
func (t *Table) Forget(server uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.latest, server)
}

// Summary is a summary of the latest reports of all servers.
type Summary struct {
	Accepted int64              `json:"taken"`
	Dropped  int64              `json:"dropped"` // reports that could not be parsed
	Servers  int                `json:"servers"` // number of servers that have reported
	Mean     map[string]float64 `json:"mean"`    // of each figure, over the latest reports that contain it
	Max      map[string]float64 `json:"most"`
}

// Summary returns a summary of the latest reports, or nil if the Table was made without names.
func (t *Table) Summary() *Summary {
	if len(t.names) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &Summary{Accepted: t.accepted, Dropped: t.dropped, Servers: len(t.latest),
		Mean: map[string]float64{}, Max: map[string]float64{}}
	for i, name := range t.names {
		sum, n := 0.0, 0
		for _, figures := range t.latest {
			if x := figures[i]; !math.IsNaN(x) {
				sum, n = sum+x, n+1
				s.Max[name] = max(s.Max[name], x)
			}
		}
		if n > 0 {
			s.Mean[name] = sum / float64(n)
		}
	}
	return s
}
