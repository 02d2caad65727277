package meta

import (
	"bytes"
	"math"
	"strconv"
)

// mostReported bounds the figures of a load report: no queue, time or share is larger.
const mostReported = 1e9

// ParseReport reads the load report of an answer (the flag L, without that letter): names and values, of which the
// settings tell the names. They may come in any order, and some may be missing: those are NaN in figures, which has
// room for one of each name. A report that is torn, names something else or a name twice, or has a figure that is no
// number, negative or beyond all bounds, tells nothing: then ok is false.
func ParseReport(report []byte, names []string, figures []float64) (ok bool) {
	for i := range figures {
		figures[i] = math.NaN()
	}
	for len(report) > 0 {
		var item []byte
		var more bool
		item, report, more = bytes.Cut(report, []byte(","))
		name, value, eq := bytes.Cut(item, []byte("="))
		at := -1
		for i, n := range names {
			if string(name) == n {
				at = i
			}
		}
		x, err := strconv.ParseFloat(string(value), 64)
		if bytes.ContainsAny(value, "xX_") { // no decimal number
			return false
		}
		if !eq || at < 0 || err != nil || !(x >= 0 && x <= mostReported) || !math.IsNaN(figures[at]) || more && len(report) == 0 {
			return false
		}
		figures[at] = x
		ok = true
	}
	return ok
}
