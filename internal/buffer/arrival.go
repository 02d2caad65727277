package buffer

import "time"

// arrivalStep is the minimum time between the arrivals of two pieces of leftover bytes that are recorded separately.
// Without it, a peer that sends byte by byte would make the list of arrivals longer than its data.
const arrivalStep = 10 * time.Millisecond

// arrival is the earliest time at which the bytes up to an offset can have arrived.
type arrival struct {
	end int // offset behind the last of the bytes
	at  time.Time
}

// arrivals are the arrival times of a Reader's leftover bytes, ordered by offset.
type arrivals []arrival

// add records that there are bytes up to end, and that the new ones among them arrived at the given time. If they
// arrived less than arrivalStep after the piece before, they count as arrived with it.
func (a *arrivals) add(end int, at time.Time) {
	if last := len(*a) - 1; last >= 0 && at.Sub((*a)[last].at) < arrivalStep {
		(*a)[last].end = end
		return
	}
	*a = append(*a, arrival{end, at})
}

// drop removes the first n bytes.
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

// timeOf returns when the byte in front of an offset arrived, and whether that is known.
func (a arrivals) timeOf(offset int) (at time.Time, known bool) {
	for _, part := range a {
		if offset <= part.end {
			return part.at, true
		}
	}
	return time.Time{}, false
}
