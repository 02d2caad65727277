package scoring

import (
	"math"
	"testing"
	"time"

	"hoptiller"
	"hoptiller/internal/lab/invariants"
	"hoptiller/internal/lab/model"
	"hoptiller/internal/unit"
)

// noRouters stands for the routers of a day that has none.
type noRouters struct{ model.Observer }

func (noRouters) Deliver(*model.Try) bool         { return true }
func (noRouters) ClientDisconnected(*model.Try)   {}
func (noRouters) Kill(int)                        {}
func (noRouters) Stop(int)                        {}
func (noRouters) Start(int)                       {}
func (noRouters) Listed(model.Member)             {}
func (noRouters) OperationEnded(*model.Operation) {}
func (noRouters) FaultChanged(string)             {}

func almostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// TestResult checks the score: worth is weighted by work, counts if answered within the aim, and belongs to
// the second in which it was asked for. The warm-up does not count. The score combines the service of the
// whole day, of the worst ten seconds and of the worst class.
func TestResult(t *testing.T) {
	day := model.DefaultDay()
	day.WarmUp, day.Length = unit.Duration(time.Second), unit.Duration(20*time.Second)
	day.Load.Level = 0
	world := model.New(&day, noRouters{}, noRouters{}, noRouters{})
	scorer := New(&day, true)
	scorer.Sample(world)
	for second := range 20 {
		at := time.Duration(second+1)*time.Second + time.Millisecond
		op := &model.Operation{CreatedAt: at, Work: 1, TryCount: 1, AnsweredAt: at + time.Second}
		if second < 5 { // late
			op.AnsweredAt = at + 2*time.Second
		}
		scorer.OperationEnded(op)
	}
	// A booking, not served.
	scorer.OperationEnded(&model.Operation{CreatedAt: 2 * time.Second, Work: 0.5, Class: 1, TryCount: 3})
	// In the warm-up.
	scorer.OperationEnded(&model.Operation{CreatedAt: 500 * time.Millisecond, Work: 99, TryCount: 1})
	// A served booking.
	scorer.OperationEnded(&model.Operation{CreatedAt: 3 * time.Second, Work: 1, Class: 1, TryCount: 1,
		AnsweredAt: 3*time.Second + 1e9})
	scorer.RequestTaken(2 * time.Second)
	scorer.CallSent(true)
	scorer.CallSent(false)
	scorer.CallEnded(2*time.Second, hoptiller.Miss, 40*time.Millisecond)
	scorer.CallEnded(2*time.Second, hoptiller.Timeout, time.Second)
	scorer.CallEnded(0, hoptiller.OK, time.Second)
	scorer.FinalAnswer(2*time.Second, model.FinalRefused)
	scorer.RequestUnexplained(500 * time.Millisecond) // in the warm-up
	world.RunUntil(2 * time.Second)
	world.Caches[3].WorkReceived += 7
	scorer.Sample(world)
	scorer.RequestUnexplained(2 * time.Second)
	scorer.RequestExplainedByTiming(500 * time.Millisecond) // in the warm-up
	scorer.RequestExplainedByTiming(2 * time.Second)
	result := scorer.Result(world, invariants.New(&day))
	if result.Unexplained != 1 {
		t.Errorf("unexplained share is %v, want 1", result.Unexplained)
	}
	if result.ExplainedByTiming != 1 {
		t.Errorf("share explained by timing is %v, want 1", result.ExplainedByTiming)
	}
	asked, served := 20+3*1.5, 15.0+3
	worstWindow, worstClass := (5.0+3)/(10+4.5), 3/4.5
	if !almostEqual(result.Service, served/asked) || !almostEqual(result.WorstWindow, worstWindow) ||
		!almostEqual(result.Score, 0.45*served/asked+0.35*worstWindow+0.2*worstClass) {
		t.Errorf("service %v, worst %v, score %v", result.Service, result.WorstWindow, result.Score)
	}
	if result.Asked != 22 || !almostEqual(result.Tries, 24.0/22) || !almostEqual(result.Calls, 2) ||
		!almostEqual(result.CrossZone, 1) || result.Outcomes["miss"] != 1 ||
		result.Classes[0].Served != 20 || math.Abs(result.Classes[0].P50-1000) > 2 || result.Answers["refused"] != 1 ||
		math.Abs(result.CallP99-40) > 1 {
		t.Errorf("%+v", result)
	}
	if series := result.Series; len(series.Service) != 20 || series.Service[0] != 0 || series.Service[9] != 1 ||
		series.Refused[1] != 1 || series.Sent[3][0] != 7 || series.Sent[0][0] != 0 || series.Latency[1] != 40 {
		t.Errorf("%+v", result.Series)
	}
	if summary, ok := scorer.Second(9); !ok || summary.Asked != 1 || summary.Service != 1 {
		t.Errorf("%+v, %v", summary, ok)
	}
}
