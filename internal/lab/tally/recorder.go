package tally

import (
	"hoptiller/internal/lab/model"
	"hoptiller/internal/lab/rules"
)

// Judge observes what really happens in a world, whichever engine plays it. It passes the events to the
// scoring and to the checks of the invariants. It implements model.Observer. Like the world, it is not safe
// for concurrent use.
type Judge struct {
	World *model.World // set after the world is made; the world lists its first servers before that
	Check *rules.Checker
	Tally *Tally
}

// Ended implements model.Observer.
func (j *Judge) Ended(op *model.Operation) { j.Tally.OperationEnded(op) }

// Fetched implements model.Observer.
func (j *Judge) Fetched(call *model.Call) { j.Tally.OriginCall(j.World.Now(), call) }

// Ran implements model.Observer.
func (j *Judge) Ran(call *model.Call) {
	j.Check.WriteExecuted(j.World.Now(), call.Conn.Router, call.Try.Op.ID, call.Try.Op.Class)
}

// FellOver implements model.Observer.
func (j *Judge) FellOver(collapse *model.Collapse) {
	j.Tally.CacheCollapsed()
	j.Check.CacheCollapsed(j.World.Now(), collapse)
}

// OriginStopped implements model.Observer.
func (j *Judge) OriginStopped(coldShare, ratio float64) {
	j.Check.OriginStopped(j.World.Now(), coldShare, ratio)
}

// Listed implements model.Observer.
func (j *Judge) Listed(m model.Member) {
	if j.World != nil {
		j.Check.Listed(j.World.Now(), m)
	}
}

// Fault implements model.Observer.
func (j *Judge) Fault(text string) { j.Tally.FaultChanged(j.World.Now(), text) }
