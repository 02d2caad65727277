package tally

import (
	"hoptiller/internal/lab/model"
	"hoptiller/internal/lab/rules"
)

// Judge sees what really happens in a world, whichever engine plays it, and has it counted and held to the
// rules. It is a model.Watcher. Like the world it is not safe for concurrent use.
type Judge struct {
	World *model.World // set once it is made: it tells of its first servers before
	Check *rules.Checker
	Tally *Tally
}

// Ended implements model.Watcher.
func (j *Judge) Ended(op *model.Op) { j.Tally.Ended(op) }

// Fetched implements model.Watcher.
func (j *Judge) Fetched(call *model.Call) { j.Tally.Fetched(j.World.Now(), call) }

// Ran implements model.Watcher.
func (j *Judge) Ran(call *model.Call) {
	j.Check.Ran(j.World.Now(), call.Conn.Router, call.Try.Op.ID, call.Try.Op.Class)
}

// FellOver implements model.Watcher.
func (j *Judge) FellOver(f *model.Fall) {
	j.Tally.Fell()
	j.Check.FellOver(j.World.Now(), f)
}

// OriginStopped implements model.Watcher.
func (j *Judge) OriginStopped(part, due float64) { j.Check.OriginStopped(j.World.Now(), part, due) }

// Listed implements model.Watcher.
func (j *Judge) Listed(m model.Member) {
	if j.World != nil {
		j.Check.Listed(j.World.Now(), m)
	}
}

// Fault implements model.Watcher.
func (j *Judge) Fault(text string) { j.Tally.Fault(j.World.Now(), text) }
