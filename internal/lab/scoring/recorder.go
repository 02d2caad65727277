package scoring

import (
	"hoptiller/internal/lab/invariants"
	"hoptiller/internal/lab/model"
)

// Recorder observes what really happens in a world, whichever engine plays it. It passes the events to the
// scoring and to the checks of the invariants. It implements model.Observer. Like the world, it is not safe
// for concurrent use.
type Recorder struct {
	World   *model.World // set after the world is made; the world lists its first servers before that
	Checker *invariants.Checker
	Scorer  *Scorer
}

// OperationEnded implements model.Observer.
func (j *Recorder) OperationEnded(op *model.Operation) { j.Scorer.OperationEnded(op) }

// OriginCalled implements model.Observer.
func (j *Recorder) OriginCalled(call *model.Call) { j.Scorer.OriginCall(j.World.Now(), call) }

// WriteExecuted implements model.Observer.
func (j *Recorder) WriteExecuted(call *model.Call) {
	j.Checker.WriteExecuted(j.World.Now(), call.Conn.Router, call.Try.Op.ID, call.Try.Op.Class)
}

// CacheCollapsed implements model.Observer.
func (j *Recorder) CacheCollapsed(collapse *model.Collapse) {
	j.Scorer.CacheCollapsed()
	j.Checker.CacheCollapsed(j.World.Now(), collapse)
}

// OriginStopped implements model.Observer.
func (j *Recorder) OriginStopped(coldShare, ratio float64) {
	j.Checker.OriginStopped(j.World.Now(), coldShare, ratio)
}

// Listed implements model.Observer.
func (j *Recorder) Listed(m model.Member) {
	if j.World != nil {
		j.Checker.Listed(j.World.Now(), m)
	}
}

// FaultChanged implements model.Observer.
func (j *Recorder) FaultChanged(text string) { j.Scorer.FaultChanged(j.World.Now(), text) }
