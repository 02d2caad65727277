package metrics

import "sync/atomic"

// Reasons counts events by their reason. It is safe for concurrent use.
type Reasons struct {
	names  []string
	counts []atomic.Int64
}

// NewReasons returns Reasons that count the reasons with these names. A reason is given by its index in names.
func NewReasons(names []string) *Reasons {
	return &Reasons{names: names, counts: make([]atomic.Int64, len(names))}
}

// Add counts one event with a reason.
func (r *Reasons) Add(reason int) { r.counts[reason].Add(1) }

// Counts returns the counts that are not 0, by the name of the reason, or nil if there are none.
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
