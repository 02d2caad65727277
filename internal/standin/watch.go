package standin

import (
	"time"

	"hoptiller"
	"hoptiller/internal/model"
)

// watcher takes what really happens; e.mu is held.
type watcher Engine

// Ended implements model.Watcher.
func (w *watcher) Ended(op *model.Op) { w.tally.Ended(op) }

// Fetched implements model.Watcher.
func (w *watcher) Fetched(call *model.Call) { w.tally.Fetched(w.world.Now(), call) }

// Ran implements model.Watcher.
func (w *watcher) Ran(call *model.Call) {
	w.check.Ran(w.world.Now(), call.Conn.Router, call.Try.Op.ID, call.Try.Op.Class)
}

// FellOver implements model.Watcher.
func (w *watcher) FellOver(server int, started time.Duration, by map[int]float64) {
	w.tally.Fell()
	w.check.FellOver(w.world.Now(), server, started, by)
}

// OriginStopped implements model.Watcher.
func (w *watcher) OriginStopped(part, due float64) { w.check.OriginStopped(w.world.Now(), part, due) }

// Listed implements model.Watcher. A cache that is new gets its listeners before any router hears of it.
func (w *watcher) Listed(m model.Member) {
	if w.world == nil {
		return
	}
	w.check.Listed(w.world.Now(), m)
	for _, n := range w.nodes {
		if n.servers[m.Index] == nil && m.Phase == model.Ready {
			n.listenServerLocked(m.Index)
		}
	}
}

// Fault implements model.Watcher.
func (w *watcher) Fault(text string) { w.tally.Fault(w.world.Now(), text) }

// steward starts and ends routers' processes; e.mu is held.
type steward Engine

// Kill implements model.Steward.
func (s *steward) Kill(i int) {
	s.check.Reset(i)
	go s.nodes[i].kill()
}

// Stop implements model.Steward.
func (s *steward) Stop(i int) { s.nodes[i].stop() }

// Start implements model.Steward.
func (s *steward) Start(i int) { go s.nodes[i].start() }

// final maps what a client is told.
var final = map[model.Final]hoptiller.StepKind{model.Value: hoptiller.StepServed, model.Refused: hoptiller.StepReject,
	model.Failure: hoptiller.StepFail}
