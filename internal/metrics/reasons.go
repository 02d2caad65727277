package metrics

import "sync/atomic"

// Reasons counts events by their reason. It is safe for concurrent use.
type Reasons struct {
	names  []string
	counts []atomic.Int64
}

// NewReasons returns Reasons for the reasons with these names. They are given by their index.
func NewReasons(names []string) *Reasons {
	return &Reasons{names: names, counts: make([]atomic.Int64, len(names))}
}

// Add counts one event.
func (r *Reasons) Add(reason int) { r.counts[reason].Add(1) }

// Counts returns the reasons that were counted, by name; nil where there are none.
func (r *Reasons) Counts() map[string]int64 {
	var counts map[string]int64
	for reason, name := range r.names {
		n := r.counts[reason].Load()
		if n == 0 {
			continue
		}
		if counts == nil {
			counts = map[string]int64{}
		}
		counts[name] = n
	}
	return counts
}
