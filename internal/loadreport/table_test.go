package loadreport

import (
	"math"
	"testing"
)

// Reports come in any order, and some figures may be missing; one that can't be read is counted and changes nothing.
func TestTable(t *testing.T) {
	l := New([]string{"queue", "latency_ms", "x0"})
	for _, good := range []string{"queue=7,latency_ms=12.5,x0=0.61", "x0=0.5,queue=3", "latency_ms=1e2"} {
		l.Take(1, []byte(good))
	}
	l.Take(2, []byte("queue=4,x0=0"))
	for _, bad := range []string{"", "=", ",=", "queue", "queue=", "queue=x", "queue=NaN", "queue=-1", "queue=1e300", "queue=Inf", "queue=0x10",
		"queue=1,queue=1", "queue=1,util=0.5", "queue=1,", "queue=1,latency", "queue=1 x0=2", "queue==1", ",queue=1"} {
		l.Take(2, []byte(bad))
	}
	s := l.Summary()
	if s.Taken != 4 || s.Dropped != 18 || s.Servers != 2 || s.Mean["queue"] != 4 || s.Mean["latency_ms"] != 100 || s.Mean["x0"] != 0 || s.Most["queue"] != 4 {
		t.Errorf("%+v", s)
	}
	l.Forget(2)
	if s := l.Summary(); s.Servers != 1 || len(s.Mean) != 1 {
		t.Errorf("after one was forgotten: %+v", s)
	}
	if none := New(nil); none.Summary() != nil {
		t.Error("a site without reports has a summary")
	}
}

// Whatever comes is read or dropped, and what is read is within bounds.
func FuzzTake(f *testing.F) {
	for _, s := range []string{"queue=7,x0=0.61", "queue=1e9", "x0=.5", "queue=1,,x0=2"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, report []byte) {
		l := New([]string{"queue", "x0"})
		l.Take(1, report)
		s := l.Summary()
		if s.Taken+s.Dropped != 1 {
			t.Fatalf("%+v", s)
		}
		for name, x := range s.Mean {
			if math.IsNaN(x) || x < 0 || x > 1e9 {
				t.Fatalf("%s is %v", name, x)
			}
		}
	})
}
