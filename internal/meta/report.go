package meta

import (
	"bytes"
	"math"
	"strconv"
)

// maxFigure limits the figures of a load report: no queue, time or share is larger.
const maxFigure = 1e9

// ParseReport reads the load report of an answer (the L flag, without that letter), which is a list of name=value
// pairs. names are the names that the settings allow. The pairs may come in any order, and figures gets the value of
// each name, or NaN if the name is missing. figures has the length of names. ok is false if the report is malformed,
// has an unknown name or a name twice, or has a figure that is not a number, negative or larger than maxFigure. Such
// a report must be ignored.
func ParseReport(report []byte, names []string, figures []float64) (ok bool) {
	for i := range figures {
		figures[i] = math.NaN()
	}
	for len(report) > 0 {
		var item []byte
		var more bool
		item, report, more = bytes.Cut(report, []byte(","))
		name, value, eq := bytes.Cut(item, []byte("="))
		index := -1
		for i, n := range names {
			if string(name) == n {
				index = i
			}
		}
		figure, err := strconv.ParseFloat(string(value), 64)
		if bytes.ContainsAny(value, "xX_") { // not a decimal number
			return false
		}
		if !eq || index < 0 || err != nil || !(figure >= 0 && figure <= maxFigure) || !math.IsNaN(figures[index]) ||
			more && len(report) == 0 {
			return false
		}
		figures[index] = figure
		ok = true
	}
	return ok
}
