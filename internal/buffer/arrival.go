package buffer

import "time"

// arrivalStep is how far apart in time two parts of what is left over must have come to be told apart: whoever sends byte by byte
// must not make the list of parts longer than what it sends.
const arrivalStep = 10 * time.Millisecond

// arrival says by when the bytes up to an offset had come at the earliest.
type arrival struct {
	end int // offset behind the last of them
	at  time.Time
}

// arrivals are the parts of what a Reader has left over, in order.
type arrivals []arrival

// add tells that there are bytes up to end, and that those which are new came at a time. Of parts that came close together the
// earlier time holds for all.
func (a *arrivals) add(end int, at time.Time) {
	if last := len(*a) - 1; last >= 0 && at.Sub((*a)[last].at) < arrivalStep {
		(*a)[last].end = end
		return
	}
	*a = append(*a, arrival{end, at})
}

// drop takes the first n bytes off.
func (a *arrivals) drop(n int) {
	kept := (*a)[:0]
	for _, part := range *a {
		if part.end > n {
			kept = append(kept, arrival{part.end - n, part.at})
		}
	}
	if *a = kept; len(kept) == 0 {
		*a = nil
	}
}

// before is when the byte in front of an offset had come.
func (a arrivals) before(offset int) (at time.Time, known bool) {
	for _, part := range a {
		if offset <= part.end {
			return part.at, true
		}
	}
	return time.Time{}, false
}
