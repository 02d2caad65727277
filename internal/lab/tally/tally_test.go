package tally

import (
	"math"
	"testing"
	"time"

	"hoptiller"
	"hoptiller/internal/lab/model"
	"hoptiller/internal/lab/rules"
	"hoptiller/internal/unit"
)

// nobody is a day's routers, where there are none.
type nobody struct{ model.Watcher }

func (nobody) Take(*model.Try) bool { return true }
func (nobody) Leave(*model.Try)     {}
func (nobody) Kill(int)             {}
func (nobody) Stop(int)             {}
func (nobody) Start(int)            {}
func (nobody) Listed(model.Member)  {}
func (nobody) Ended(*model.Op)      {}
func (nobody) Fault(string)         {}

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// Worth counts by work, within the aim, in the second in which it was asked for; the warm-up does not count; the
// score is that of the whole, of the worst ten seconds and of the worst class.
func TestResult(t *testing.T) {
	day := model.Prairie()
	day.Warm, day.Length = unit.Duration(time.Second), unit.Duration(20*time.Second)
	day.Load.Level = 0
	w := model.New(&day, nobody{}, nobody{}, nobody{})
	c := New(&day, true)
	c.Sample(w)
	for s := range 20 {
		at := time.Duration(s+1)*time.Second + time.Millisecond
		op := &model.Op{At: at, Work: 1, Tries: 1, Served: at + time.Second}
		if s < 5 { // late
			op.Served = at + 2*time.Second
		}
		c.Ended(op)
	}
	c.Ended(&model.Op{At: 2 * time.Second, Work: 0.5, Class: 1, Tries: 3})                            // a booking, not served
	c.Ended(&model.Op{At: 500 * time.Millisecond, Work: 99, Tries: 1})                                // in the warm-up
	c.Ended(&model.Op{At: 3 * time.Second, Work: 1, Class: 1, Tries: 1, Served: 3*time.Second + 1e9}) // and one that is
	c.Taken(2 * time.Second)
	c.Called(true)
	c.Called(false)
	c.Closed(2*time.Second, hoptiller.Miss, 40*time.Millisecond)
	c.Closed(2*time.Second, hoptiller.Timeout, time.Second)
	c.Closed(0, hoptiller.OK, time.Second)
	c.Answered(2*time.Second, model.Refused)
	c.Unexplained(500 * time.Millisecond) // in the warm-up
	w.RunUntil(2 * time.Second)
	w.Caches[3].Sent += 7
	c.Sample(w)
	c.Unexplained(2 * time.Second)
	c.ByTheMoment(500 * time.Millisecond) // in the warm-up
	c.ByTheMoment(2 * time.Second)
	r := c.Result(w, rules.New(&day))
	if r.Unexplained != 1 {
		t.Errorf("%v are unexplained, of the one that was taken", r.Unexplained)
	}
	if r.ByTheMoment != 1 {
		t.Errorf("%v are explained by the moment, of the one that was taken", r.ByTheMoment)
	}
	asked, served := 20+3*1.5, 15.0+3
	worst, class := (5.0+3)/(10+4.5), 3/4.5
	if !near(r.Service, served/asked) || !near(r.Worst, worst) || !near(r.Score, 0.45*served/asked+0.35*worst+0.2*class) {
		t.Errorf("service %v, worst %v, score %v", r.Service, r.Worst, r.Score)
	}
	if r.Asked != 22 || !near(r.Tries, 24.0/22) || !near(r.Calls, 2) || !near(r.CrossZone, 1) || r.Outcomes["miss"] != 1 ||
		r.Classes[0].Served != 20 || math.Abs(r.Classes[0].P50-1000) > 2 || r.Answers["refused"] != 1 || math.Abs(r.CallP99-40) > 1 {
		t.Errorf("%+v", r)
	}
	if s := r.Series; len(s.Service) != 20 || s.Service[0] != 0 || s.Service[9] != 1 || s.Refused[1] != 1 || s.Sent[3][0] != 7 || s.Sent[0][0] != 0 || s.Latency[1] != 40 {
		t.Errorf("%+v", r.Series)
	}
	if s, ok := c.Second(9); !ok || s.Asked != 1 || s.Service != 1 {
		t.Errorf("%+v, %v", s, ok)
	}
}
