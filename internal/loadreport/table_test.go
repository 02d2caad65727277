package loadreport

import (
	"math"
	"testing"
)

// The figures of a report come in any order, and some may be missing. A report that can't be parsed is counted as dropped and
// changes nothing.
func TestTable(t *testing.T) {
	table := New([]string{"queue", "latency_ms", "x0"})
	for _, good := range []string{"queue=7,latency_ms=12.5,x0=0.61", "x0=0.5,queue=3", "latency_ms=1e2"} {
		table.Record(1, []byte(good))
	}
	table.Record(2, []byte("queue=4,x0=0"))
	for _, bad := range []string{"", "=", ",=", "queue", "queue=", "queue=x", "queue=NaN", "queue=-1", "queue=1e300", "queue=Inf", "queue=0x10",
		"queue=1,queue=1", "queue=1,util=0.5", "queue=1,", "queue=1,latency", "queue=1 x0=2", "queue==1", ",queue=1"} {
		table.Record(2, []byte(bad))
	}
	s := table.Summary()
	if s.Accepted != 4 || s.Dropped != 18 || s.Servers != 2 || s.Mean["queue"] != 4 || s.Mean["latency_ms"] != 100 || s.Mean["x0"] != 0 || s.Max["queue"] != 4 {
		t.Errorf("%+v", s)
	}
	table.Forget(2)
	if s := table.Summary(); s.Servers != 1 || len(s.Mean) != 1 {
		t.Errorf("after Forget: %+v", s)
	}
	if none := New(nil); none.Summary() != nil {
		t.Error("a table without names has a summary")
	}
}

// Every report is either accepted or dropped, and accepted figures are within bounds.
func FuzzTake(f *testing.F) {
	for _, s := range []string{"queue=7,x0=0.61", "queue=1e9", "x0=.5", "queue=1,,x0=2"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, report []byte) {
		table := New([]string{"queue", "x0"})
		table.Record(1, report)
		s := table.Summary()
		if s.Accepted+s.Dropped != 1 {
			t.Fatalf("%+v", s)
		}
		for name, x := range s.Mean {
			if math.IsNaN(x) || x < 0 || x > 1e9 {
				t.Fatalf("the mean of %s is %v", name, x)
			}
		}
	})
}
