package drains

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"hoptiller"
	"hoptiller/internal/relay"
)

// recorder records the updates that a listener receives.
type recorder struct{ lines []string }

func (r *recorder) Knows(uint32) bool { return true }

func (r *recorder) UpdateServers(kind hoptiller.ListKind, servers []relay.Server) {
	for _, s := range servers {
		r.lines = append(r.lines, fmt.Sprintf("%d: %d phase %d weight %.3g", kind, s.ID, s.Phase, s.Weight))
	}
}

// flush returns the updates since the last call.
func (r *recorder) flush() string {
	text := strings.Join(r.lines, "; ")
	r.lines = nil
	return text
}

func entry(id uint32, phase hoptiller.Phase, weight float64) relay.Server {
	return relay.Server{Server: hoptiller.Server{ID: id, Phase: phase, Weight: weight}, Name: fmt.Sprint("s-", id), Origin: id == 9}
}

// A drain without duration takes effect at once, and so does its end. Server lists that arrive during the drain are changed
// too.
func TestImmediateDrain(t *testing.T) {
	r := &recorder{}
	c := New(r)
	c.UpdateServers(hoptiller.ListFull, []relay.Server{entry(1, hoptiller.Ready, 2), entry(2, hoptiller.Ready, 0),
		entry(9, hoptiller.Ready, 0)})
	r.flush()
	drains := map[uint32]Drain{1: {}, 7: {}}
	c.SetDrains(0, drains)
	if got := r.flush(); got != "0: 1 phase 1 weight 2" {
		t.Errorf("after the drain began: %s", got)
	}
	if c.SetDrains(time.Second, drains); r.flush() != "" || !c.IsDrained(1) || c.IsDrained(2) {
		t.Error("a second update for the same drain, or the drain is not complete")
	}
	c.UpdateServers(hoptiller.ListFull, []relay.Server{entry(1, hoptiller.Ready, 3), entry(2, hoptiller.Ready, 0),
		entry(7, hoptiller.Ready, 1)})
	if got := r.flush(); got != "1: 1 phase 1 weight 3; 1: 2 phase 2 weight 0; 1: 7 phase 1 weight 1" {
		t.Errorf("after a new list: %s", got)
	}
	c.UpdateServers(hoptiller.ListDelta, []relay.Server{entry(7, hoptiller.Draining, 1)})
	r.flush()
	c.SetDrains(2*time.Second, nil)
	if got := r.flush(); got != "0: 1 phase 2 weight 3; 0: 7 phase 1 weight 1" {
		t.Errorf("after the drain ended: %s", got)
	}
	if c.SetDrains(3*time.Second, nil); r.flush() != "" {
		t.Error("a second update for the end of the drain")
	}
	if _, ok := c.FindByName("s-9"); ok {
		t.Error("Find returns the origin")
	}
	if s, ok := c.FindByName("s-2"); !ok || s.ID != 2 || c.Name(2) != "s-2" {
		t.Error("a slot cache is not found by its name")
	}
}

// A gradual drain is ended halfway and begun again. The last step is a drain that another router has completed already: it
// takes effect at once.
func TestGradualDrain(t *testing.T) {
	r := &recorder{}
	c := New(r)
	c.UpdateServers(hoptiller.ListFull, []relay.Server{entry(1, hoptiller.Ready, 2), entry(2, hoptiller.Ready, 0)})
	r.flush()
	drains := map[uint32]Drain{2: {Duration: 16 * time.Second}}
	for _, step := range []struct {
		at     time.Duration
		drains map[uint32]Drain
		want   string
	}{
		{0, drains, "0: 2 phase 2 weight 0"},
		{8 * time.Second, drains, "0: 2 phase 2 weight 0.5"},
		{8 * time.Second, drains, ""},
		{9 * time.Second, nil, ""}, // the drain ends; the weight has not changed yet
		{11 * time.Second, nil, "0: 2 phase 2 weight 0.625"},
		{11 * time.Second, drains, "0: 2 phase 2 weight 0.625"},
		{21 * time.Second, drains, "0: 2 phase 1 weight 0"},
		{30 * time.Second, nil, ""},
		{46 * time.Second, nil, "0: 2 phase 2 weight 0"},
		{50 * time.Second, map[uint32]Drain{2: {Duration: 16 * time.Second, Complete: true}}, "0: 2 phase 1 weight 0"},
	} {
		c.SetDrains(step.at, step.drains)
		if got := r.flush(); got != step.want {
			t.Errorf("at %v: %q, want %q", step.at, got, step.want)
		}
	}
}
